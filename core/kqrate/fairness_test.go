package kqrate_test

import (
	"math"
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"kumquatlink/core/kqfair"
	"kumquatlink/core/kqrate"
)

// fairWorld is a world of 87 entries, and 85 teams without quotas whose demands are of
// Zipf sizes. Servers have room for a part of the requests.
type fairWorld struct {
	*world
	demands []float64
	curve   []float32
}

const fairRoom = 0.62

func newFairWorld(seed uint64) *fairWorld {
	w := &fairWorld{world: newWorld(seed, 87)}
	for i := range 85 {
		rate := 800 * math.Pow(float64(i+1), -1.2)
		w.demands = append(w.demands, rate)
		w.add("team"+strconv.Itoa(i), kqrate.Quota{}, func(time.Duration) float64 { return rate }, nil)
	}
	for _, e := range w.entries {
		e.home.CurveOf = kqfair.NewCurve
	}
	w.curve = kqfair.NewCurve(w.demands)
	return w
}

// shares returns which part of the requests of the teams from first to last is within the
// room by the figures that entries hold, and which by the demands.
func (w *fairWorld) shares(r *rand.Rand, first, last int) (got, want float64) {
	const samples = 4000
	for range samples {
		i, root := first+r.IntN(last-first+1), strconv.FormatUint(r.Uint64(), 36)
		m := w.entries[r.IntN(len(w.entries))].meter
		demand, _, _ := m.Demand(w.now, "team"+strconv.Itoa(i))
		if float64(kqfair.Order(m.Curve(), demand, root)) <= fairRoom*math.MaxUint32 {
			got += 1.0 / samples
		}
		if float64(kqfair.Order(w.curve, w.demands[i], root)) <= fairRoom*math.MaxUint32 {
			want += 1.0 / samples
		}
	}
	return got, want
}

// TestSharesHoldWhileAHomeIsReplaced kills the home, and follows what teams within their
// shares get.
func TestSharesHoldWhileAHomeIsReplaced(t *testing.T) {
	for seed := range uint64(3) {
		w, r := newFairWorld(seed), rand.New(rand.NewPCG(seed, 11))
		const killed, step = 6 * time.Second, 100 * time.Millisecond
		w.events[killed] = func() { w.homeOf("team0").isDown = true }
		for w.run(killed); w.now < killed+4*time.Second; w.run(w.now + step) {
			for _, teams := range [][2]int{{8, 19}, {20, 84}} {
				if got, want := w.shares(r, teams[0], teams[1]); got < want-0.05 {
					t.Errorf("seed %d, %s after the loss of the home: share of teams %d to %d: got %.2f, want %.2f", seed, w.now-killed, teams[0], teams[1], got, want)
				}
			}
		}
	}
}

// TestSharesOfEntriesThatBeganTogether has all entries hear of the home at the same moment,
// and checks what teams near the limit get.
func TestSharesOfEntriesThatBeganTogether(t *testing.T) {
	for seed := range uint64(3) {
		w, r := newFairWorld(seed), rand.New(rand.NewPCG(seed, 12))
		w.run(6 * time.Second)
		var got, want float64
		const steps = 20
		for range steps {
			w.run(w.now + 100*time.Millisecond)
			g, x := w.shares(r, 3, 7)
			got, want = got+g/steps, want+x/steps
		}
		if math.Abs(got-want) > 0.05 {
			t.Errorf("seed %d: share of teams 3 to 7: got %.3f, want %.3f", seed, got, want)
		}
	}
}
