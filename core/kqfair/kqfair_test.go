package kqfair_test

import (
	"math"
	"strconv"
	"testing"

	"kumquatlink/core/kqadmit"
	"kumquatlink/core/kqcall"
	"kumquatlink/core/kqfair"
)

func TestCurveWithoutDemandIsEmpty(t *testing.T) {
	for _, demands := range [][]float64{nil, {}, {0, 0}, {-1, math.NaN()}} {
		if got := kqfair.NewCurve(demands); len(got) != 0 {
			t.Errorf("curve of %v: got %v, want none", demands, got)
		}
	}
}

func TestCurveLeavesDemandsAlone(t *testing.T) {
	demands := []float64{3, 1, 2}
	kqfair.NewCurve(demands)
	if got, want := demands[0], 3.0; got != want {
		t.Errorf("first demand: got %v, want %v", got, want)
	}
}

// TestOrderWithoutCurveIsTheHash checks that a request whose entry knows no demands has
// the level that it has without a team.
func TestOrderWithoutCurveIsTheHash(t *testing.T) {
	for i := range 100 {
		root := "r" + strconv.Itoa(i)
		got := kqadmit.OrderedLevel(2, kqfair.Order(nil, 50, root))
		want := kqadmit.OnwardLevel(kqcall.Head{RequestID: root, Rank: 2})
		if got != want {
			t.Errorf("level of %s: got %v, want %v", root, got, want)
		}
	}
}

// TestTeamWithoutKnownDemandCountsAsSmall checks that the requests of a team that begins
// to send precede nearly all others, and not one another all alike.
func TestTeamWithoutKnownDemandCountsAsSmall(t *testing.T) {
	curve := kqfair.NewCurve([]float64{1000, 100, 100, 10})
	seen := map[uint32]bool{}
	for i := range 1000 {
		order := kqfair.Order(curve, 0, "r"+strconv.Itoa(i))
		if got, want := position(order), 1.0/16; got > want {
			t.Errorf("position: got %v, want at most %v", got, want)
		}
		seen[order] = true
	}
	if got, want := len(seen), 1000; got != want {
		t.Errorf("distinct positions: got %d, want %d", got, want)
	}
}

// TestRetryTimesOfTeams checks that callers of a team in surplus are told to come back
// later than those of a small team, and that refused callers are spread: if all are
// refused, no tenth of the range of times holds more than 0.15 of the callers.
func TestRetryTimesOfTeams(t *testing.T) {
	demands := []float64{900, 100, 100, 100, 20}
	curve := kqfair.NewCurve(demands)
	tenths, callers := [10]int{}, 0
	var means []float64
	for team, d := range demands {
		sum := 0.0
		for i := range int(d) * 10 {
			order := kqfair.Order(curve, d, strconv.Itoa(team)+"-"+strconv.Itoa(i))
			after := kqadmit.RetryAfter(kqadmit.OrderedLevel(1, order)).Seconds()
			sum += after
			tenths[min(9, int((after-0.5)*20))]++
			callers++
		}
		means = append(means, sum/(d*10))
	}
	if got, want := means[0], means[1]+0.2; got < want {
		t.Errorf("mean time of the team in surplus: got %.3f s, want at least %.3f s", got, want)
	}
	if got, want := means[4], means[1]; got > want {
		t.Errorf("mean time of the smallest team: got %.3f s, want at most %.3f s", got, want)
	}
	for i, n := range tenths {
		if got, want := float64(n)/float64(callers), 0.15; got > want {
			t.Errorf("callers in tenth %d of the range: got %.3f, want at most %.2f", i, got, want)
		}
	}
}

func BenchmarkNewCurve(b *testing.B) {
	for _, teams := range []int{85, 10_000} {
		b.Run(strconv.Itoa(teams)+" teams", func(b *testing.B) {
			demands := zipf(teams, 10*float64(teams))
			for b.Loop() {
				kqfair.NewCurve(demands)
			}
		})
	}
}

func BenchmarkOrder(b *testing.B) {
	curve := kqfair.NewCurve(zipf(85, 1600))
	for b.Loop() {
		kqfair.Order(curve, 120, "9c41d07be2a35f68")
	}
}

// zipf returns the demands of teams whose sizes follow Zipf's law with exponent 1.2.
func zipf(teams int, total float64) []float64 {
	demands, sum := make([]float64, teams), 0.0
	for i := range demands {
		demands[i] = math.Pow(float64(i+1), -1.2)
		sum += demands[i]
	}
	for i := range demands {
		demands[i] *= total / sum
	}
	return demands
}
