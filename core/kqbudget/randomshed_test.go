package kqbudget_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"strings"
	"testing"
	"time"

	"kumquatlink/core/kqbudget"
)

var update = flag.Bool("update", false, "rewrite the golden files")

// Settings of the simulation: a service sheds a fixed share of its calls at
// random, whatever their number, and each request needs several of its calls.
const (
	shedShare             = 0.55
	shedEntries           = 62
	shedNodes             = 196
	shedRequestsPerSecond = 1000
	shedBegin             = 12 * time.Second
	shedEnd               = 20 * time.Second
	shedMaxTries          = 3
)

// shedRule decides which requests are admitted, and which of them may repeat
// calls that were shed. It decides by a number in [0, 1) that every hop derives
// alike from the request's ID.
type shedRule struct {
	name    string
	admits  func(draw float64) bool
	repeats func(draw float64) bool
}

func below(share float64) func(float64) bool {
	return func(draw float64) bool { return draw < share }
}

// simulate returns the number of requests that complete per second, with all
// their calls, while the service sheds.
func (s shedRule) simulate(calls int) float64 {
	random := rand.New(rand.NewPCG(5, uint64(calls)))
	bound := kqbudget.Bound{Ratio: 0.2, Window: 10 * time.Second, Slack: 213}
	budgets := make([]*kqbudget.Budget, shedEntries)
	for i := range budgets {
		budgets[i] = kqbudget.New(bound)
	}
	call := kqbudget.Call{Service: "licensing", Depth: 3}
	completed := 0
	for now := time.Duration(0); now < shedEnd; now += time.Second / shedRequestsPerSecond {
		draw := random.Float64()
		sheds := now >= shedBegin
		if sheds && !s.admits(draw) {
			continue
		}
		b := budgets[random.IntN(shedEntries)]
		done := 0
		for done < calls {
			b.RecordRequest(now, call, false)
			ran := !sheds || random.Float64() >= shedShare
			for try := 1; !ran && try < shedMaxTries && s.repeats(draw) && b.TakeRepeat(now, call, shedNodes, false); try++ {
				ran = random.Float64() >= shedShare
			}
			if !ran {
				break
			}
			done++
		}
		if sheds && done == calls {
			completed++
		}
	}
	return float64(completed) / (shedEnd - shedBegin).Seconds()
}

// TestCompletedRequestsBehindAServiceThatShedsAtRandom shows how many of the
// requests that need several calls of such a service complete, under each rule.
// Admitting only a tenth of the requests must complete fewer of them; the golden
// file holds the figures for repeats that are reserved for some requests.
func TestCompletedRequestsBehindAServiceThatShedsAtRandom(t *testing.T) {
	all := below(1)
	rules := []shedRule{
		{"all admitted, repeats for all", all, all},
		{"a tenth admitted", below(0.1), all},
		{"all admitted, repeats for a tenth", all, below(0.1)},
		{"all admitted, repeats for a twentieth", all, below(0.05)},
	}
	var text strings.Builder
	fmt.Fprintf(&text, "%-38s %14s %14s\n", "completed requests/s of 1000", "4 calls each", "8 calls each")
	got := map[string]float64{}
	for _, r := range rules {
		four, eight := r.simulate(4), r.simulate(8)
		got[r.name] = four
		fmt.Fprintf(&text, "%-38s %14.1f %14.1f\n", r.name, four, eight)
	}
	if got[rules[1].name] >= got[rules[0].name] {
		t.Errorf("a tenth admitted: got %.1f completed requests/s, want fewer than the %.1f with all admitted", got[rules[1].name], got[rules[0].name])
	}
	if *update {
		if err := os.WriteFile("testdata/randomshed.txt", []byte(text.String()), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile("testdata/randomshed.txt")
	if err != nil {
		t.Fatal(err)
	}
	if text.String() != string(want) {
		t.Errorf("got\n%s\nwant\n%s", text.String(), want)
	}
}
