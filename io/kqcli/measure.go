package kqcli

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"text/tabwriter"

	"github.com/cockroachdb/errors"

	"kumquatlink/io/kqmeasure"
)

// policyBoth is the value of --policy that measures both policies, one after the
// other.
const policyBoth = "both"

type measureCommand struct {
	Scenario string   `default:"steady" help:"Load and faults: steady, surge, deepslow, retrystorm, storeout, leaving, silent, paused, together or twice."`
	Profile  string   `enum:"bluebonnet,lochforth,sevendeep" default:"bluebonnet" help:"Set of services and requests that is measured: ${enum}."`
	Seed     uint64   `default:"1" help:"Seed of the schedule, the service times and the choice of faults."`
	Seeds    []uint64 `help:"Several seeds; the result is a JSON list with a report for each."`
	Policy   string   `enum:"naive,kumquatlink,both" default:"both" help:"What handles calls between callers and backend servers: ${enum}."`
	Output   string   `enum:"table,json" default:"table" help:"Format of the output: ${enum}."`
	Check    bool     `help:"List missed targets, and exit with code 1 if there are any."`
	Load     float64  `default:"1" help:"Factor by which the number of callers is multiplied."`
	Plot     string   `placeholder:"FILE.svg" help:"File into which the goodput of each class over time is plotted."`
}

// Help returns the longer help of the command.
func (k *measureCommand) Help() string {
	return "Example: kumquatlink measure --scenario deepslow --seed 3 --policy both --output json --check"
}

// Run measures each policy with each seed, prints the reports, and with --check
// fails if a target was missed.
func (k *measureCommand) Run(e *environment) error {
	seeds := k.Seeds
	if len(seeds) == 0 {
		seeds = []uint64{k.Seed}
	}
	policies := []string{k.Policy}
	if k.Policy == policyBoth {
		policies = []string{kqmeasure.PolicyNaive, kqmeasure.PolicyKumquatlink}
	}
	var reports []*kqmeasure.Report
	for _, s := range seeds {
		r, err := kqmeasure.Measure(e.ctx, kqmeasure.Options{Scenario: k.Scenario, Profile: k.Profile, Seed: s, Load: k.Load, Policies: policies})
		if errors.Is(err, kqmeasure.ErrInput) {
			return errors.Mark(err, ErrInput)
		}
		if err != nil {
			return err
		}
		reports = append(reports, r)
	}
	if err := k.print(e.output, reports); err != nil {
		return err
	}
	if k.Plot != "" {
		if err := plotReport(k.Plot, reports[0]); err != nil {
			return err
		}
	}
	return k.checkTargets(e.errors, reports)
}

// print writes the reports as a table or as JSON. The JSON is a list if --seeds was
// given.
func (k *measureCommand) print(w io.Writer, reports []*kqmeasure.Report) error {
	if k.Output == "table" {
		return printMeasureTable(w, reports)
	}
	var document any = reports
	if len(k.Seeds) == 0 {
		document = reports[0]
	}
	data, err := json.MarshalIndent(document, "", "  ")
	if err != nil {
		return errors.Wrap(err, "write report")
	}
	_, err = fmt.Fprintf(w, "%s\n", data)
	return errors.Wrap(err, "write report")
}

// checkTargets lists the missed targets of all reports and fails if there are any.
// It does nothing without --check.
func (k *measureCommand) checkTargets(w io.Writer, reports []*kqmeasure.Report) error {
	if !k.Check {
		return nil
	}
	missed := 0
	for _, r := range reports {
		for _, m := range r.Check() {
			missed++
			_, _ = fmt.Fprintln(w, "missed: "+m)
		}
	}
	if missed > 0 {
		return errors.Newf("%d targets were missed", missed)
	}
	return nil
}

// printMeasureTable writes a table with a line for each run, and then the results
// of each class.
func printMeasureTable(w io.Writer, reports []*kqmeasure.Report) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(t, "SCENARIO\tSEED\tPOLICY\tBEFORE\tDURING\tAFTER\tCAPACITY\tRECOVERY\tRETRIES\tWASTED\tORDER BREAKS\tADDED P50/P99")
	for _, r := range reports {
		for _, n := range r.Runs {
			_, _ = fmt.Fprintf(t, "%s\t%d\t%s\t%.1f/s\t%.1f/s\t%.1f/s\t%.1f/s\t%.1f s\t%d of %d\t%.1f%%\t%d\t%.0f/%.0f µs\n",
				r.Scenario, r.Seed, n.Policy, n.GoodputBefore, n.GoodputDuring, n.GoodputAfter, n.CapacityDuring, n.RecoverySeconds,
				n.MaxRetriesPerRequest, n.RetryBound, n.WastedWorkRatio*100, n.ShedOrderBreaks, n.AddedLatencyMicros.P50, n.AddedLatencyMicros.P99)
		}
	}
	if err := t.Flush(); err != nil {
		return errors.Wrap(err, "write report")
	}
	for _, r := range reports {
		for _, n := range r.Runs {
			for _, c := range n.Classes {
				_, _ = fmt.Fprintf(w, "%s %d %s %s: %d offered, %d completed, %d in time, %d not run, %d unknown, latency %.0f/%.0f ms\n",
					r.Scenario, r.Seed, n.Policy, c.Name, c.Offered, c.Completed, c.InTime, c.NotRun, c.Unknown, c.LatencyMillis.P50, c.LatencyMillis.P99)
			}
		}
	}
	return nil
}

// plotReport plots a report into an SVG file.
func plotReport(path string, r *kqmeasure.Report) error {
	file, err := os.Create(path)
	if err != nil {
		return errors.Mark(errors.Wrap(err, "create plot file"), ErrInput)
	}
	err = kqmeasure.Plot(file, r)
	return errors.CombineErrors(err, file.Close())
}
