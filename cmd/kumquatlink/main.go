// Command kumquatlink is the one program of the project: a node, its tools and
// the stand-ins for trials. All it does is in package kqcli.
package main

import (
	"os"

	"kumquatlink/io/kqcli"
)

func main() {
	os.Exit(kqcli.Run(os.Args[1:], os.Stdout, os.Stderr))
}
