package kqmesh

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"kumquatlink/core/kqcall"
	"kumquatlink/core/kqclass"
	"kumquatlink/core/kqrate"
	"kumquatlink/core/kqroute"
	"kumquatlink/core/kqroutes"
	"kumquatlink/core/kqserver"
	"kumquatlink/core/kqshed"
	"kumquatlink/io/kqtrunk"
)

// PathWhere is the path of the metrics address at which a node tells where a request
// would go.
const PathWhere = "/where"

// Bounds of the answer to one question.
const (
	// maxWhereServers is the largest number of servers that an answer lists.
	maxWhereServers = 64
	// whereTrials is the number of trial IDs for a question without a request ID.
	whereTrials = 64
	// whereSeed starts the random bits of trial picks. It is fixed, so that a question
	// takes none from the picks of calls.
	whereSeed = 1
	// whereTime bounds the time until a question is answered.
	whereTime = 2 * time.Second
)

// Reasons to pass an upstream over that this package adds to those of kqroute.
const (
	reasonLinkDown     kqroute.Reason = "LinkDown"
	reasonServerLeaves kqroute.Reason = "ServerLeaves"
	reasonServerLimit  kqroute.Reason = "ServerLimit"
	// reasonDeparted stands for a server that is known to leave though its record says
	// that it is ready.
	reasonDeparted kqroute.Reason = "Departed"
)

// Expectation is what would become of a request.
type Expectation string

// The expectations.
const (
	// ExpectSent means that a server is likely to run it at once.
	ExpectSent Expectation = "Sent"
	// ExpectQueued means that it is likely to wait at a gate or to be refused there, since
	// the gate is full by what this node knows, or refuses calls.
	ExpectQueued Expectation = "Queued"
	// ExpectRefused means that this node refuses it.
	ExpectRefused Expectation = "Refused"
	// ExpectPartly means that it depends on the ID of the request.
	ExpectPartly Expectation = "PartlyRefused"
)

// WhereQuery is a question of an operator: the request as its caller would send it.
type WhereQuery struct {
	Method string
	Host   string
	Path   string
	// RequestID is the request's ID, or empty for requests with any ID.
	RequestID string `json:",omitempty"`
	// Team is the name of the caller's team, or empty for a caller without a key.
	Team string `json:",omitempty"`
}

// Names of the parameters of a question.
const (
	parameterMethod = "method"
	parameterHost   = "host"
	parameterPath   = "path"
	parameterID     = "id"
	parameterTeam   = "team"
)

// URL returns the path and query of the question.
func (q WhereQuery) URL() string {
	v := url.Values{parameterMethod: {q.Method}, parameterHost: {q.Host}, parameterPath: {q.Path}}
	if q.RequestID != "" {
		v.Set(parameterID, q.RequestID)
	}
	if q.Team != "" {
		v.Set(parameterTeam, q.Team)
	}
	return PathWhere + "?" + v.Encode()
}

// parseWhere decodes a question. It takes no other parameters, so that nobody gives a
// key.
func parseWhere(v url.Values) (WhereQuery, error) {
	q := WhereQuery{Method: v.Get(parameterMethod), Host: v.Get(parameterHost), Path: v.Get(parameterPath), RequestID: v.Get(parameterID), Team: v.Get(parameterTeam)}
	known := []string{parameterMethod, parameterHost, parameterPath, parameterID, parameterTeam}
	for name := range v {
		if !slices.Contains(known, name) {
			return q, errors.New("unknown parameter: method, host, path, id and team are known")
		}
	}
	if q.Method == "" {
		q.Method = http.MethodGet
	}
	if q.Host == "" || q.Path == "" {
		return q, errors.New("host and path are needed")
	}
	return q, nil
}

// Where tells where a request would go now, and why. Ages are absent where nothing is
// known.
type Where struct {
	NodeID        string
	FailureDomain string
	Region        string
	Query         WhereQuery
	// Fault says why the question can't be answered, or is empty.
	Fault string `json:",omitempty"`
	// RoutesVersion is the version of the routes in force, and RoutesCurrent reports
	// whether a watcher of the store has confirmed it lately.
	RoutesVersion int64
	RoutesCurrent bool
	Answer        WhereAnswer
	Route         *WhereRoute `json:",omitempty"`
	Quota         *WhereQuota `json:",omitempty"`
	Share         *WhereShare `json:",omitempty"`
	// EvenRouting reports whether servers are drawn by capacity, and HandBack whether a
	// gate without a free slot would hand the call back.
	EvenRouting bool
	HandBack    bool
	// Gate is this node's own gate, if its server offers the service.
	Gate *WhereGate `json:",omitempty"`
	// Servers are the servers of the service, the most likely first; MoreServers is how
	// many are not listed.
	Servers     []WhereServer
	MoreServers int
}

// WhereAnswer is what would become of the request.
type WhereAnswer struct {
	Expect Expectation
	// Status, Cause and RetryAfter are those of the refusal, if it is or may be refused.
	Status     int               `json:",omitempty"`
	Cause      kqcall.Cause      `json:",omitempty"`
	RetryAfter *kqclass.Duration `json:",omitempty"`
	// Detail is a remark for people.
	Detail string `json:",omitempty"`
}

// WhereRoute is the route of the request, and the class of its calls.
type WhereRoute struct {
	Name    string
	Class   string
	Service string
	// Parts are the services of the route with their weights; Service is the one that
	// this answer is about.
	Parts       []kqroutes.Part
	Rank        int
	RunOnce     bool
	NeedsKey    bool
	Timeout     kqclass.Duration
	MaxAttempts int
}

// WhereQuota is what the quota of the team says of the next request.
type WhereQuota struct {
	Rate     float64
	Burst    float64
	Admitted bool
	// Fraction is the part of the demand that may be sent, and Demand the fleet's in
	// requests a second, as the home of the team said Age ago.
	Fraction   float64
	Demand     float64
	Age        *kqclass.Duration `json:",omitempty"`
	HoldsShare bool
	RetryAfter *kqclass.Duration `json:",omitempty"`
}

// WhereShare is what the admission thresholds of gates say of the request.
type WhereShare struct {
	// Trials is how many IDs were tried, and Admitted how many of them pass.
	Trials   int
	Admitted int
	// Behind is the service whose gate would refuse it, as it reported Age ago.
	Behind string            `json:",omitempty"`
	Age    *kqclass.Duration `json:",omitempty"`
	// Demand is what the team sends in requests a second, as known DemandAge ago, and
	// FairShare how much of it is served in full while the service is short, or 0.
	Demand    float64
	FairShare float64
	DemandAge *kqclass.Duration `json:",omitempty"`
	RunOnce   bool
}

// WhereGate is the state of this node's gate.
type WhereGate struct {
	ServerState kqserver.State
	InFlight    int
	Waiting     int
	Limit       int
	// ServerLimit is the requests a second that the server names, if it does.
	ServerLimit *float64 `json:",omitempty"`
	// Refuses is the cause for which it would refuse the call at once, or empty.
	Refuses kqcall.Cause `json:",omitempty"`
}

// WhereServer is one backend server, and what this node knows of it.
type WhereServer struct {
	NodeID        string
	ServerID      string
	FailureDomain string
	Region        string
	Distance      string
	// Picked is the share of trial picks that take the server. Reason is why none does.
	Picked float64
	Reason kqroute.Reason `json:",omitempty"`
	// InFlight is the number of this node's calls there. OthersLoad and Limit are what
	// its gate stated LoadAge ago.
	InFlight    int
	OthersLoad  int
	Limit       int
	LoadAge     *kqclass.Duration `json:",omitempty"`
	Utilization float64
	Pace        float64
	PaceAge     *kqclass.Duration `json:",omitempty"`
	// Stretch is how long the server states that work takes, in percent of the usual.
	Stretch      int
	StretchAge   *kqclass.Duration `json:",omitempty"`
	FailureShare float64
	Full         bool
	Hot          bool
	Slow         bool
	Warming      bool
	Ejected      bool
	EjectedFor   *kqclass.Duration `json:",omitempty"`
	// ServerLimit is the requests a second that the server names, if it does, and
	// LimitAge for how long it has named it.
	ServerLimit *float64          `json:",omitempty"`
	LimitAge    *kqclass.Duration `json:",omitempty"`
	// State is the state of the server by its node's record.
	State kqserver.State
}

// whereEvent asks the control goroutine for the state, and which of the nodes of the
// services are left out of routing. It changes nothing.
type whereEvent struct {
	answer chan whereView
}

// whereView is the answer to a whereEvent.
type whereView struct {
	state    State
	departed map[string]bool
}

func (e whereEvent) apply(c *control) bool {
	v := whereView{state: c.state, departed: map[string]bool{}}
	for name, h := range c.state.Hosts {
		if _, departed := c.departures.of(h); departed {
			v.departed[name] = true
		}
	}
	e.answer <- v
	return false
}

// handleWhere answers a question of an operator.
func (n *Node) handleWhere(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodGet {
		http.Error(w, "questions are asked by GET", http.StatusMethodNotAllowed)
		return
	}
	q, err := parseWhere(r.URL.Query())
	if err != nil {
		http.Error(w, fmt.Sprintf("bad question: %v", err), http.StatusBadRequest)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), whereTime)
	defer cancel()
	answer, err := n.Where(ctx, q)
	if err != nil {
		http.Error(w, "the node is busy", http.StatusServiceUnavailable)
		return
	}
	data, err := json.Marshal(answer)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(data)
}

// Where tells where a request would go now, and why. It sends nothing and changes no
// state. One question is answered at a time. If ctx ends first, it returns the error of
// ctx, marked with ErrNode.
func (n *Node) Where(ctx context.Context, query WhereQuery) (Where, error) {
	busy := func() error {
		return errors.Mark(errors.Wrap(ctx.Err(), "wait for the answer to a question"), ErrNode)
	}
	select {
	case n.asking <- struct{}{}:
		defer func() { <-n.asking }()
	case <-ctx.Done():
		return Where{}, busy()
	}
	e := whereEvent{answer: make(chan whereView, 1)}
	select {
	case n.control.events <- e:
	case <-ctx.Done():
		return Where{}, busy()
	}
	select {
	case v := <-e.answer:
		return n.explainWhere(query, v), nil
	case <-ctx.Done():
		return Where{}, busy()
	}
}

// explainWhere goes the way of a request through the decisions of the entry.
func (n *Node) explainWhere(query WhereQuery, v whereView) Where {
	x := Where{NodeID: n.settings.NodeID, FailureDomain: n.settings.FailureDomain, Region: n.settings.Region, Query: query, RoutesCurrent: n.routesAreCurrent(), EvenRouting: n.even.on.Load()}
	s := &v.state
	if s.Routes == nil {
		x.refuse(endOnly(kqcall.NotRun(kqcall.CauseNoConfiguration)), "no routes are known")
		return x
	}
	x.RoutesVersion = s.Routes.Document().Version
	route, found := s.Routes.Find(query.Host, query.Path)
	if !found {
		x.refuse(endOnly(kqcall.NotRun(kqcall.CauseNoService)), "no route has this host and path")
		return x
	}
	team, fault := findTeam(s.Routes, route, query.Team)
	if x.Fault = fault; fault != "" {
		return x
	}
	id := query.RequestID
	if id == "" {
		id = idOfService(route, heaviest(route.Parts))
	}
	q := n.questionCall(s, route, team, query, id)
	x.Route = &WhereRoute{
		Name: route.Name, Class: q.head.Class, Service: q.head.Service, Parts: route.Parts, Rank: q.head.Rank, RunOnce: route.RunOnce,
		NeedsKey: !route.Public && s.Routes.HasTeams(), Timeout: route.Timeout, MaxAttempts: route.MaxAttempts,
	}
	if x.Route.NeedsKey && team == nil {
		x.refuse(endOnly(n.endOfUnknownKey()), "the route needs the key of a team")
	}
	if o := n.refuseUnfit(q, n.recentTimes.WouldFit); o != nil {
		x.refuse(o, q.detail)
	}
	n.explainQuota(&x, q)
	n.explainShare(&x, q)
	n.explainServers(&x, q, v)
	return x
}

// questionCall returns the call that a request would become.
func (n *Node) questionCall(s *State, route *kqroutes.Route, team *kqroutes.Team, query WhereQuery, id string) *call {
	q := &call{state: s, route: route, team: team, deadline: n.now().Add(route.Timeout.Value())}
	q.head = kqtrunk.CallHead{RequestID: id, From: n.settings.Service, Method: query.Method, Path: query.Path, Host: query.Host, Route: route.Name, RoutesVersion: s.Routes.Document().Version}
	q.head.Service, q.head.RunOnce, q.head.Budget = route.ServiceFor(id), route.RunOnce, route.Timeout.Value()
	q.becomeRoot()
	return q
}

// findTeam returns the team of that name for a request on the route, or a fault. The
// caller's team counts for routes that need a key only.
func findTeam(t *kqroutes.Table, route *kqroutes.Route, name string) (team *kqroutes.Team, fault string) {
	if name == "" {
		return nil, ""
	}
	teams := t.Document().Teams
	for i := range teams {
		if teams[i].Name != name {
			continue
		}
		if route.Public {
			return nil, ""
		}
		return &teams[i], ""
	}
	return nil, "no team of this name is in the routes"
}

// heaviest returns the service with the largest share of a route's requests.
func heaviest(parts []kqroutes.Part) string {
	return slices.MaxFunc(parts, func(a, b kqroutes.Part) int { return a.Weight - b.Weight }).Service
}

func trialID(i int) string {
	return "where-" + strconv.Itoa(i)
}

// idOfService returns a trial ID whose requests go to the service.
func idOfService(route *kqroutes.Route, service string) string {
	for i := range whereTrials {
		if id := trialID(i); route.ServiceFor(id) == service {
			return id
		}
	}
	return trialID(0)
}

// refuse records that the request is refused, unless an earlier decision does so.
func (x *Where) refuse(o *callAnswer, detail string) {
	if x.Answer.Expect != "" {
		return
	}
	x.Answer = WhereAnswer{Expect: ExpectRefused, Status: statusOf(o.head), Cause: o.head.End.Cause, Detail: detail}
	if after := retryAfterOf(o.head); after > 0 {
		x.Answer.RetryAfter = ageText(after)
	}
}

// explainQuota adds what the quota of the team says.
func (n *Node) explainQuota(x *Where, q *call) {
	if !q.isCounted() {
		return
	}
	k := n.quotas
	k.mutex.Lock()
	v := k.meter.Preview(n.clock(), q.team.Name, kqrate.Quota{Rate: q.team.Rate, Burst: q.team.Burst})
	_, _, known := k.meter.Demand(n.clock(), q.team.Name)
	k.mutex.Unlock()
	x.Quota = &WhereQuota{Rate: q.team.Rate, Burst: q.team.Burst, Admitted: v.Admitted, Fraction: v.Fraction, Demand: v.Demand, HoldsShare: v.IsShare}
	if known {
		x.Quota.Age = ageText(v.Age)
	}
	if v.Admitted {
		return
	}
	end := kqcall.NotRun(kqcall.CauseQuota)
	end.RetryAfter = v.RetryAfter
	o := endOnly(end)
	x.Quota.RetryAfter = ageText(retryAfterOf(o.head))
	x.refuse(o, "the team is over its quota")
}

// explainShare adds what the thresholds of other gates say. Without a request ID it
// tries some, since the order of requests of one rank follows from their IDs.
func (n *Node) explainShare(x *Where, q *call) {
	share := &WhereShare{RunOnce: q.head.RunOnce}
	ids := []string{q.head.RequestID}
	if x.Query.RequestID == "" {
		ids = nil
		for i := range whereTrials {
			if id := trialID(i); q.route.ServiceFor(id) == q.head.Service {
				ids = append(ids, id)
			}
		}
	}
	var refused *callAnswer
	for _, id := range ids {
		trial := n.questionCall(q.state, q.route, q.team, x.Query, id)
		n.shedder.shares.place(trial)
		share.Demand, share.FairShare = trial.demand.requests, trial.fairShare
		if trial.demand.curve != nil {
			share.DemandAge = ageText(trial.demand.age)
		}
		reason, refuses := n.wouldShed(trial)
		share.Trials++
		if !refuses {
			share.Admitted++
			continue
		}
		if refused == nil {
			refused = refusal(trial.head, kqcall.CauseShedEntry, reason)
			share.Behind, share.Age = reason.Service, ageText(reason.Age)
		}
	}
	x.Share = share
	if refused == nil {
		return
	}
	earlier := x.Answer.Expect != ""
	x.refuse(refused, "service "+share.Behind+" is short")
	if !earlier && share.Admitted > 0 {
		x.Answer.Expect = ExpectPartly
		x.Answer.Detail = fmt.Sprintf("service %s is short: %d of %d request IDs are refused", share.Behind, share.Trials-share.Admitted, share.Trials)
	}
}

// wouldShed reports whether the entry would refuse the call, and for which threshold.
func (n *Node) wouldShed(q *call) (kqshed.Reason, bool) {
	n.shedder.mutex.Lock()
	defer n.shedder.mutex.Unlock()
	return n.shedder.refuses(n.clock(), q)
}

// explainServers adds the servers, and what is to be expected of those most likely.
func (n *Node) explainServers(x *Where, q *call, v whereView) {
	inTable := map[string]bool{}
	if table := q.state.Upstreams[q.head.Service]; table != nil {
		now := n.now()
		x.HandBack = n.mayHandBack(table, now)
		info := n.pickInfo(q, now)
		info.Random = whereSeed
		for _, c := range table.Explain(info) {
			inTable[c.Upstream.Record.NodeID] = true
			x.Servers = append(x.Servers, n.whereServer(c, q.state))
		}
	}
	n.explainGate(x, q)
	switch {
	case x.Answer.Expect == ExpectPartly || x.Answer.Expect == ExpectRefused:
	case len(x.Servers) == 0 || x.Servers[0].Picked == 0:
		x.refuse(endOnly(kqcall.NotRun(kqcall.CauseNoUpstream)), "no server takes the call")
	default:
		x.Answer = n.expectAt(x, x.Servers[0])
	}
	for _, name := range slices.Sorted(maps.Keys(q.state.Hosts)) {
		if h := q.state.Hosts[name]; h.Service == q.head.Service && !inTable[name] {
			x.Servers = append(x.Servers, n.leftOut(h, v.departed[name]))
		}
	}
	x.MoreServers = max(0, len(x.Servers)-maxWhereServers)
	x.Servers = x.Servers[:len(x.Servers)-x.MoreServers]
}

// expectAt returns what the most likely server makes of the call.
func (n *Node) expectAt(x *Where, first WhereServer) WhereAnswer {
	full := first.Full || first.Utilization >= 1
	if first.NodeID == n.settings.NodeID && x.Gate != nil {
		if x.Gate.Refuses != "" {
			return WhereAnswer{Expect: ExpectQueued, Detail: "the most likely server is this node's own, whose gate refuses the call now (" + string(x.Gate.Refuses) + "): then others are tried"}
		}
		full = x.Gate.Waiting > 0 || x.Gate.InFlight >= x.Gate.Limit
	}
	switch {
	case full && x.HandBack:
		return WhereAnswer{Expect: ExpectQueued, Detail: "the most likely server is full: its gate hands the call back, up to two do, and then it waits or is refused there"}
	case full:
		return WhereAnswer{Expect: ExpectQueued, Detail: "the most likely server is full: the call waits at its gate, or is refused there"}
	}
	return WhereAnswer{Expect: ExpectSent, Detail: "the gate decides by what it knows then"}
}

// explainGate adds the state of the own gate if its server offers the service.
func (n *Node) explainGate(x *Where, q *call) {
	g := n.gate
	if q.head.Service != n.settings.Service {
		return
	}
	x.Gate = &WhereGate{ServerState: q.state.ServerState, Refuses: g.refusalCause(q.state, q.head.Service)}
	if x.Gate.Refuses == "" {
		if o := n.shedder.refuseAtGate(q.head); o != nil {
			x.Gate.Refuses = o.head.End.Cause
		}
	}
	if limit := g.namedLimit(); limit >= 0 {
		x.Gate.ServerLimit = &limit
	}
	g.mutex.Lock()
	defer g.mutex.Unlock()
	x.Gate.InFlight, x.Gate.Waiting, x.Gate.Limit = g.queue.InFlight(), g.queue.Waiting(), g.queue.Capacity()
}

// distanceNames names distances as the documentation does.
var distanceNames = map[kqroute.Distance]string{kqroute.SameDomain: "SameDomain", kqroute.SameRegion: "SameRegion", kqroute.OtherRegion: "OtherRegion"}

func (n *Node) whereServer(c kqroute.Consideration, s *State) WhereServer {
	u, f := c.Upstream, c.Figures
	h := s.Hosts[u.Record.NodeID]
	w := WhereServer{
		NodeID: u.Record.NodeID, ServerID: h.ServerID, FailureDomain: u.Record.FailureDomain, Region: u.Record.Region, State: h.ServerState,
		Distance: distanceNames[u.Distance], Picked: c.Picked, Reason: c.Reason,
		InFlight: f.InFlight, OthersLoad: f.OthersLoad, Limit: f.Limit, LoadAge: ageText(f.LoadAge), Utilization: f.Utilization,
		Pace: f.Pace, PaceAge: ageText(f.PaceAge), Stretch: f.Stretch, StretchAge: ageText(f.StretchAge), FailureShare: f.FailureShare,
		Full: f.RefusedRecently, Hot: f.Hot, Slow: f.Slow, Warming: f.Warming, Ejected: f.Ejected,
	}
	if f.Ejected {
		w.EjectedFor = ageText(f.EjectedFor)
	}
	if w.Reason == kqroute.Unusable {
		w.Reason = n.unusableFor(u)
	}
	if said := n.stated.of(u); said != nil && said.said.Limited {
		limit := said.said.Limit
		w.ServerLimit, w.LimitAge = &limit, ageText(n.clock()-said.saidAt)
	}
	return w
}

// leftOut returns a server that routing does not consider.
func (n *Node) leftOut(h HostRecord, departed bool) WhereServer {
	w := WhereServer{NodeID: h.NodeID, ServerID: h.ServerID, FailureDomain: h.FailureDomain, Region: h.Region, State: h.ServerState, Reason: kqroute.Reason(h.Life)}
	if departed && h.TakesWork() {
		w.Reason = reasonDeparted
	}
	return w
}

// ageText returns an age to be shown in milliseconds, or nil if it is negative.
func ageText(d time.Duration) *kqclass.Duration {
	if d < 0 {
		return nil
	}
	rounded := kqclass.Duration(d.Round(time.Millisecond))
	return &rounded
}
