package kqrate

import (
	"cmp"
	"slices"
	"time"
)

// Times of reports.
const (
	// minPeriod and maxPeriod bound how often an entry reports its uses to a home,
	// and periodPerHost is the period that each node of the fleet adds.
	minPeriod     = 400 * time.Millisecond
	maxPeriod     = 2 * time.Second
	periodPerHost = 2 * time.Millisecond
	// urgentPeriod is the shortest time between two reports of an entry to a home.
	urgentPeriod = 100 * time.Millisecond
	// askPeriod is how often an entry without uses asks which teams are limited. A
	// home that does not answer is tried as often.
	askPeriod = time.Second
	// ReportTimeout is the longest time to wait for the answer to a report.
	ReportTimeout = 400 * time.Millisecond
)

// What an entry does without answers of a home.
const (
	// maxFailures is the number of reports that fail in succession after which a home
	// counts as silent, so that the next node takes its place.
	maxFailures = 2
	// unheardTime is how long after an answer an entry goes on as it says. After that
	// it holds its own share of the quota.
	unheardTime = 1500 * time.Millisecond
	// shareTime is how long after an answer the share follows what the entry has had
	// of the fleet's demand.
	shareTime = 3 * time.Second
	// usedShare is the part of the quota that all entries use together by their share
	// of the demand, and evenShare the part that those use whose share is unknown.
	usedShare = 0.75
	evenShare = 0.25
	// lateShare is the part of the quota that all entries use together once the
	// shares of the demand are out of date.
	lateShare = 0.5
	// shareBurstTime is how long the unused share of an entry accumulates, and
	// firstShareTime the time whose share it may use at once.
	shareBurstTime = time.Second
	firstShareTime = 250 * time.Millisecond
	// demandShareWeight is the weight of the latest sample in the entry's share of the
	// demand.
	demandShareWeight = 0.3
)

// urgentUses is the least number of requests of a team that make a report urgent.
const urgentUses = 3

// Verdict is whether a request may be sent, and by which figures.
type Verdict struct {
	Admitted bool
	// RetryAfter is how long the caller of a refused request should wait.
	RetryAfter time.Duration
	// Fraction is the part of the team's requests that may be sent, and Demand the
	// fleet's demand in requests a second; they are Age old.
	Fraction float64
	Demand   float64
	Age      time.Duration
	// IsShare reports whether the entry holds its own share of the quota, since the
	// home is not heard of.
	IsShare bool
	// IsUrgent reports whether a report is due sooner than before.
	IsUrgent bool
}

// teamMeter is what an entry keeps of one team.
type teamMeter struct {
	name     string
	home     string
	quota    Quota
	admitted int
	asked    int
	// pendingSince is when the first unreported request came.
	pendingSince time.Duration
	// grant is what home has granted at grantedAt, if isGranted is set.
	grant     Grant
	grantedAt time.Duration
	isGranted bool
	// fairDemand is the demand that a home has admitted at fairAt, if isDemandKnown is set.
	fairDemand    float64
	fairAt        time.Duration
	isDemandKnown bool
	// settled is the last fraction of a home that was not young, at settledAt, if
	// isSettled is set.
	settled   float32
	settledAt time.Duration
	isSettled bool
	// credit is the part of a request that earlier ones have left.
	credit float64
	// demand is what callers send to this entry, and demandShare the part that it is
	// of the fleet's demand.
	demand      estimate
	demandShare float64
	// ownTokens is a bucket of the whole quota for this entry alone, which bounds what
	// it sends before a home has answered.
	ownTokens   float64
	ownFilledAt time.Duration
	hasOwn      bool
	// shareTokens is the bucket of the entry's own share.
	shareTokens   float64
	shareFilledAt time.Duration
	isShare       bool
	usedAt        time.Duration
}

// homeState is what an entry knows of a home.
type homeState struct {
	// sentAt is when the last report was sent, and reportedAt when the last one was
	// that the home has taken.
	sentAt     time.Duration
	reportedAt time.Duration
	// answeredAt is when it has answered last as a home, or when it was chosen.
	answeredAt time.Duration
	failures   int
	isWaiting  bool
	isUrgent   bool
	// hasUses and isUrgentTold report whether verdicts have told that a report is due,
	// and that it is so at once.
	hasUses      bool
	isUrgentTold bool
}

// Meter is the entry's side of quotas: it decides on requests by what the homes of
// their teams have granted, and counts them for the next report.
type Meter struct {
	// IsKnown reports whether the configuration has a team. Uses of others are not
	// reported. If it is nil, all are.
	IsKnown func(team string) bool

	// phase is a random number that sets the first credit of each team.
	phase  uint64
	self   string
	hosts  []string
	homes  Homes
	silent map[string]bool
	teams  map[string]*teamMeter
	// pending holds the teams with unreported requests.
	pending map[string]*teamMeter
	// limited holds the teams that a home limits.
	limited map[string]*teamMeter
	states  map[string]*homeState
	// curve is what a home has sent last that was not young.
	curve []float32
	// since is when homes has changed last.
	since   time.Duration
	sweptAt time.Duration
}

// NewMeter returns a meter of the entry with a node ID. The phase is random.
func NewMeter(self string, phase uint64) *Meter {
	return &Meter{
		self: self, phase: phase, silent: map[string]bool{}, teams: map[string]*teamMeter{},
		pending: map[string]*teamMeter{}, limited: map[string]*teamMeter{}, states: map[string]*homeState{},
	}
}

// SetHosts sets the node IDs of the fleet's hosts, among which the homes are chosen.
func (m *Meter) SetHosts(now time.Duration, hosts []string) {
	m.hosts = hosts
	for name := range m.silent {
		if !slices.Contains(hosts, name) {
			delete(m.silent, name)
		}
	}
	m.chooseHomes(now)
}

// chooseHomes chooses the homes among the hosts that are not silent.
func (m *Meter) chooseHomes(now time.Duration) {
	var hosts []string
	for _, name := range m.hosts {
		if !m.silent[name] {
			hosts = append(hosts, name)
		}
	}
	homes := ChooseHomes(hosts)
	if slices.Equal(homes.names, m.homes.names) {
		return
	}
	m.homes, m.since = homes, now
	for _, name := range homes.names {
		if m.states[name] == nil {
			m.states[name] = &homeState{answeredAt: now, reportedAt: now, sentAt: now - urgentPeriod, isUrgent: true}
		}
	}
	for name := range m.states {
		if !slices.Contains(homes.names, name) && !m.silent[name] {
			delete(m.states, name)
		}
	}
	for _, t := range m.teams {
		if home := homes.Of(t.name); home != t.home {
			t.home = home
			if s := m.states[home]; s != nil {
				s.isUrgent = true
			}
		}
	}
}

// IsHomeOf reports whether this node is the home of a team in its own view.
func (m *Meter) IsHomeOf(team string) bool {
	return m.homes.Of(team) == m.self
}

// IsHome reports whether this node is one of the homes in its own view.
func (m *Meter) IsHome() bool {
	return slices.Contains(m.homes.names, m.self)
}

// Hosts returns the number of the fleet's hosts.
func (m *Meter) Hosts() int {
	return len(m.hosts)
}

// Since returns when the choice of the homes has changed last.
func (m *Meter) Since() time.Duration {
	return m.since
}

// Take decides on a request of a team, and counts it.
func (m *Meter) Take(now time.Duration, name string, q Quota) Verdict {
	t := m.team(now, name)
	t.quota, t.usedAt = q, now
	t.demand.add(now, 1, 0)
	m.count(now, t)
	t.asked++
	v := m.decide(now, t)
	if v.Admitted {
		t.admitted++
	}
	v.IsUrgent = m.noteUrgent(now, t)
	return v
}

// Demand returns the fleet's demand of a team in requests a second, as far as the quota
// admits it, as its home has answered last, and the age of that. It returns false if no
// home has answered.
func (m *Meter) Demand(now time.Duration, name string) (demand float64, age time.Duration, known bool) {
	t := m.teams[name]
	if t == nil || !t.isDemandKnown {
		return 0, 0, false
	}
	return t.fairDemand, now - t.fairAt, true
}

// Curve returns the curve of all teams' demands that a home has sent last, or nil.
func (m *Meter) Curve() []float32 {
	return m.curve
}

// setDemand takes the demand of the last grant for the team's fair share.
func (t *teamMeter) setDemand(now time.Duration) {
	t.fairDemand, t.fairAt, t.isDemandKnown = t.grant.admitted(), now, true
}

// Add counts requests of a team that Take has not decided on: a further try of an
// admitted request, or with a negative number requests that no server has run.
func (m *Meter) Add(now time.Duration, name string, count int) {
	t := m.team(now, name)
	m.count(now, t)
	t.admitted += count
	t.ownTokens -= float64(count)
}

func (m *Meter) team(now time.Duration, name string) *teamMeter {
	t := m.teams[name]
	if t == nil {
		t = m.newTeam(now, name)
		m.teams[name] = t
	}
	return t
}

// newTeam returns what the entry keeps of a team before its first request.
func (m *Meter) newTeam(now time.Duration, name string) *teamMeter {
	t := &teamMeter{name: name, home: m.homes.Of(name), usedAt: now, shareFilledAt: now}
	t.credit = float64(hashOf(name)^m.phase) / (1 << 64)
	return t
}

// count marks that a team has requests to report.
func (m *Meter) count(now time.Duration, t *teamMeter) {
	if m.pending[t.name] == nil {
		m.pending[t.name] = t
		t.pendingSince = now
	}
}

// decide decides on a request by what the home has granted, or by the entry's share.
func (m *Meter) decide(now time.Duration, t *teamMeter) Verdict {
	v := Verdict{Admitted: true, Fraction: 1}
	if t.isGranted {
		v.Fraction, v.Demand, v.Age = float64(t.grant.Fraction), float64(t.grant.Demand), now-t.grantedAt
	}
	if t.quota.Rate <= 0 {
		v.Fraction = 1
		return v
	}
	s := m.states[t.home]
	t.isShare = m.keepsShare(now, t, s)
	v.IsShare = t.isShare
	fraction := v.Fraction
	if t.isShare && v.Age > shareTime {
		// A home that is lost may have granted nothing.
		fraction = 1
	}
	if fraction < 1 {
		t.credit = min(t.credit, 1) + fraction
		v.Admitted = t.credit >= 1
	}
	if t.isShare && v.Admitted {
		v.Admitted, v.RetryAfter = m.takeShare(now, t, s)
	}
	if fraction < 1 && v.Admitted {
		t.credit--
	}
	if v.Admitted && !t.takeOwn(now) {
		v.Admitted, v.RetryAfter = false, min(time.Duration((1-t.ownTokens)/t.quota.Rate*float64(time.Second)), maxReportTime)
	}
	if !v.Admitted && v.RetryAfter == 0 {
		v.RetryAfter = m.retryAfter(t, v)
	}
	return v
}

// takeOwn reports whether the team would be within its quota if it sent requests to
// this entry alone, and counts one.
func (t *teamMeter) takeOwn(now time.Duration) bool {
	size := t.quota.Burst + spareCalls
	if !t.hasOwn {
		t.ownTokens, t.hasOwn = size, true
	} else {
		t.ownTokens = min(size, t.ownTokens+t.quota.Rate*(now-t.ownFilledAt).Seconds())
	}
	t.ownFilledAt = now
	if t.ownTokens < 1 {
		return false
	}
	t.ownTokens--
	return true
}

// keepsShare reports whether the entry holds its own share, since the home has not
// answered lately.
func (m *Meter) keepsShare(now time.Duration, t *teamMeter, s *homeState) bool {
	keeps := s == nil || s.failures > 0 || now-s.answeredAt > max(unheardTime, 2*m.period())
	if keeps && !t.isShare {
		t.shareTokens, t.shareFilledAt = max(1, firstShareTime.Seconds()*m.shareOf(now, t, s)), now
	}
	return keeps
}

// shareOf returns the entry's share of the team's quota, in requests a second.
func (m *Meter) shareOf(now time.Duration, t *teamMeter, s *homeState) float64 {
	even := 1 / float64(max(len(m.hosts), 1))
	switch {
	case s == nil || now-s.answeredAt > shareTime:
		return t.quota.Rate * lateShare * even
	case !t.isGranted || t.grant.Demand <= 0 || now-t.grantedAt > shareTime:
		return t.quota.Rate * evenShare * even
	}
	return t.quota.Rate * min(1, usedShare*max(t.demandShare, even*evenShare))
}

// takeShare admits a request if the entry's share holds one.
func (m *Meter) takeShare(now time.Duration, t *teamMeter, s *homeState) (bool, time.Duration) {
	rate := m.shareOf(now, t, s)
	t.shareTokens = min(t.shareTokens+rate*(now-t.shareFilledAt).Seconds(), max(1, rate*shareBurstTime.Seconds()))
	t.shareFilledAt = now
	if t.shareTokens >= 1 {
		t.shareTokens--
		return true, 0
	}
	wait := time.Duration((1 - t.shareTokens) / rate * float64(time.Second))
	return false, min(wait, maxReportTime)
}

// retryAfter returns when the team's bucket will hold a request, and later for a part
// of the refused callers, so that they don't all return at once.
func (m *Meter) retryAfter(t *teamMeter, v Verdict) time.Duration {
	wait := max(float64(t.grant.Wait)-v.Age.Seconds(), 1/t.quota.Rate)
	wait += t.credit * (1 - v.Fraction) * spreadTime.Seconds()
	return min(time.Duration(wait*float64(time.Second)), maxReportTime)
}

// noteUrgent reports whether a report is due sooner than before this request: it is the
// first one since the last report, the home is new, or the requests that are not reported
// yet are so many that it should hear of them at once.
func (m *Meter) noteUrgent(now time.Duration, t *teamMeter) bool {
	s := m.states[t.home]
	if s == nil {
		return false
	}
	isSooner := !s.hasUses
	s.hasUses = true
	if !s.isUrgentTold && (s.isUrgent || m.hasManyUses(now, t)) {
		s.isUrgent, s.isUrgentTold = true, true
		isSooner = true
	}
	return isSooner
}

// hasManyUses reports whether the requests of a team that are not reported yet, scaled
// to the fleet, are more than its rate.
func (m *Meter) hasManyUses(now time.Duration, t *teamMeter) bool {
	if t.quota.Rate <= 0 || t.asked < urgentUses {
		return false
	}
	scale := float64(max(len(m.hosts), 1))
	if t.isGranted && t.demandShare > 0 {
		scale = min(scale, 1/t.demandShare)
	}
	expected := t.quota.Rate * (now - t.pendingSince + urgentPeriod).Seconds()
	return float64(t.asked)*scale > expected
}

// period returns how often uses are reported.
func (m *Meter) period() time.Duration {
	return min(max(minPeriod, time.Duration(len(m.hosts))*periodPerHost), maxPeriod)
}

// Due returns the nodes to which a report is due, and when the next one will be.
// Without homes, next is a later time at which to ask again.
func (m *Meter) Due(now time.Duration) (due []string, next time.Duration) {
	next = now + askPeriod
	hasUses := map[string]bool{}
	for _, t := range m.pending {
		hasUses[t.home] = true
	}
	for name, s := range m.states {
		if s.isWaiting {
			continue
		}
		at := s.sentAt + max(askPeriod, m.period())
		switch {
		case m.silent[name]:
		case s.isUrgent:
			at = s.sentAt + urgentPeriod
		case hasUses[name]:
			at = s.sentAt + m.period()
		}
		if at <= now {
			due = append(due, name)
			continue
		}
		next = min(next, at)
	}
	slices.Sort(due)
	return due, next
}

// Report returns the report to a node, whose answer goes to Receive or Fail. A node
// that has been silent is only asked. It returns false if the node is no home any more.
func (m *Meter) Report(now time.Duration, home string) (Report, bool) {
	s := m.states[home]
	if s == nil {
		return Report{}, false
	}
	s.isWaiting, s.isUrgent, s.sentAt = true, false, now
	s.hasUses, s.isUrgentTold = false, false
	r := Report{Entry: m.self}
	since := s.reportedAt
	if m.silent[home] {
		return r, true
	}
	for name, t := range m.pending {
		if t.home != home {
			continue
		}
		if m.IsKnown != nil && !m.IsKnown(name) {
			t.admitted, t.asked = 0, 0
			delete(m.pending, name)
			continue
		}
		r.Uses = append(r.Uses, Use{Team: name, Admitted: t.admitted, Asked: t.asked})
		t.admitted, t.asked = 0, 0
		since = min(since, t.pendingSince)
		delete(m.pending, name)
	}
	r.Period = now - since
	slices.SortFunc(r.Uses, func(a, b Use) int { return cmp.Compare(a.Team, b.Team) })
	return r, true
}

// Receive takes the answer of a home to a report.
func (m *Meter) Receive(now time.Duration, home string, r Report, a Answer) {
	if now-m.sweptAt > forgetTime {
		m.sweep(now)
	}
	s := m.states[home]
	if s == nil {
		m.restore(now, r.Period, r.Uses)
		return
	}
	s.isWaiting = false
	if m.silent[home] {
		delete(m.silent, home)
		m.chooseHomes(now)
	}
	if !a.IsHome {
		m.restore(now, r.Period, r.Uses)
		return
	}
	s.answeredAt, s.failures = now, 0
	// A home that has become that of further teams does not know their demand yet.
	isYoung := a.Young || m.since > 0 && now-m.since < youngTime
	granted := make(map[string]bool, len(a.Grants))
	for _, g := range a.Grants {
		granted[g.Team] = true
		if t := m.receiveGrant(now, home, g, isYoung); t != nil && !a.Young {
			t.setDemand(now)
		}
	}
	if len(a.Curve) > 0 && !a.Young {
		m.curve = a.Curve
	}
	for name, t := range m.limited {
		if t.home == home && !granted[name] && (!isYoung || now-t.grantedAt >= maxReportTime) {
			t.grant.Fraction, t.grantedAt, t.fairAt = 1, now, now
			t.settled, t.settledAt, t.isSettled = 1, now, true
			delete(m.limited, name)
		}
	}
	// The home does not know their teams, or is not their home. The period of the next
	// report is that of the teams whose uses it has taken.
	refused := slices.DeleteFunc(slices.Clone(r.Uses), func(u Use) bool { return granted[u.Team] })
	m.restore(now, 0, refused)
	s.reportedAt = s.sentAt
}

// receiveGrant takes what a home grants a team, and returns the team's meter, or nil if
// the grant is not for this entry. A home that is young may only lower what the one
// before it has granted.
func (m *Meter) receiveGrant(now time.Duration, home string, g Grant, isYoung bool) *teamMeter {
	t := m.teams[g.Team]
	if t == nil && g.Fraction >= 1 || m.homes.Of(g.Team) != home {
		return nil
	}
	t = m.team(now, g.Team)
	if !isYoung {
		t.settled, t.settledAt, t.isSettled = g.Fraction, now, true
	} else if t.isSettled && now-t.settledAt < maxReportTime {
		g.Fraction = min(g.Fraction, t.settled)
	}
	t.grant, t.grantedAt, t.isGranted = g, now, true
	share := 0.0
	if g.Demand > 0 {
		share = min(1, t.demand.rate(now)/float64(g.Demand))
	}
	if t.demandShare == 0 {
		t.demandShare = share
	}
	t.demandShare += demandShareWeight * (share - t.demandShare)
	delete(m.limited, g.Team)
	if g.Fraction < 1 {
		m.limited[g.Team] = t
	}
	return t
}

// Fail counts a report that was not answered. Its uses are reported again.
func (m *Meter) Fail(now time.Duration, home string, r Report) {
	m.restore(now, r.Period, r.Uses)
	s := m.states[home]
	if s == nil {
		return
	}
	s.isWaiting, s.isUrgent = false, true
	s.failures++
	if s.failures >= maxFailures && home != m.self && !m.silent[home] {
		m.silent[home] = true
		former := m.homes.names
		m.chooseHomes(now)
		for _, name := range m.homes.names {
			if !slices.Contains(former, name) {
				// The entry holds its share until the next home has answered.
				m.states[name].answeredAt, m.states[name].failures = s.answeredAt, 1
			}
		}
	}
}

// restore counts uses of a period again that no home has taken.
func (m *Meter) restore(now, period time.Duration, uses []Use) {
	for _, u := range uses {
		t := m.team(now, u.Team)
		m.count(now, t)
		t.pendingSince = min(t.pendingSince, now-period)
		t.admitted += u.Admitted
		t.asked += u.Asked
	}
}

// sweep forgets teams that had no requests for some time.
func (m *Meter) sweep(now time.Duration) {
	m.sweptAt = now
	for name, t := range m.teams {
		if now-t.usedAt > 2*forgetTime && m.pending[name] == nil {
			delete(m.teams, name)
			delete(m.limited, name)
		}
	}
}
