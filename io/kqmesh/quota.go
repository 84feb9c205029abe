package kqmesh

import (
	"context"
	"fmt"
	"strconv"
	"sync"
	"time"

	"kumquatlink/core/kqcall"
	"kumquatlink/core/kqfair"
	"kumquatlink/core/kqmember"
	"kumquatlink/core/kqrate"
	"kumquatlink/core/kqroutes"
	"kumquatlink/io/kqlog"
	"kumquatlink/io/kqmetric"
)

// Results of the quotas' decisions in the metrics.
const (
	quotaAdmitted = "admitted"
	quotaRefused  = "refused"
	// quotaShare is a refusal by the entry's own share, since the home of the quota
	// is not heard of.
	quotaShare = "refused_by_share"
)

// quotas holds teams to their quotas: at the entry for the callers of this node, and
// as the home of some teams for all entries. mutex guards meter and home.
type quotas struct {
	node  *Node
	mutex sync.Mutex
	meter *kqrate.Meter
	home  *kqrate.Home
	// table is the table by which quotaOf was made.
	table  *kqroutes.Table
	byName map[string]kqrate.Quota
	// hostsDigest is that of the hosts that meter knows.
	hostsDigest uint64
	// wake has a value when a report is due earlier than before.
	wake chan struct{}
}

// quotaReport is the part of a report that concerns quotas: that of an entry, or the
// answer of a home.
type quotaReport struct {
	Quota       *kqrate.Report `cbor:",omitempty"`
	QuotaAnswer *kqrate.Answer `cbor:",omitempty"`
}

func (r quotaReport) isEmpty() bool {
	return r.Quota == nil && r.QuotaAnswer == nil
}

func newQuotas(n *Node) *quotas {
	k := &quotas{node: n, wake: make(chan struct{}, 1)}
	k.home = kqrate.NewHome()
	k.home.CurveOf = kqfair.NewCurve
	k.home.LimitChanged = k.logLimit
	k.meter = kqrate.NewMeter(n.settings.NodeID, n.random())
	k.meter.IsKnown = func(team string) bool { _, found := k.byName[team]; return found }
	return k
}

// refuse returns the answer to a request beyond the quota of its team, or nil. Onward
// calls, and requests without a team, are not counted.
func (k *quotas) refuse(q *call) *callAnswer {
	if !q.isCounted() {
		return nil
	}
	now := k.node.clock()
	k.mutex.Lock()
	k.follow(k.node.State())
	v := k.meter.Take(now, q.team.Name, kqrate.Quota{Rate: q.team.Rate, Burst: q.team.Burst})
	k.mutex.Unlock()
	if v.IsUrgent {
		k.wakeUp()
	}
	switch {
	case v.Admitted:
		q.counted = 1
		if q.team.IsLimited() {
			k.node.metrics.Count(kqmetric.QuotaDecisions, quotaAdmitted)
		}
		return nil
	case v.IsShare:
		k.node.metrics.Count(kqmetric.QuotaDecisions, quotaShare)
	default:
		k.node.metrics.Count(kqmetric.QuotaDecisions, quotaRefused)
	}
	k.node.metrics.Count(kqmetric.QuotaRefused, q.team.Name)
	q.detail = fmt.Sprintf("team %s of %g requests a second: %.2f of its demand of %.0f may be sent, known for %dms", q.team.Name, q.team.Rate, v.Fraction, v.Demand, v.Age.Milliseconds())
	if v.IsShare {
		q.detail += "; its home does not answer, this node holds its own share"
	}
	end := kqcall.NotRun(kqcall.CauseQuota)
	end.RetryAfter = v.RetryAfter
	return endOnly(end)
}

// demandOf returns what the homes have answered of the demand of a team, for its fair
// share.
func (k *quotas) demandOf(team string) (teamDemand, bool) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	demand, age, known := k.meter.Demand(k.node.clock(), team)
	curve := k.meter.Curve()
	return teamDemand{curve: curve, requests: demand, age: age}, known || len(curve) > 0
}

// isCounted reports whether the call counts against the quota of a team.
func (q *call) isCounted() bool {
	return q.team != nil
}

// settle has the quota count the call that many times: once for each server that may have
// run it, or is about to.
func (k *quotas) settle(q *call, count int) {
	if !q.isCounted() || q.counted == count {
		return
	}
	k.mutex.Lock()
	defer k.mutex.Unlock()
	k.meter.Add(k.node.clock(), q.team.Name, count-q.counted)
	q.counted = count
}

func (k *quotas) wakeUp() {
	select {
	case k.wake <- struct{}{}:
	default:
		// A report is about to be sent.
	}
}

// run reports to the homes until ctx ends. It waits for a configuration with teams.
func (k *quotas) run(ctx context.Context) {
	hasTeams := func(s *State) bool { return s.Routes != nil && s.Routes.HasTeams() }
	for k.node.WaitFor(ctx, hasTeams) == nil {
		due, next := k.due()
		for _, home := range due {
			k.report(home)
		}
		t := time.NewTimer(max(0, next-k.node.clock()))
		select {
		case <-t.C:
		case <-k.wake:
			t.Stop()
		case <-ctx.Done():
			t.Stop()
			return
		}
	}
}

// due returns the homes to which a report is due, and when the next one will be.
func (k *quotas) due() ([]string, time.Duration) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	k.follow(k.node.State())
	return k.meter.Due(k.node.clock())
}

// follow takes over the hosts and the configuration of a state. The mutex is held.
func (k *quotas) follow(s *State) {
	if k.byName == nil || s.HostsDigest != k.hostsDigest {
		k.hostsDigest = s.HostsDigest
		k.meter.SetHosts(k.node.clock(), homeHosts(s.Hosts, k.node.settings.NodeID))
	}
	if k.byName != nil && k.table == s.Routes {
		return
	}
	k.table, k.byName = s.Routes, map[string]kqrate.Quota{}
	if s.Routes == nil {
		return
	}
	for _, t := range s.Routes.Document().Teams {
		k.byName[t.Name] = kqrate.Quota{Rate: t.Rate, Burst: t.Burst}
	}
}

// homeHosts returns the node IDs of the hosts among which homes are chosen: those whose
// records do not say Gone. A node goes by its own record as the others do, since two
// homes would each grant the whole quota. A node that knows none has itself alone.
func homeHosts(hosts map[string]HostRecord, self string) []string {
	var names []string
	for name, h := range hosts {
		if h.Life != kqmember.LifeGone {
			names = append(names, name)
		}
	}
	if len(names) == 0 {
		return []string{self}
	}
	return names
}

// report sends a report to a home in the background.
func (k *quotas) report(home string) {
	k.mutex.Lock()
	r, known := k.meter.Report(k.node.clock(), home)
	k.mutex.Unlock()
	if !known {
		return
	}
	if home == k.node.settings.NodeID {
		k.taken(home, r, k.receive(r))
		return
	}
	address := k.node.State().Hosts[home].Address
	send := func() {
		answer, err := k.node.sendReport(address, kqrate.ReportTimeout, nodeReport{quotaReport: quotaReport{Quota: &r}})
		if err != nil || answer.QuotaAnswer == nil {
			k.failed(home, r, err)
			return
		}
		k.taken(home, r, *answer.QuotaAnswer)
	}
	if err := k.node.pool.Submit(send); err != nil {
		k.failed(home, r, err)
	}
}

// taken takes the answer of a home.
func (k *quotas) taken(home string, r kqrate.Report, a kqrate.Answer) {
	k.node.metrics.Count(kqmetric.QuotaReports, resultDone)
	k.mutex.Lock()
	k.meter.Receive(k.node.clock(), home, r, a)
	k.mutex.Unlock()
	k.wakeUp()
}

// failed counts a report that was not answered.
func (k *quotas) failed(home string, r kqrate.Report, err error) {
	k.node.metrics.Count(kqmetric.QuotaReports, resultFailed)
	k.node.logEvent(eventQuotaNotReported, "use of quotas can't be reported to "+home, err, kqlog.Text(fieldHost, home))
	k.mutex.Lock()
	k.meter.Fail(k.node.clock(), home, r)
	k.mutex.Unlock()
	k.wakeUp()
}

// receive counts the report of an entry and returns the answer.
func (k *quotas) receive(r kqrate.Report) kqrate.Answer {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	s := k.node.State()
	k.follow(s)
	if s.Routes == nil || !k.meter.IsHome() {
		return kqrate.Answer{}
	}
	return k.home.Receive(k.node.clock(), kqrate.HomeView{
		QuotaOf:  func(team string) (kqrate.Quota, bool) { q, found := k.byName[team]; return q, found },
		IsHomeOf: k.meter.IsHomeOf, Hosts: k.meter.Hosts(), Since: k.meter.Since(),
	}, r)
}

// logLimit logs that a team begins to be limited, or is no longer.
func (k *quotas) logLimit(c kqrate.LimitChange) {
	fields := []kqlog.Field{
		kqlog.Text(fieldTeam, c.Grant.Team), kqlog.Text("Rate", formatRate(c.Quota.Rate)), kqlog.Text("Demand", formatRate(float64(c.Grant.Demand))),
	}
	if c.IsBegin {
		k.node.logEvent(eventQuotaReached, fmt.Sprintf("team %s sends %.0f requests a second and may send %g: the rest is refused", c.Grant.Team, c.Grant.Demand, c.Quota.Rate), nil, fields...)
		return
	}
	k.node.logEvent(eventQuotaFree, "team "+c.Grant.Team+" is within its quota again", nil, append(fields, kqlog.Micros(fieldTook, c.Took))...)
}

func formatRate(rate float64) string {
	return strconv.FormatFloat(rate, 'f', 1, 64)
}
