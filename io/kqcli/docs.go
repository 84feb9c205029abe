package kqcli

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"github.com/alecthomas/kong"
	"github.com/cockroachdb/errors"

	"kumquatlink/io/kqlog"
	"kumquatlink/io/kqmesh"
	"kumquatlink/io/kqmetric"
)

// docsCommand generates documentation pages from the code.
type docsCommand struct {
	Directory string `required:"" placeholder:"DIR" help:"Directory in which cli/, metrics.md and logs.md are written."`
}

// Help returns the longer help of the command.
func (docsCommand) Help() string {
	return "Example:\n\n  kumquatlink docs --directory docs"
}

// Run writes a page for each command, a page for the metrics and one for the log
// lines.
func (k *docsCommand) Run(e *environment) error {
	directory := filepath.Join(k.Directory, "cli")
	if err := os.MkdirAll(directory, 0o750); err != nil {
		return errors.Mark(errors.Wrap(err, "create directory"), ErrInput)
	}
	for _, command := range e.model.Children {
		if command.Hidden {
			continue
		}
		path := filepath.Join(directory, command.Name+".md")
		if err := os.WriteFile(path, []byte(commandPage(command)), 0o600); err != nil {
			return errors.Mark(errors.Wrap(err, "write page"), ErrInput)
		}
	}
	for name, page := range map[string]string{"metrics.md": metricsPage(), "logs.md": logsPage()} {
		if err := os.WriteFile(filepath.Join(k.Directory, name), []byte(page), 0o600); err != nil {
			return errors.Mark(errors.Wrap(err, "write page"), ErrInput)
		}
	}
	return nil
}

// commandPage returns the page of a command and its subcommands.
func commandPage(command *kong.Node) string {
	var b strings.Builder
	_, _ = fmt.Fprintf(&b, "# kumquatlink %s\n\n", command.Name)
	b.WriteString("Generated from the program's help by `make docs`.\n\n")
	writeCommand(&b, command, "kumquatlink "+command.Name)
	b.WriteString("Exit codes: 0 done, 1 failed, 2 bad input.\n")
	return b.String()
}

// writeCommand writes the help, the usage and the arguments of a command, or
// sections for its subcommands if it has any.
func writeCommand(b *strings.Builder, command *kong.Node, path string) {
	_, _ = fmt.Fprintf(b, "%s\n\n", command.Help)
	if len(command.Children) > 0 {
		for _, child := range command.Children {
			_, _ = fmt.Fprintf(b, "## %s %s\n\n", path, child.Name)
			writeCommand(b, child, path+" "+child.Name)
		}
		return
	}
	_, _ = fmt.Fprintf(b, "```\n%s%s\n```\n\n", path, strings.TrimPrefix(usage(command), command.Name))
	writeArguments(b, command)
	if command.Detail != "" {
		_, _ = fmt.Fprintf(b, "%s\n\n", command.Detail)
	}
}

// usage returns the name, the required flags and the positional arguments of a
// command, as they stand in its usage line.
func usage(command *kong.Node) string {
	text := command.Name
	for _, f := range command.Flags {
		if f.Required {
			text += " --" + f.Name + "=" + strings.ToUpper(f.FormatPlaceHolder())
		}
	}
	for _, p := range command.Positional {
		text += " " + p.Summary()
	}
	return text + " [flags]"
}

// writeArguments writes a table of the arguments and flags of a command.
func writeArguments(b *strings.Builder, command *kong.Node) {
	if len(command.Positional)+len(command.Flags) == 0 {
		return
	}
	b.WriteString("| argument | meaning |\n|---|---|\n")
	for _, p := range command.Positional {
		_, _ = fmt.Fprintf(b, "| `%s` | %s |\n", p.Summary(), p.Help)
	}
	for _, f := range command.Flags {
		if f.Name == "help" {
			continue
		}
		text := f.Help
		if f.HasDefault {
			text += " Default `" + f.Default + "`."
		}
		_, _ = fmt.Fprintf(b, "| `--%s` | %s |\n", f.Name, text)
	}
	b.WriteString("\n")
}

// metricsPage returns the page of the metrics.
func metricsPage() string {
	var b strings.Builder
	b.WriteString("# Metrics\n\nGenerated from the code by `make docs`. A node serves them at `/metrics` of its\noperator address in the Prometheus text format, each with the prefix\n`kumquatlink_`.\n\n")
	b.WriteString("| name | kind | tags | unit | meaning |\n|---|---|---|---|---|\n")
	for _, d := range kqmetric.Definitions() {
		_, _ = fmt.Fprintf(&b, "| `%s` | %s | %s | %s | %s |\n", d.Name, d.Kind, strings.Join(d.Tags, ", "), d.Unit, d.Help)
	}
	return b.String()
}

// logsPage returns the page of the fields and events of the log.
func logsPage() string {
	var b strings.Builder
	b.WriteString("# Log lines\n\nGenerated from the code by `make docs`. A node of a mesh writes one JSON object a line\nto its standard output: decisions about requests, and events. [OPERATIONS.md](OPERATIONS.md)\nshows how to read them.\n\n")
	fieldTable(&b, "Fields of every line", kqlog.CommonFields())
	fieldTable(&b, "Fields of a decision", kqlog.DecisionFields())
	b.WriteString("## Events\n\nEach has its `Event`, the fields named here, a `Message` for people, and an `Error`\nwhere something failed. Times are in microseconds.\n\n| event | level | logged when | fields |\n|---|---|---|---|\n")
	for _, k := range kqmesh.Events() {
		_, _ = fmt.Fprintf(&b, "| `%s` | %s | %s | %s |\n", k.Name, k.Level, k.Description, strings.Join(k.Fields, ", "))
	}
	return b.String()
}

// fieldTable writes a section with a table of log fields.
func fieldTable(b *strings.Builder, title string, fields []kqlog.FieldDescription) {
	_, _ = fmt.Fprintf(b, "## %s\n\n| field | meaning |\n|---|---|\n", title)
	for _, f := range fields {
		_, _ = fmt.Fprintf(b, "| `%s` | %s |\n", f.Name, f.Description)
	}
	b.WriteString("\n")
}
