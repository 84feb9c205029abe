package kqrate_test

import (
	"testing"
	"time"

	"kumquatlink/core/kqrate"
)

// TestCurveIsComputedForEachReport sends a home a report each 4 ms, as 87 entries do.
func TestCurveIsComputedForEachReport(t *testing.T) {
	h := kqrate.NewHome()
	computed := 0
	h.CurveOf = func(demands []float64) []float32 {
		computed++
		return []float32{float32(len(demands))}
	}
	view := kqrate.HomeView{
		QuotaOf:  func(string) (kqrate.Quota, bool) { return kqrate.Quota{Rate: 100, Burst: 100}, true },
		IsHomeOf: func(string) bool { return true }, Hosts: 1,
	}
	var last kqrate.Answer
	const length, pause = 4 * time.Second, 4 * time.Millisecond
	for now := pause; now <= length; now += pause {
		team := "north"
		if now > length/2 {
			team = "south"
		}
		last = h.Receive(now, view, kqrate.Report{Entry: "a", Period: pause, Uses: []kqrate.Use{{Team: team, Admitted: 1, Asked: 1}}})
	}
	if want := 5*int(length/time.Second) + 1; computed == 0 || computed > want {
		t.Errorf("curves computed in %s: got %d, want 1 to %d", length, computed, want)
	}
	if len(last.Curve) != 1 || last.Curve[0] != 2 {
		t.Errorf("curve of the last answer: got %v, want that of both teams", last.Curve)
	}
}
