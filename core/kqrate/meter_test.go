package kqrate_test

import (
	"testing"
	"time"

	"kumquatlink/core/kqrate"
)

// answerAll has a home answer all reports that are due.
func answerAll(now time.Duration, m *kqrate.Meter, h *kqrate.Home, v kqrate.HomeView) {
	due, _ := m.Due(now)
	for _, home := range due {
		if r, known := m.Report(now, home); known {
			m.Receive(now, home, r, h.Receive(now, v, r))
		}
	}
}

// viewOf returns the view of a lone home of all teams that the configuration has.
func viewOf(quotas map[string]kqrate.Quota) kqrate.HomeView {
	return kqrate.HomeView{
		QuotaOf:  func(team string) (kqrate.Quota, bool) { q, known := quotas[team]; return q, known },
		IsHomeOf: func(string) bool { return true }, Hosts: 1,
	}
}

// TestReportToAFormerHomeIsNotMade changes the hosts after a report was due. Another
// goroutine of a node may do so.
func TestReportToAFormerHomeIsNotMade(t *testing.T) {
	m := kqrate.NewMeter("node-0", 1)
	m.SetHosts(0, []string{"node-0", "node-1"})
	due, _ := m.Due(time.Second)
	if got, want := len(due), 1; got != want {
		t.Fatalf("homes to which a report is due: got %d, want %d", got, want)
	}
	m.SetHosts(time.Second, []string{"node-2", "node-3"})
	if _, known := m.Report(time.Second, due[0]); known {
		t.Errorf("report to %s, which is no home any more: got one, want none", due[0])
	}
}

// play sends requests of teams to a lone node at even times, and returns how many of each
// were admitted between two times.
func play(m *kqrate.Meter, h *kqrate.Home, quotas map[string]kqrate.Quota, rates map[string]float64, from, until time.Duration) map[string]int {
	admitted, sums := map[string]int{}, map[string]float64{}
	for now := from; now < until; now += time.Millisecond {
		for team, rate := range rates {
			for sums[team] += rate / 1000; sums[team] >= 1; sums[team]-- {
				if m.Take(now, team, quotas[team]).Admitted {
					admitted[team]++
				}
			}
		}
		answerAll(now, m, h, viewOf(quotas))
	}
	return admitted
}

// TestTeamGetsAQuotaWithADebt gives a quota to a team that had none, and that sends less.
// What it sent before must not count.
func TestTeamGetsAQuotaWithADebt(t *testing.T) {
	quotas := map[string]kqrate.Quota{"team": {}}
	m, h := kqrate.NewMeter("node-0", 1), kqrate.NewHome()
	m.SetHosts(0, []string{"node-0"})
	rates := map[string]float64{"team": 100}
	play(m, h, quotas, rates, 0, 20*time.Second)
	quotas["team"] = kqrate.Quota{Rate: 200, Burst: 200}
	got := play(m, h, quotas, rates, 20*time.Second, 25*time.Second)["team"]
	if want := 490; got < want {
		t.Errorf("requests admitted at half of the new quota: got %d of 500, want at least %d", got, want)
	}
}

// TestTeamThatIsRemovedSpoilsTheReports removes a team from the configuration while its
// last requests are not reported yet. The others' demand must be known as before.
func TestTeamThatIsRemovedSpoilsTheReports(t *testing.T) {
	quotas := map[string]kqrate.Quota{"kept": {Rate: 100, Burst: 100}, "removed": {Rate: 100, Burst: 100}}
	m, h := kqrate.NewMeter("node-0", 1), kqrate.NewHome()
	m.SetHosts(0, []string{"node-0"})
	m.IsKnown = func(team string) bool { _, known := quotas[team]; return known }
	play(m, h, quotas, map[string]float64{"kept": 50, "removed": 50}, 0, 10*time.Second)
	delete(quotas, "removed")
	play(m, h, quotas, map[string]float64{"kept": 50}, 10*time.Second, 20*time.Second)
	got, _, _ := m.Demand(20*time.Second, "kept")
	if want := 50.0; got < 0.8*want || got > 1.2*want {
		t.Errorf("demand of the team that was kept: got %.1f requests a second, want %.0f", got, want)
	}
	r, _ := m.Report(20*time.Second, "node-0")
	for _, u := range r.Uses {
		if u.Team == "removed" {
			t.Errorf("report ten seconds after the team was removed: got uses of it, want none")
		}
	}
}

// TestTeamThatItsHomeDoesNotKnowSpoilsTheReports adds a team to the configuration of the
// entry, not yet to that of the home. The others' demand must be known as before.
func TestTeamThatItsHomeDoesNotKnowSpoilsTheReports(t *testing.T) {
	quotas := map[string]kqrate.Quota{"known": {Rate: 100, Burst: 100}}
	m, h := kqrate.NewMeter("node-0", 1), kqrate.NewHome()
	m.SetHosts(0, []string{"node-0"})
	play(m, h, quotas, map[string]float64{"known": 50, "new": 10}, 0, 10*time.Second)
	got, _, _ := m.Demand(10*time.Second, "known")
	if want := 50.0; got < 0.8*want || got > 1.2*want {
		t.Errorf("demand of the team that the home knows: got %.1f requests a second, want %.0f", got, want)
	}
}

// TestEntryWithoutItsHomeHoldsItsShare cuts an entry off from its home, which has limited
// the team to a small part of its requests. The entry must still send its own share.
func TestEntryWithoutItsHomeHoldsItsShare(t *testing.T) {
	q := kqrate.Quota{Rate: 100, Burst: 100}
	for _, fraction := range []float32{0, 0.1, 1} {
		m := kqrate.NewMeter("node-0", 1)
		m.SetHosts(0, []string{"node-0", "node-1"})
		home := kqrate.ChooseHomes([]string{"node-0", "node-1"}).Of("team")
		r, _ := m.Report(time.Second, home)
		m.Receive(time.Second, home, r, kqrate.Answer{IsHome: true, Grants: []kqrate.Grant{{Team: "team", Fraction: fraction, Demand: 1000}}})
		const from, until = 6 * time.Second, 16 * time.Second
		got := 0
		for now := from; now < until; now += 2 * time.Millisecond {
			if m.Take(now, "team", q).Admitted {
				got++
			}
		}
		// Half of an even share between two nodes.
		want := 250
		if got < want*9/10 || got > want*11/10 {
			t.Errorf("requests admitted in 10 s without a home that granted %g: got %d, want about %d", fraction, got, want)
		}
	}
}
