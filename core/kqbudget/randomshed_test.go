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

var update = flag.Bool("update", false, "write the golden files anew")

// A service that sheds a part of its calls by chance, whatever their number,
// behind requests that need several of them.
const (
	shedPart     = 0.55
	shedEntries  = 62
	shedNodes    = 196
	shedRoots    = 1000
	shedBegin    = 12 * time.Second
	shedEnd      = 20 * time.Second
	shedMaxTries = 3
)

// shedRule says which requests are let in, and which of them may repeat calls
// that were shed, by a number in [0, 1) that all hops draw alike from the
// request's ID.
type shedRule struct {
	name    string
	letsIn  func(tie float64) bool
	repeats func(tie float64) bool
}

func below(part float64) func(float64) bool {
	return func(tie float64) bool { return tie < part }
}

// play gives the whole requests a second while the service sheds.
func (s shedRule) play(calls int) float64 {
	random := rand.New(rand.NewPCG(5, uint64(calls)))
	bound := kqbudget.Bound{Ratio: 0.2, Window: 10 * time.Second, Slack: 213}
	budgets := make([]*kqbudget.Budget, shedEntries)
	for i := range budgets {
		budgets[i] = kqbudget.New(bound)
	}
	call := kqbudget.Call{Service: "licensing", Depth: 3}
	whole := 0
	for now := time.Duration(0); now < shedEnd; now += time.Second / shedRoots {
		tie := random.Float64()
		sheds := now >= shedBegin
		if sheds && !s.letsIn(tie) {
			continue
		}
		b := budgets[random.IntN(shedEntries)]
		done := 0
		for done < calls {
			b.RecordRequest(now, call, false)
			ran := !sheds || random.Float64() >= shedPart
			for try := 1; !ran && try < shedMaxTries && s.repeats(tie) && b.TakeRepeat(now, call, shedNodes, false); try++ {
				ran = random.Float64() >= shedPart
			}
			if !ran {
				break
			}
			done++
		}
		if sheds && done == calls {
			whole++
		}
	}
	return float64(whole) / (shedEnd - shedBegin).Seconds()
}

// TestWholeRequestsBehindAServiceThatShedsByChance shows what is left of the
// requests that need several calls of such a service: letting fewer in makes
// no more of them whole, repeats kept for some of them do.
func TestWholeRequestsBehindAServiceThatShedsByChance(t *testing.T) {
	all := below(1)
	rules := []shedRule{
		{"all let in, repeats as they come", all, all},
		{"a tenth let in", below(0.1), all},
		{"all let in, repeats for a tenth", all, below(0.1)},
		{"all let in, repeats for a twentieth", all, below(0.05)},
	}
	var text strings.Builder
	fmt.Fprintf(&text, "%-38s %14s %14s\n", "whole requests a second of 1000", "4 calls each", "8 calls each")
	got := map[string]float64{}
	for _, r := range rules {
		four, eight := r.play(4), r.play(8)
		got[r.name] = four
		fmt.Fprintf(&text, "%-38s %14.1f %14.1f\n", r.name, four, eight)
	}
	if got[rules[1].name] >= got[rules[0].name] {
		t.Errorf("a tenth let in: got %.1f whole a second, want fewer than the %.1f of all", got[rules[1].name], got[rules[0].name])
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
