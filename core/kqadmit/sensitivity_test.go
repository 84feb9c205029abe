package kqadmit_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"kumquatlink/core/kqadmit"
	"kumquatlink/core/kqlimit"
)

// parameter is one field of a Tuning and how to scale it.
type parameter struct {
	name  string
	scale func(a *kqadmit.Tuning, l *kqlimit.Tuning, by float64)
}

func scaleDuration(d *time.Duration, by float64) { *d = time.Duration(float64(*d) * by) }
func scaleCount(n *int, by float64)              { *n = max(2, int(float64(*n)*by)) }

// scaleAbove1 scales the part of a ratio that is above 1.
func scaleAbove1(r *float64, by float64) { *r = 1 + (*r-1)*by }

// scaleBelow1 scales the part of a ratio that is below 1.
func scaleBelow1(r *float64, by float64) { *r = max(0, 1-(1-*r)*by) }

var parameters = []parameter{
	{"none", func(*kqadmit.Tuning, *kqlimit.Tuning, float64) {}},
	{"Window", func(a *kqadmit.Tuning, _ *kqlimit.Tuning, by float64) { scaleDuration(&a.Window, by) }},
	{"MinStarts", func(a *kqadmit.Tuning, _ *kqlimit.Tuning, by float64) { scaleCount(&a.MinStarts, by) }},
	{"Extension", func(a *kqadmit.Tuning, _ *kqlimit.Tuning, by float64) { scaleDuration(&a.Extension, by) }},
	{"WindowCount", func(a *kqadmit.Tuning, _ *kqlimit.Tuning, by float64) { scaleCount(&a.WindowCount, by) }},
	{"Headroom above 1", func(a *kqadmit.Tuning, _ *kqlimit.Tuning, by float64) { scaleAbove1(&a.Headroom, by) }},
	{"FirstStepDivisor", func(a *kqadmit.Tuning, _ *kqlimit.Tuning, by float64) { scaleCount(&a.FirstStepDivisor, by) }},
	{"DoublingFree", func(a *kqadmit.Tuning, _ *kqlimit.Tuning, by float64) { a.DoublingFree *= by }},
	{"EarlyEndFree", func(a *kqadmit.Tuning, _ *kqlimit.Tuning, by float64) { a.EarlyEndFree *= by }},
	{"PropagationDelay", func(a *kqadmit.Tuning, _ *kqlimit.Tuning, by float64) { scaleDuration(&a.PropagationDelay, by) }},
	{"ExcessDeviations", func(a *kqadmit.Tuning, _ *kqlimit.Tuning, by float64) { a.ExcessDeviations *= by }},
	{"MinQueue", func(a *kqadmit.Tuning, _ *kqlimit.Tuning, by float64) { scaleCount(&a.MinQueue, by) }},
	{"QueueFactor", func(a *kqadmit.Tuning, _ *kqlimit.Tuning, by float64) { a.QueueFactor *= by }},
	{"MinSojourn", func(a *kqadmit.Tuning, _ *kqlimit.Tuning, by float64) { scaleDuration(&a.MinSojourn, by) }},
	{"SojournFactor", func(a *kqadmit.Tuning, _ *kqlimit.Tuning, by float64) { a.SojournFactor *= by }},
	{"HoldWeight", func(a *kqadmit.Tuning, _ *kqlimit.Tuning, by float64) { a.HoldWeight *= by }},
	{"Samples", func(a *kqadmit.Tuning, _ *kqlimit.Tuning, by float64) { scaleCount(&a.Samples, by) }},
	{"SampleAge", func(a *kqadmit.Tuning, _ *kqlimit.Tuning, by float64) { scaleDuration(&a.SampleAge, by) }},
	{"MinSamples", func(a *kqadmit.Tuning, _ *kqlimit.Tuning, by float64) { scaleCount(&a.MinSamples, by) }},
	{"NeedQuantile below 1", func(a *kqadmit.Tuning, _ *kqlimit.Tuning, by float64) { scaleBelow1(&a.NeedQuantile, by) }},
	{"ProbePeriod", func(a *kqadmit.Tuning, _ *kqlimit.Tuning, by float64) { scaleDuration(&a.ProbePeriod, by) }},
	{"Memory", func(_ *kqadmit.Tuning, l *kqlimit.Tuning, by float64) { scaleCount(&l.Memory, by) }},
	{"Limit window", func(_ *kqadmit.Tuning, l *kqlimit.Tuning, by float64) { scaleCount(&l.Window, by) }},
	{"LowPart below 1", func(_ *kqadmit.Tuning, l *kqlimit.Tuning, by float64) { scaleBelow1(&l.LowPart, by) }},
	{"HighPart below 1", func(_ *kqadmit.Tuning, l *kqlimit.Tuning, by float64) { scaleBelow1(&l.HighPart, by) }},
	{"MinLowSamples", func(_ *kqadmit.Tuning, l *kqlimit.Tuning, by float64) { scaleCount(&l.MinLowSamples, by) }},
	{"TargetRatio above 1", func(_ *kqadmit.Tuning, l *kqlimit.Tuning, by float64) { scaleAbove1(&l.TargetRatio, by) }},
	{"LowerAbove above 1", func(_ *kqadmit.Tuning, l *kqlimit.Tuning, by float64) { scaleAbove1(&l.LowerAbove, by) }},
	{"LowerErrors", func(_ *kqadmit.Tuning, l *kqlimit.Tuning, by float64) { l.LowerErrors *= by }},
	{"GrowBelow above 1", func(_ *kqadmit.Tuning, l *kqlimit.Tuning, by float64) { scaleAbove1(&l.GrowBelow, by) }},
	{"GrowErrors", func(_ *kqadmit.Tuning, l *kqlimit.Tuning, by float64) { l.GrowErrors *= by }},
	{"UndecidedWindows", func(_ *kqadmit.Tuning, l *kqlimit.Tuning, by float64) { scaleCount(&l.UndecidedWindows, by) }},
	{"Settle", func(_ *kqadmit.Tuning, l *kqlimit.Tuning, by float64) { l.Settle *= by }},
	{"Change", func(_ *kqadmit.Tuning, l *kqlimit.Tuning, by float64) { l.Change = max(1.1, l.Change*by) }},
	{"FirstGrowth", func(_ *kqadmit.Tuning, l *kqlimit.Tuning, by float64) { l.FirstGrowth *= by }},
	{"MaxGrowth", func(_ *kqadmit.Tuning, l *kqlimit.Tuning, by float64) { l.MaxGrowth *= by }},
	{"ShedFactor below 1", func(_ *kqadmit.Tuning, l *kqlimit.Tuning, by float64) { scaleBelow1(&l.ShedFactor, by) }},
	{"ShedPause", func(_ *kqadmit.Tuning, l *kqlimit.Tuning, by float64) { scaleDuration(&l.ShedPause, by) }},
}

// BenchmarkSensitivity halves and doubles each parameter and simulates a slow
// server under a surge. It prints the worst result over all seeds: goodput
// during the overload with 5 and with 36 slots, goodput from 1 s after it, and
// breaks: violations of the order of ranks.
func BenchmarkSensitivity(b *testing.B) {
	for range b.N {
		table := &strings.Builder{}
		fmt.Fprintf(table, "%-22s %-30s %s\n", "number", "halved: 5, 36, after, breaks", "doubled: 5, 36, after, breaks")
		for _, p := range parameters {
			fmt.Fprintf(table, "%-22s %-30s %s\n", p.name, p.worst(0.5), p.worst(2))
		}
		fmt.Print(table.String())
	}
}

func (p parameter) worst(by float64) string {
	text := &strings.Builder{}
	after, violations := 9.0, 0
	for _, slots := range []int{5, 36} {
		during := 9.0
		for _, seed := range seeds {
			s := scenario{slots: slots, slower: 5, surge: 4, spread: 0.2, sheds: 40}
			s.admit, s.limit = kqadmit.DefaultTuning(), kqlimit.DefaultTuning()
			p.scale(&s.admit, &s.limit, by)
			m := s.simulate(seed, false)
			during, after = min(during, s.during(m)), min(after, s.after(m))
			violations += m.violations
		}
		fmt.Fprintf(text, "%.2f  ", during)
	}
	fmt.Fprintf(text, "%.2f  %d", after, violations)
	return text.String()
}
