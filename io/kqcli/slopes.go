package kqcli

import (
	"encoding/json"
	"fmt"

	"github.com/cockroachdb/errors"

	"kumquatlink/io/kqslopes"
)

type slopesCommand struct {
	Members []int  `default:"60,240,960,3600" help:"Numbers of nodes of the measured fleets."`
	Seed    uint64 `default:"1" help:"Seed of all random numbers."`
	Output  string `enum:"json,text" default:"text" help:"Format of the output: ${enum}."`
}

// Help returns the longer help of the command.
func (slopesCommand) Help() string {
	return "Example:\n\n  kumquatlink slopes --members 60,240 --output json"
}

// Run measures what a node spends on control in fleets of several sizes, and prints
// the lines fitted through the results.
func (k *slopesCommand) Run(e *environment) error {
	report, err := kqslopes.Run(kqslopes.WithSizes(k.Members...), kqslopes.WithSeed(k.Seed))
	if err != nil {
		return err
	}
	if k.Output != "text" {
		encoder := json.NewEncoder(e.output)
		encoder.SetIndent("", "  ")
		return errors.Wrap(encoder.Encode(report), "write report")
	}
	for _, s := range report.Slopes {
		_, err := fmt.Fprintf(e.output, "%-30s %12.3f + %10.5f a member  %s (spread %.0f%%)\n", s.Name, s.Intercept, s.PerMember, s.Unit, 100*s.Spread)
		if err != nil {
			return errors.Wrap(err, "write report")
		}
	}
	return nil
}
