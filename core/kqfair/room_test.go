package kqfair_test

import (
	"math"
	"strconv"
	"testing"
	"time"

	"pgregory.net/rapid"

	"kumquatlink/core/kqadmit"
	"kumquatlink/core/kqfair"
)

// level returns the threshold that admits a share of the requests of a rank.
func level(rank int, share float64) kqadmit.Level {
	return kqadmit.OrderedLevel(rank, uint32(share*math.MaxUint32))
}

// varied returns a room whose thresholds vary about half of the requests of rank 1.
func varied() *kqfair.Room {
	r := &kqfair.Room{}
	for i := range 40 {
		offset := 0.1 * float64(i%2*2-1)
		r.Record(time.Duration(i)*100*time.Millisecond, level(1, 0.5+offset), kqadmit.AdmitAll)
	}
	return r
}

const lastRecorded = 3900 * time.Millisecond

// TestRoomPlacesTeamsWithinTheirShareAhead checks that the requests of such teams are
// moved away from the threshold and keep their order, and that no other is moved.
func TestRoomPlacesTeamsWithinTheirShareAhead(t *testing.T) {
	demands := []float64{900, 100, 60, 20}
	curve := kqfair.NewCurve(demands)
	room := varied()
	rapid.Check(t, func(t *rapid.T) {
		demand := rapid.SampledFrom(demands).Draw(t, "demand")
		first, second := rapid.String().Draw(t, "first"), rapid.String().Draw(t, "second")
		order := func(root string) uint32 { return room.Order(lastRecorded, curve, demand, root, 1) }
		plain := func(root string) uint32 { return kqfair.Order(curve, demand, root) }
		if got, want := order(first), plain(first); demand == 900 && got != want {
			t.Errorf("position of the team in surplus: got %d, want %d", got, want)
		}
		if got, want := float64(order(first)), 0.8*float64(plain(first)); demand < 900 && got > want {
			t.Errorf("position of a team within its share: got %.0f, want at most %.0f", got, want)
		}
		if plain(first) < plain(second) && order(first) > order(second) {
			t.Errorf("positions of two requests of a team: got %d and %d, want them in the order of %d and %d", order(first), order(second), plain(first), plain(second))
		}
	})
}

// TestRoomThatSaysNothing checks that positions are the plain ones where a room tells
// nothing about the requests.
func TestRoomThatSaysNothing(t *testing.T) {
	curve := kqfair.NewCurve([]float64{900, 100, 60, 20})
	open := &kqfair.Room{}
	open.Record(0, kqadmit.AdmitAll, kqadmit.AdmitAll)
	for _, c := range []struct {
		name string
		room *kqfair.Room
		now  time.Duration
		rank int
	}{
		{"no report", &kqfair.Room{}, 0, 1},
		{"nothing was refused", open, 0, 1},
		{"old reports", varied(), lastRecorded + 2*time.Second, 1},
		{"more important rank", varied(), lastRecorded, 0},
		{"less important rank", varied(), lastRecorded, 2},
	} {
		for i := range 20 {
			root := "r" + strconv.Itoa(i)
			if got, want := c.room.Order(c.now, curve, 60, root, c.rank), kqfair.Order(curve, 60, root); got != want {
				t.Errorf("%s: position: got %d, want %d", c.name, got, want)
			}
		}
	}
}

// TestRoomOfAnyReports checks that no reports yield position 0.
func TestRoomOfAnyReports(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		room := &kqfair.Room{}
		var now time.Duration
		for range rapid.IntRange(0, 20).Draw(t, "reports") {
			now += time.Duration(rapid.IntRange(0, 500).Draw(t, "pause")) * time.Millisecond
			room.Record(now, kqadmit.Level(rapid.Uint64().Draw(t, "threshold")), kqadmit.Level(rapid.Uint64().Draw(t, "downstream")))
		}
		demand := rapid.Float64Range(0, 1000).Draw(t, "demand")
		if got := room.Order(now, kqfair.NewCurve([]float64{500, 100, 5}), demand, rapid.String().Draw(t, "root"), rapid.IntRange(0, 255).Draw(t, "rank")); got == 0 {
			t.Error("position: got 0, want any other")
		}
	})
}
