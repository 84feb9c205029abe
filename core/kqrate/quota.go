package kqrate

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Times and sizes of a home.
const (
	// spreadTime is the time over which a home lets teams use what their bucket
	// holds, and repay what they owe.
	spreadTime = time.Second
	// spareCalls is how much larger a team's bucket is than its burst, so that teams
	// of few requests are not limited for their random arrival.
	spareCalls = 5
	// pauseTime is the time without any report after which a home may have been
	// stopped, so that another one may have counted in its place.
	pauseTime = 1500 * time.Millisecond
	// skipTime is how long a home that was stopped takes no reports, since their
	// senders have given up those that waited meanwhile.
	skipTime = 200 * time.Millisecond
	// youngTime is how long a home takes to hear of the demand of all entries.
	youngTime = 2 * time.Second
	// youngShare is the part of the quotas that a home uses meanwhile, since entries
	// may still follow another one.
	youngShare = 0.9
	// heardTime is how long an entry counts as in touch after its last report.
	heardTime = 3 * time.Second
	// minHeardShare is the share of the fleet's entries that a home has to hear of to
	// use the whole quota. Others use at most the share of the entries that they hear.
	minHeardShare = 0.5
	// maxReportTime is the longest time that a report may cover.
	maxReportTime = 5 * time.Second
	// maxListed is the largest number of limited teams that an answer lists in
	// addition to those of the report.
	maxListed = 256
	// unlimitedTime is how long a team that was limited must not have been so before
	// that is told.
	unlimitedTime = 5 * time.Second
	// curveTime is how long a curve of the teams' demands is sent before it is computed
	// again.
	curveTime = 200 * time.Millisecond
	// curveTolerance is the part by which the demand of all teams may have changed
	// since the curve was computed without a change of the curve.
	curveTolerance = 0.01
	// forgetTime is how long a team without requests is kept.
	forgetTime = 30 * time.Second
)

// Quota is how many requests a second a team may send over all nodes together, and
// how many more after a pause. A Rate of 0 means no limit.
type Quota struct {
	Rate  float64
	Burst float64
}

// Use is what an entry has seen of a team since its former report.
type Use struct {
	_    struct{} `cbor:",toarray"`
	Team string
	// Admitted is the number of requests that were sent to servers, less those that
	// no server has run. It may be negative.
	Admitted int
	// Asked is the number of requests that callers have sent.
	Asked int
}

// Report is what an entry reports to a home. A report without uses asks only which
// teams are limited.
type Report struct {
	Entry string
	// Period is the time that the report covers.
	Period time.Duration
	Uses   []Use
}

// Grant is what a home grants a team.
type Grant struct {
	_    struct{} `cbor:",toarray"`
	Team string
	// Fraction is the part of the team's requests that entries may send now.
	Fraction float32
	// Demand is the fleet's demand in requests a second.
	Demand float32
	// Wait is the time, in seconds, until the team's bucket holds a request if it
	// sends none.
	Wait float32
}

// admitted returns how many of the team's requests a second entries may send.
func (g Grant) admitted() float64 {
	return float64(g.Demand) * float64(min(g.Fraction, 1))
}

// Answer is the answer of a home to a report.
type Answer struct {
	// IsHome reports whether the node is a home in its own view.
	IsHome bool
	// Young reports whether the home does not know the demand of all entries yet.
	Young bool
	// Grants holds the teams of the report for which the node is the home, and all
	// other teams that it limits.
	Grants []Grant
	// Curve is the curve of the teams' demands that a function of the home returns.
	Curve []float32 `cbor:",omitempty"`
}

// account is what a home keeps of one team.
type account struct {
	quota    Quota
	tokens   float64
	filledAt time.Duration
	demand   estimate
	usedAt   time.Duration
	// limitedSince and limitedAt are when the team was first and last limited, if
	// isLimited is set.
	limitedSince time.Duration
	limitedAt    time.Duration
	isLimited    bool
}

// Home counts what the teams use that it is the home of, over all entries, and says
// which part of their requests entries may send. Each limited team has a token bucket
// that entries may overdraw: a debt is repaid before the team gets its rate again.
type Home struct {
	// CurveOf returns a curve of the demands of all teams, in requests a second and as far
	// as quotas admit them, that answers carry. If it is nil, they carry none.
	CurveOf func(demands []float64) []float32
	// LimitChanged is told when a team begins to be limited, and when it has not been
	// for some time. It may be nil.
	LimitChanged func(c LimitChange)

	accounts map[string]*account
	// heard holds when each entry has reported last.
	heard      map[string]time.Duration
	begunAt    time.Duration
	reportedAt time.Duration
	skipUntil  time.Duration
	sweptAt    time.Duration
	isBegun    bool
	// total is the demand of all teams, and curveTotal what it was at curveAt, when CurveOf
	// returned curve, or nil.
	total      estimate
	curve      []float32
	curveAt    time.Duration
	curveTotal float64
}

// LimitChange is the begin or the end of a time in which a team is limited.
type LimitChange struct {
	Grant   Grant
	Quota   Quota
	IsBegin bool
	// Took is how long the team was limited, at the end.
	Took time.Duration
}

// NewHome returns a home that knows of no use.
func NewHome() *Home {
	return &Home{accounts: map[string]*account{}, heard: map[string]time.Duration{}}
}

// HomeView is how a home sees the fleet when it gets a report.
type HomeView struct {
	// QuotaOf returns the quota of a team, and whether the configuration has the team.
	QuotaOf func(team string) (Quota, bool)
	// IsHomeOf reports whether the node is the home of a team.
	IsHomeOf func(team string) bool
	// Hosts is the number of the fleet's nodes.
	Hosts int
	// Since is when the view of which nodes are homes has changed last. Until then,
	// another home may have granted unused bursts.
	Since time.Duration
}

// Receive counts the uses of a report and returns the answer.
func (h *Home) Receive(now time.Duration, v HomeView, r Report) Answer {
	period := min(max(r.Period, 0), maxReportTime)
	if now-h.reportedAt > pauseTime {
		h.skipUntil = now + skipTime
	}
	wasStopped := h.isBegun && now < h.skipUntil
	if !h.isBegun || wasStopped {
		h.begin(now, period)
	}
	h.reportedAt = now
	if wasStopped {
		return Answer{}
	}
	h.heard[r.Entry] = now
	if now-h.sweptAt > heardTime {
		h.sweep(now)
	}
	share := h.heardShare(now, v.Hosts)
	answer := Answer{IsHome: true, Young: now-max(h.begunAt, v.Since) < youngTime}
	if answer.Young {
		share = min(share, youngShare)
	}
	reported, asked := make(map[string]bool, len(r.Uses)), 0
	for _, u := range r.Uses {
		q, known := v.QuotaOf(u.Team)
		if !known || !v.IsHomeOf(u.Team) {
			continue
		}
		a := h.accounts[u.Team]
		if a == nil {
			a = &account{tokens: spareCalls, filledAt: min(now-period, max(h.begunAt, v.Since))}
			h.accounts[u.Team] = a
		} else if v.Since > a.usedAt {
			a.reset(now - period)
		}
		a.setQuota(now, q, share)
		a.usedAt = now
		if q.Rate > 0 {
			a.tokens = min(a.tokens-float64(u.Admitted), a.size(share))
		}
		a.demand.add(now, float64(max(u.Asked, 0)), period)
		asked += max(u.Asked, 0)
		reported[u.Team] = true
		g := a.grant(now, u.Team, share)
		h.noteLimit(now, a, g)
		answer.Grants = append(answer.Grants, g)
	}
	answer.Grants = append(answer.Grants, h.limited(now, v, share, reported)...)
	if h.CurveOf != nil {
		h.total.add(now, float64(asked), period)
		answer.Curve = h.latestCurve(now, share)
	}
	return answer
}

// latestCurve returns the curve of the teams' demands. It takes time in proportion to the
// number of teams, so it is not computed for each report. Reports of many entries may
// come together, so that all demands rise by much within curveTime; a curve rises with them.
func (h *Home) latestCurve(now time.Duration, share float64) []float32 {
	total := h.total.rate(now)
	if h.curve == nil || now-h.curveAt >= curveTime {
		h.curve, h.curveAt, h.curveTotal = h.CurveOf(h.demands(now, share)), now, total
		return h.curve
	}
	ratio := total / h.curveTotal
	if math.Abs(ratio-1) <= curveTolerance || h.curveTotal == 0 {
		return h.curve
	}
	scaled := make([]float32, len(h.curve))
	for i, x := range h.curve {
		scaled[i] = x * float32(ratio)
	}
	return scaled
}

// begin forgets unused bursts, since another home may have granted them. The first
// report covers a period.
func (h *Home) begin(now, period time.Duration) {
	h.isBegun, h.begunAt = true, now
	clear(h.heard)
	h.total = estimate{}
	for _, a := range h.accounts {
		a.reset(now - period)
	}
}

// noteLimit tells of a team that is limited since now, or that has not been for
// unlimitedTime.
func (h *Home) noteLimit(now time.Duration, a *account, g Grant) {
	switch {
	case g.Fraction < 1:
		a.limitedAt = now
		if !a.isLimited {
			a.isLimited, a.limitedSince = true, now
			h.tell(LimitChange{Grant: g, Quota: a.quota, IsBegin: true})
		}
	case a.isLimited && now-a.limitedAt > unlimitedTime:
		a.isLimited = false
		h.tell(LimitChange{Grant: g, Quota: a.quota, Took: a.limitedAt - a.limitedSince})
	}
}

func (h *Home) tell(c LimitChange) {
	if h.LimitChanged != nil {
		h.LimitChanged(c)
	}
}

// limited returns grants of the teams that are limited now, apart from those that are
// listed already. If there are too many, it returns those with the largest demand.
func (h *Home) limited(now time.Duration, v HomeView, share float64, listed map[string]bool) []Grant {
	var grants []Grant
	for team, a := range h.accounts {
		if listed[team] || a.quota.Rate <= 0 {
			continue
		}
		q, known := v.QuotaOf(team)
		if !known || !v.IsHomeOf(team) {
			continue
		}
		a.setQuota(now, q, share)
		if g := a.grant(now, team, share); g.Fraction < 1 {
			grants = append(grants, g)
		}
	}
	slices.SortFunc(grants, func(a, b Grant) int {
		return cmp.Or(cmp.Compare(b.Demand, a.Demand), cmp.Compare(a.Team, b.Team))
	})
	return grants[:min(len(grants), maxListed)]
}

// demands returns the demands of all teams, as far as their quotas admit them: what a
// quota refuses takes no room, and must not count against the rest.
func (h *Home) demands(now time.Duration, share float64) []float64 {
	demands := make([]float64, 0, len(h.accounts))
	for team, a := range h.accounts {
		demands = append(demands, a.grant(now, team, share).admitted())
	}
	slices.Sort(demands)
	return demands
}

// heardShare returns the part of the quotas that the home may use, by the entries
// that it has heard of lately.
func (h *Home) heardShare(now time.Duration, hosts int) float64 {
	heard := 0
	for _, at := range h.heard {
		if now-at <= heardTime {
			heard++
		}
	}
	if share := float64(heard) / float64(max(hosts, 1)); share < minHeardShare {
		return share
	}
	return 1
}

// sweep forgets entries and teams that have not been heard of for some time.
func (h *Home) sweep(now time.Duration) {
	h.sweptAt = now
	for name, at := range h.heard {
		if now-at > heardTime {
			delete(h.heard, name)
		}
	}
	for team, a := range h.accounts {
		h.noteLimit(now, a, a.grant(now, team, 1))
		if now-a.usedAt > forgetTime {
			delete(h.accounts, team)
		}
	}
}

// reset forgets an unused burst and the demand. The bucket is filled from a time on,
// which is when the uses have begun that no other home has counted.
func (a *account) reset(since time.Duration) {
	a.tokens, a.filledAt, a.demand = min(a.tokens, spareCalls), since, estimate{}
}

// setQuota fills the bucket up to now at the former rate, and sets the quota. What a team
// sends without a quota is no debt of a later one.
func (a *account) setQuota(now time.Duration, q Quota, share float64) {
	if a.quota == (Quota{}) {
		a.quota = q
	}
	if now > a.filledAt {
		a.tokens += a.quota.Rate * share * (now - a.filledAt).Seconds()
		a.filledAt = now
	}
	a.quota = q
	if q.Rate <= 0 {
		a.tokens = spareCalls
	}
	a.tokens = min(a.tokens, a.size(share))
}

func (a *account) size(share float64) float64 {
	return a.quota.Burst*share + spareCalls
}

// grant returns what the team is granted now.
func (a *account) grant(now time.Duration, team string, share float64) Grant {
	g := Grant{Team: team, Fraction: 1, Demand: float32(a.demand.rate(now))}
	rate := a.quota.Rate * share
	if rate <= 0 {
		return g
	}
	g.Wait = float32(max(0, 1-a.tokens) / rate)
	if allowed := max(0, rate+a.tokens/spreadTime.Seconds()); allowed < float64(g.Demand) {
		g.Fraction = float32(allowed / float64(g.Demand))
	}
	return g
}
