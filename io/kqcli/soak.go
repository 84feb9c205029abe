package kqcli

import (
	"fmt"
	"os"
	"time"

	"github.com/cockroachdb/errors"

	"kumquatlink/io/kqsoak"
)

type soakCommand struct {
	Seed   uint64        `default:"1" help:"Seed of the first run."`
	Seeds  int           `default:"1" help:"Number of runs, one after the other, with ascending seeds."`
	Length time.Duration `default:"12s" help:"Time for which faults are injected in each run."`
	Hosts  int           `default:"3" help:"Number of hosts of each of the two services."`
	Output string        `enum:"text,json" default:"text" help:"Format of the output: ${enum}."`
}

// Help returns the longer help of the command.
func (soakCommand) Help() string {
	return "It starts nodes and a store as processes of this program on loopback, injects faults from outside, and checks the guarantees by what callers and backend servers observe. The seed determines the faults. The logs of a run that violated a guarantee are kept.\n\nExample:\n\n  kumquatlink soak --seed 100 --seeds 5"
}

// Run runs a soak test for each seed, and fails if one violated a guarantee.
func (k *soakCommand) Run(e *environment) error {
	program, err := os.Executable()
	if err != nil {
		return errors.Wrap(err, "find the path of this program")
	}
	violations := 0
	for i := range k.Seeds {
		r, err := kqsoak.Run(e.ctx, kqsoak.Options{Program: program, Seed: k.Seed + uint64(i), Length: k.Length, Hosts: k.Hosts})
		if err != nil {
			return err
		}
		violations += len(r.Broken)
		if k.Output == outputJSON {
			if err := writeJSON(e.output, r); err != nil {
				return err
			}
			continue
		}
		_, _ = fmt.Fprintf(e.output, "seed %d: %d requests, %d runs, %d repeats, %d faults, answers %v, %d guarantees violated\n", r.Seed, r.Requests, r.Runs, r.Repeats, len(r.Faults), r.Answers, len(r.Broken))
		for _, b := range r.Broken {
			_, _ = fmt.Fprintf(e.output, "  %s\n", b)
		}
		if len(r.Broken) > 0 {
			_, _ = fmt.Fprintf(e.output, "  logs in %s\n", r.Directory)
		}
		if e.ctx.Err() != nil {
			break
		}
	}
	if violations > 0 {
		return errors.Newf("%d guarantees were violated", violations)
	}
	return nil
}
