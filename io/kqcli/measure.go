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

// policyBoth is both policies, one after the other.
const policyBoth = "both"

type measureCommand struct {
	Scenario string   `default:"steady" help:"What happens: steady, surge, deepslow, retrystorm, storeout, leaving, silent, paused, together or twice."`
	Profile  string   `enum:"bluebonnet,lochforth,sevendeep" default:"bluebonnet" help:"Whose services and work: ${enum}."`
	Seed     uint64   `default:"1" help:"Seeds the schedule, the service times and the choice of faults."`
	Seeds    []uint64 `help:"Several seeds, one report each, as a JSON list."`
	Policy   string   `enum:"naive,kumquatlink,both" default:"both" help:"What stands between callers and backend servers: ${enum}."`
	Output   string   `enum:"table,json" default:"table" help:"How the report is printed: ${enum}."`
	Check    bool     `help:"List missed targets and exit 1 if there are any."`
	Load     float64  `default:"1" help:"Multiplies the number of callers."`
	Plot     string   `placeholder:"FILE.svg" help:"Draw goodput over time by class."`
}

// Help gives an example.
func (k *measureCommand) Help() string {
	return "Example: kumquatlink measure --scenario deepslow --seed 3 --policy both --output json --check"
}

// Run carries out the trials.
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
	return k.judge(e.errors, reports)
}

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

// judge lists missed targets.
func (k *measureCommand) judge(w io.Writer, reports []*kqmeasure.Report) error {
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

// plotReport draws a report into a file.
func plotReport(path string, r *kqmeasure.Report) error {
	file, err := os.Create(path)
	if err != nil {
		return errors.Mark(errors.Wrap(err, "make plot"), ErrInput)
	}
	err = kqmeasure.Plot(file, r)
	return errors.CombineErrors(err, file.Close())
}
