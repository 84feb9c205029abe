package kqrate_test

import (
	"slices"
	"testing"
	"time"

	"kumquatlink/core/kqrate"
)

// TestDemandIsWhatTheQuotaAdmits has a team send five times its quota, and checks which
// demand its fair share follows from, at the entries and in the curve of the home.
func TestDemandIsWhatTheQuotaAdmits(t *testing.T) {
	const rate, usual = 1000.0, 600.0
	w := newWorld(1, 24)
	w.add("hot", kqrate.Quota{Rate: rate, Burst: rate}, func(time.Duration) float64 { return 5 * rate }, nil)
	w.add("usual", kqrate.Quota{Rate: rate, Burst: rate}, func(time.Duration) float64 { return usual }, nil)
	w.add("free", kqrate.Quota{}, func(time.Duration) float64 { return 3 * rate }, nil)
	var curve []float64
	for _, e := range w.entries {
		e.home.CurveOf = func(demands []float64) []float32 {
			curve = slices.Clone(demands)
			return []float32{1}
		}
	}
	w.run(10 * time.Second)
	check := func(what string, got, want float64) {
		t.Helper()
		if got < 0.75*want || got > 1.25*want {
			t.Errorf("%s: got %.0f requests a second, want about %.0f", what, got, want)
		}
	}
	for _, e := range w.entries {
		for team, want := range map[string]float64{"hot": rate, "usual": usual, "free": 3 * rate} {
			got, _, _ := e.meter.Demand(w.now, team)
			check("demand of "+team+" at "+e.name, got, want)
		}
	}
	if len(curve) != 3 {
		t.Fatalf("demands in the curve: got %v, want 3", curve)
	}
	for i, want := range []float64{usual, rate, 3 * rate} {
		check("demand in the curve", curve[i], want)
	}
}

// TestDemandAfterTheLimit has a home limit a team, and no longer.
func TestDemandAfterTheLimit(t *testing.T) {
	const rate = 100.0
	m := kqrate.NewMeter("a", 1)
	m.SetHosts(0, []string{"a", "b"})
	home, now := kqrate.ChooseHomes([]string{"a", "b"}).Of("hot"), 10*time.Second
	m.Take(now, "hot", kqrate.Quota{Rate: rate})
	receive := func(grants ...kqrate.Grant) {
		now += time.Second
		m.Receive(now, home, reportTo(m, now, home), kqrate.Answer{IsHome: true, Grants: grants})
	}
	receive(kqrate.Grant{Team: "hot", Fraction: 0.2, Demand: 5 * rate})
	receive()
	got, age, known := m.Demand(now, "hot")
	if want := rate; !known || got < 0.99*want || got > 1.01*want {
		t.Errorf("demand of a team that is within its quota again: got %.0f, want at most the %.0f that the quota admits", got, want)
	}
	if age != 0 {
		t.Errorf("age of the demand: got %s, want 0", age)
	}
}
