// Package kqcli implements the command line of the program kumquatlink: it
// parses the arguments, runs the chosen command and returns its exit code.
//
// # Usage
//
//	os.Exit(kqcli.Run(os.Args[1:], os.Stdout, os.Stderr))
//
// Exit codes are [ExitDone], [ExitFailed] and [ExitBadInput]. Error messages go to
// the error output and begin with the name of the program. SIGTERM and SIGINT end
// a running command; a node first answers the calls in flight.
//
// # Commands
//
// Each command is a struct with a Run method. Its fields are the flags and
// arguments, and its Help method returns the longer help with an example. The
// command docs generates the pages of the command line from them.
package kqcli

import (
	"context"
	"fmt"
	"io"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"
	"github.com/cockroachdb/errors"

	"kumquatlink/io/kqsettings"
)

// Exit codes of all commands.
const (
	// ExitDone means that the command succeeded.
	ExitDone = 0
	// ExitFailed means that the command failed for a reason other than its input.
	ExitFailed = 1
	// ExitBadInput means that the arguments or the settings are invalid.
	ExitBadInput = 2
)

// ErrInput marks errors that the user can correct in the arguments or in a file
// that they name. The exit code is then [ExitBadInput].
var ErrInput = errors.New("bad input")

// environment is passed to the Run method of each command.
type environment struct {
	// ctx ends when the program receives SIGTERM or SIGINT.
	ctx    context.Context
	output io.Writer
	errors io.Writer
	// model describes all commands. The documentation pages are generated from it.
	model *kong.Application
}

// commands declares all commands. The parser, the help and the documentation
// pages are derived from it.
type commands struct {
	Demo     demoCommand     `cmd:"" help:"Run a small fleet with stand-in backend servers in one process, in under 20 s."`
	Node     nodeCommand     `cmd:"" help:"Run a node beside a backend server."`
	Mesh     meshCommand     `cmd:"" help:"Run a mesh node, which finds the other nodes through the store."`
	Store    storeCommand    `cmd:"" help:"Run a stand-in for the platform's object API."`
	Backend  backendCommand  `cmd:"" help:"Run a stand-in for a backend server."`
	Class    classCommand    `cmd:"" help:"List, change or delete classes and their targets."`
	Status   statusCommand   `cmd:"" help:"Show the fleet as one node sees it."`
	Measure  measureCommand  `cmd:"" help:"Measure goodput and recovery under faults, compared with a naive policy."`
	Soak     soakCommand     `cmd:"" help:"Run nodes as processes, inject faults and check the guarantees to callers and backend servers."`
	Slopes   slopesCommand   `cmd:"" help:"Measure what a node spends on control as the fleet grows."`
	Explain  explainCommand  `cmd:"" help:"Explain the outcome of a request from the recent decisions of nodes."`
	Where    whereCommand    `cmd:"" help:"Tell where a request would go now, and why, without sending it."`
	Settings settingsCommand `cmd:"" help:"Check settings files."`
	Docs     docsCommand     `cmd:"" help:"Generate documentation pages from the code."`
	Identity identityCommand `cmd:"" help:"Issue certificates for the nodes of a trial from a new authority."`
}

// exitRequest is the panic value with which the parser, after it has printed the
// help, ends Run with an exit code.
type exitRequest int

// Run runs the command given by the arguments and returns its exit code.
func Run(arguments []string, output, errorOutput io.Writer) (code int) {
	defer func() {
		if r := recover(); r != nil {
			request, ok := r.(exitRequest)
			if !ok {
				panic(r)
			}
			code = int(request)
		}
	}()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	var table commands
	parser, err := kong.New(&table,
		kong.Name("kumquatlink"),
		kong.Description("Overload control for service call graphs."),
		kong.Writers(output, errorOutput),
		kong.Exit(func(code int) { panic(exitRequest(code)) }),
	)
	if err != nil {
		_, _ = fmt.Fprintln(errorOutput, err)
		return ExitFailed
	}
	parsed, err := parser.Parse(arguments)
	if err != nil {
		_, _ = fmt.Fprintf(errorOutput, "kumquatlink: %v\n", err)
		return ExitBadInput
	}
	err = parsed.Run(&environment{ctx: ctx, output: output, errors: errorOutput, model: parser.Model})
	return exitCode(err, errorOutput)
}

// exitCode prints an error and returns the exit code for it.
func exitCode(err error, errorOutput io.Writer) int {
	if err == nil {
		return ExitDone
	}
	_, _ = fmt.Fprintf(errorOutput, "kumquatlink: %v\n", err)
	var invalid *kqsettings.ValidationError
	if errors.As(err, &invalid) || errors.Is(err, kqsettings.ErrRead) || errors.Is(err, ErrInput) {
		return ExitBadInput
	}
	return ExitFailed
}
