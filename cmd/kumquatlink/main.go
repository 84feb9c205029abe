// Command kumquatlink is the only program of the project. Its subcommands run a
// node, operate and measure a fleet, and run stand-ins (simple replacements of a
// backend server and of the platform's store) for trials. They are implemented in
// package kqcli.
//
// # Usage
//
//	kumquatlink --help
package main

import (
	"os"

	"kumquatlink/io/kqcli"
)

func main() {
	os.Exit(kqcli.Run(os.Args[1:], os.Stdout, os.Stderr))
}
