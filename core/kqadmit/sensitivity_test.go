package kqadmit_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"kumquatlink/core/kqadmit"
	"kumquatlink/core/kqlimit"
)

// knob is one number that a tuning holds.
type knob struct {
	name  string
	scale func(a *kqadmit.Tuning, l *kqlimit.Tuning, by float64)
}

func times(d *time.Duration, by float64) { *d = time.Duration(float64(*d) * by) }
func count(n *int, by float64)           { *n = max(2, int(float64(*n)*by)) }

// above scales the part of a ratio that is above 1.
func above(r *float64, by float64) { *r = 1 + (*r-1)*by }

// below scales the part of a ratio that is below 1.
func below(r *float64, by float64) { *r = max(0, 1-(1-*r)*by) }

var knobs = []knob{
	{"none", func(*kqadmit.Tuning, *kqlimit.Tuning, float64) {}},
	{"Window", func(a *kqadmit.Tuning, _ *kqlimit.Tuning, by float64) { times(&a.Window, by) }},
	{"MinStarts", func(a *kqadmit.Tuning, _ *kqlimit.Tuning, by float64) { count(&a.MinStarts, by) }},
	{"Extension", func(a *kqadmit.Tuning, _ *kqlimit.Tuning, by float64) { times(&a.Extension, by) }},
	{"Spans", func(a *kqadmit.Tuning, _ *kqlimit.Tuning, by float64) { count(&a.WindowCount, by) }},
	{"Headroom above 1", func(a *kqadmit.Tuning, _ *kqlimit.Tuning, by float64) { above(&a.Headroom, by) }},
	{"RelaxParts", func(a *kqadmit.Tuning, _ *kqlimit.Tuning, by float64) { count(&a.FirstStepDivisor, by) }},
	{"MostlyFree", func(a *kqadmit.Tuning, _ *kqlimit.Tuning, by float64) { a.DoublingFree *= by }},
	{"EarlyFree", func(a *kqadmit.Tuning, _ *kqlimit.Tuning, by float64) { a.EarlyEndFree *= by }},
	{"ToldDelay", func(a *kqadmit.Tuning, _ *kqlimit.Tuning, by float64) { times(&a.PropagationDelay, by) }},
	{"Doubt", func(a *kqadmit.Tuning, _ *kqlimit.Tuning, by float64) { a.ExcessDeviations *= by }},
	{"MinQueue", func(a *kqadmit.Tuning, _ *kqlimit.Tuning, by float64) { count(&a.MinQueue, by) }},
	{"QueuePart", func(a *kqadmit.Tuning, _ *kqlimit.Tuning, by float64) { a.QueueFactor *= by }},
	{"MinSojourn", func(a *kqadmit.Tuning, _ *kqlimit.Tuning, by float64) { times(&a.MinSojourn, by) }},
	{"SojournHolds", func(a *kqadmit.Tuning, _ *kqlimit.Tuning, by float64) { a.SojournFactor *= by }},
	{"HoldWeight", func(a *kqadmit.Tuning, _ *kqlimit.Tuning, by float64) { a.HoldWeight *= by }},
	{"Samples", func(a *kqadmit.Tuning, _ *kqlimit.Tuning, by float64) { count(&a.Samples, by) }},
	{"SampleAge", func(a *kqadmit.Tuning, _ *kqlimit.Tuning, by float64) { times(&a.SampleAge, by) }},
	{"MinSamples", func(a *kqadmit.Tuning, _ *kqlimit.Tuning, by float64) { count(&a.MinSamples, by) }},
	{"NeedQuantile below 1", func(a *kqadmit.Tuning, _ *kqlimit.Tuning, by float64) { below(&a.NeedQuantile, by) }},
	{"TrialPeriod", func(a *kqadmit.Tuning, _ *kqlimit.Tuning, by float64) { times(&a.ProbePeriod, by) }},
	{"Memory", func(_ *kqadmit.Tuning, l *kqlimit.Tuning, by float64) { count(&l.Memory, by) }},
	{"Limit window", func(_ *kqadmit.Tuning, l *kqlimit.Tuning, by float64) { count(&l.Window, by) }},
	{"LowPart below 1", func(_ *kqadmit.Tuning, l *kqlimit.Tuning, by float64) { below(&l.LowPart, by) }},
	{"HighPart below 1", func(_ *kqadmit.Tuning, l *kqlimit.Tuning, by float64) { below(&l.HighPart, by) }},
	{"Contrast", func(_ *kqadmit.Tuning, l *kqlimit.Tuning, by float64) { count(&l.MinLowSamples, by) }},
	{"Aim above 1", func(_ *kqadmit.Tuning, l *kqlimit.Tuning, by float64) { above(&l.TargetRatio, by) }},
	{"LowerAbove above 1", func(_ *kqadmit.Tuning, l *kqlimit.Tuning, by float64) { above(&l.LowerAbove, by) }},
	{"LowerErrors", func(_ *kqadmit.Tuning, l *kqlimit.Tuning, by float64) { l.LowerErrors *= by }},
	{"GrowBelow above 1", func(_ *kqadmit.Tuning, l *kqlimit.Tuning, by float64) { above(&l.GrowBelow, by) }},
	{"GrowErrors", func(_ *kqadmit.Tuning, l *kqlimit.Tuning, by float64) { l.GrowErrors *= by }},
	{"Patience", func(_ *kqadmit.Tuning, l *kqlimit.Tuning, by float64) { count(&l.UndecidedWindows, by) }},
	{"Settle", func(_ *kqadmit.Tuning, l *kqlimit.Tuning, by float64) { l.Settle *= by }},
	{"Change", func(_ *kqadmit.Tuning, l *kqlimit.Tuning, by float64) { l.Change = max(1.1, l.Change*by) }},
	{"FirstGrowth", func(_ *kqadmit.Tuning, l *kqlimit.Tuning, by float64) { l.FirstGrowth *= by }},
	{"MaxGrowth", func(_ *kqadmit.Tuning, l *kqlimit.Tuning, by float64) { l.MaxGrowth *= by }},
	{"ShedFactor below 1", func(_ *kqadmit.Tuning, l *kqlimit.Tuning, by float64) { below(&l.ShedFactor, by) }},
	{"ShedPause", func(_ *kqadmit.Tuning, l *kqlimit.Tuning, by float64) { times(&l.ShedPause, by) }},
}

// BenchmarkSensitivity halves and doubles each number and prints the worst
// figure of a deep slow service with a surge over the seeds: goodput while it
// lasts with 5 and with 36 slots, goodput from 1 s after it, order breaks.
func BenchmarkSensitivity(b *testing.B) {
	for range b.N {
		table := &strings.Builder{}
		fmt.Fprintf(table, "%-22s %-30s %s\n", "number", "halved: 5, 36, after, breaks", "doubled: the same")
		for _, k := range knobs {
			fmt.Fprintf(table, "%-22s %-30s %s\n", k.name, k.worst(0.5), k.worst(2))
		}
		fmt.Print(table.String())
	}
}

func (k knob) worst(by float64) string {
	text := &strings.Builder{}
	after, breaks := 9.0, 0
	for _, slots := range []int{5, 36} {
		during := 9.0
		for _, seed := range seeds {
			s := scenario{slots: slots, slower: 5, surge: 4, spread: 0.2, sheds: 40}
			s.admit, s.limit = kqadmit.DefaultTuning(), kqlimit.DefaultTuning()
			k.scale(&s.admit, &s.limit, by)
			m := s.simulate(seed, false)
			during, after = min(during, s.during(m)), min(after, s.after(m))
			breaks += m.breaks
		}
		fmt.Fprintf(text, "%.2f  ", during)
	}
	fmt.Fprintf(text, "%.2f  %d", after, breaks)
	return text.String()
}
