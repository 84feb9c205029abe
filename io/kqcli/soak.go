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
	Seeds  int           `default:"1" help:"How many seeds to run, one after the other."`
	Length time.Duration `default:"12s" help:"How long faults are injected in each run."`
	Hosts  int           `default:"3" help:"Hosts of each of the two services."`
	Output string        `enum:"text,json" default:"text" help:"Form of the output: ${enum}."`
}

// Help is the longer help of the command.
func (soakCommand) Help() string {
	return "It starts nodes and a store as processes of this program on loopback, injects faults from outside and checks the promises from what callers and backend servers see. A seed decides the faults; the logs of a run that broke a promise are kept.\n\nExample:\n\n  kumquatlink soak --seed 100 --seeds 5"
}

// Run runs soaks and fails if a promise was broken.
func (k *soakCommand) Run(e *environment) error {
	program, err := os.Executable()
	if err != nil {
		return errors.Wrap(err, "find program")
	}
	broken := 0
	for i := range k.Seeds {
		r, err := kqsoak.Run(e.ctx, kqsoak.Options{Program: program, Seed: k.Seed + uint64(i), Length: k.Length, Hosts: k.Hosts})
		if err != nil {
			return err
		}
		broken += len(r.Broken)
		if k.Output == formJSON {
			if err := writeJSON(e.output, r); err != nil {
				return err
			}
			continue
		}
		_, _ = fmt.Fprintf(e.output, "seed %d: %d requests, %d runs, %d repeats, %d faults, answers %v, %d promises broken\n", r.Seed, r.Requests, r.Runs, r.Repeats, len(r.Faults), r.Answers, len(r.Broken))
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
	if broken > 0 {
		return errors.Newf("%d promises were broken", broken)
	}
	return nil
}
