package kqrate

import "time"

// Preview returns the verdict that Take would give on the next request of a team, and
// counts nothing.
func (m *Meter) Preview(now time.Duration, name string, q Quota) Verdict {
	t := m.teams[name]
	if t == nil {
		t = m.newTeam(now, name)
	}
	// decide takes from the credit and the buckets, which the copy holds by value.
	trial := *t
	trial.quota = q
	return m.decide(now, &trial)
}
