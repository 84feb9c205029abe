// Package kqcli is the command line of the program.
//
// # Usage
//
//	os.Exit(kqcli.Run(os.Args[1:], os.Stdout, os.Stderr))
//
// Exit codes: 0 done, 1 failed, 2 bad input.
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

// Exit codes of every command.
const (
	ExitDone     = 0
	ExitFailed   = 1
	ExitBadInput = 2
)

// ErrInput marks errors that the user can mend in what was typed or written.
var ErrInput = errors.New("bad input")

// environment is what commands write to and when they must end.
type environment struct {
	ctx    context.Context
	output io.Writer
	errors io.Writer
	// model is the table of commands, for the pages made from it.
	model *kong.Application
}

// commands is the one table that help and docs are made from.
type commands struct {
	Demo     demoCommand     `cmd:"" help:"Show the whole path on stand-ins in one process, in under 20 s."`
	Node     nodeCommand     `cmd:"" help:"Run a node beside a backend server."`
	Mesh     meshCommand     `cmd:"" help:"Run a node of a fleet that is found through the store."`
	Store    storeCommand    `cmd:"" help:"Run the stand-in of the platform's object API."`
	Backend  backendCommand  `cmd:"" help:"Run the stand-in of a backend server."`
	Class    classCommand    `cmd:"" help:"Work with the classes and their targets."`
	Status   statusCommand   `cmd:"" help:"Show the fleet as one node sees it."`
	Measure  measureCommand  `cmd:"" help:"Measure goodput and recovery under faults, against a naive policy."`
	Soak     soakCommand     `cmd:"" help:"Run nodes as processes, inject faults and check the promises."`
	Slopes   slopesCommand   `cmd:"" help:"Measure what control costs a node as the fleet grows."`
	Explain  explainCommand  `cmd:"" help:"Tell what became of one request, from the nodes' recent decisions."`
	Settings settingsCommand `cmd:"" help:"Work with settings files."`
	Docs     docsCommand     `cmd:"" help:"Write the pages that are made from the code."`
	Identity identityCommand `cmd:"" help:"Issue identities for trials, from an authority made for them."`
}

type exitRequest int

// Run runs a command and gives its exit code.
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

func exitCode(err error, errorOutput io.Writer) int {
	if err == nil {
		return ExitDone
	}
	_, _ = fmt.Fprintf(errorOutput, "kumquatlink: %v\n", err)
	var faulty *kqsettings.ValidationError
	if errors.As(err, &faulty) || errors.Is(err, kqsettings.ErrRead) || errors.Is(err, ErrInput) {
		return ExitBadInput
	}
	return ExitFailed
}
