package kqrate_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"kumquatlink/core/kqrate"
)

// TestPreviewIsTheNextVerdict plays requests, reports and their loss on two meters, one
// of which is asked before each request. Its answer is the next verdict, and both give
// the same verdicts and reports.
func TestPreviewIsTheNextVerdict(t *testing.T) {
	refused, shares := 0, 0
	for seed := range uint64(20) {
		r := rand.New(rand.NewPCG(seed, 8))
		plain, asked := kqrate.NewMeter("a", seed), kqrate.NewMeter("a", seed)
		hosts := []string{"a", "b", "c"}
		plain.SetHosts(0, hosts)
		asked.SetHosts(0, hosts)
		now := time.Duration(0)
		for range 400 {
			now += time.Duration(r.IntN(30)) * time.Millisecond
			quota := kqrate.Quota{Rate: float64(r.IntN(4)) * 8, Burst: float64(r.IntN(5))}
			team := []string{"x", "y", "z"}[r.IntN(3)]
			var preview kqrate.Verdict
			for range 50 {
				preview = asked.Preview(now, team, quota)
				asked.Preview(now, "never-seen", quota)
			}
			want, got := plain.Take(now, team, quota), asked.Take(now, team, quota)
			if got != want {
				t.Fatalf("seed %d: verdict of the meter that was asked: got %+v, want %+v", seed, got, want)
			}
			// Only Take counts, so only it can make a report urgent.
			preview.IsUrgent = got.IsUrgent
			if preview != got {
				t.Fatalf("seed %d: preview: got %+v, want %+v as the request got", seed, preview, got)
			}
			if !got.Admitted {
				refused++
			}
			if got.IsShare {
				shares++
			}
			if _, _, known := asked.Demand(now, "never-seen"); known {
				t.Fatalf("seed %d: demand of a team that was only asked about: got it kept, want none", seed)
			}
			exchange(t, r.IntN(3), r.Float32(), now, plain, asked)
		}
	}
	if refused == 0 || shares == 0 {
		t.Errorf("requests refused and decided by the entry's share: got %d and %d, want some of each", refused, shares)
	}
}

// exchange has both meters report to the homes to which reports are due, which answer
// or not.
func exchange(t *testing.T, luck int, fraction float32, now time.Duration, plain, asked *kqrate.Meter) {
	t.Helper()
	due, _ := plain.Due(now)
	other, _ := asked.Due(now)
	if got, want := len(other), len(due); got != want {
		t.Fatalf("reports due: got %d, want %d", got, want)
	}
	for _, home := range due {
		for _, m := range []*kqrate.Meter{plain, asked} {
			report := reportTo(m, now, home)
			if luck == 0 {
				m.Fail(now, home, report)
				continue
			}
			answer := kqrate.Answer{IsHome: true}
			// A node without requests of a team does not keep what a home says of it.
			answer.Grants = append(answer.Grants, kqrate.Grant{Team: "never-seen", Fraction: 1, Demand: 40})
			for _, u := range report.Uses {
				answer.Grants = append(answer.Grants, kqrate.Grant{Team: u.Team, Fraction: fraction, Demand: 40, Wait: 0.1})
			}
			m.Receive(now, home, report, answer)
		}
	}
}
