package kqmesh

import (
	"context"
	"math/rand/v2"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"kumquatlink/core/kqadmit"
	"kumquatlink/core/kqcall"
	"kumquatlink/core/kqclass"
	"kumquatlink/core/kqmember"
	"kumquatlink/core/kqrate"
	"kumquatlink/core/kqroute"
	"kumquatlink/core/kqroutes"
	"kumquatlink/core/kqserver"
	"kumquatlink/core/kqshed"
	"kumquatlink/io/kqedge"
	"kumquatlink/io/kqstore"
	"kumquatlink/io/kqtrunk"
)

// whereNode is a node that was not started, so that it has no network, at a fixed time.
// It has no store either: a call of it would panic.
type whereNode struct {
	*Node
	random *rand.Rand
	// drawn counts the random numbers that were drawn.
	drawn int
}

// The teams of a whereNode, and the keys that they hold.
const (
	freeTeam, freeKey       = "harbour-shop", "free-key"
	limitedTeam, limitedKey = "mill-cafe", "limited-key"
)

// newWhereNode returns a node of the service packs with some servers of the service
// orders, all but the last of the own failure domain.
func newWhereNode(t *testing.T, servers int) *whereNode {
	t.Helper()
	settings := Settings{NodeID: "packs-1", Region: "south", FailureDomain: "south-a", Service: "packs", BackendAddress: "10.0.0.1:80"}
	settings.Tunables = Tunables{RepeatRatio: 0.2, RepeatWindow: kqclass.Duration(10 * time.Second), RepeatSlack: 4, ShutdownTime: kqclass.Duration(time.Second)}
	n, err := New(settings, NativeDialect(), &kqstore.Client{})
	if err != nil {
		t.Fatal(err)
	}
	w := &whereNode{Node: n, random: rand.New(rand.NewPCG(11, 12))}
	at := n.started.Add(time.Minute)
	n.now = func() time.Time { return at }
	n.random = func() uint64 { w.drawn++; return w.random.Uint64() }
	part := func(service string) []kqroutes.Part { return []kqroutes.Part{{Service: service, Weight: 1}} }
	timeout := kqclass.Duration(time.Second)
	s := &n.control.state
	s.Routes = kqroutes.NewTable(kqroutes.Document{
		Version: 7, Services: []kqroutes.Service{{Name: "orders"}, {Name: "none"}},
		Routes: []kqroutes.Route{
			{Name: "look", Host: "shop", Prefix: "/look/", Parts: part("orders"), Timeout: timeout, MaxAttempts: 2, Rank: 1},
			{Name: "buy", Host: "shop", Prefix: "/buy/", RunOnce: true, Parts: part("orders"), Timeout: timeout, MaxAttempts: 2},
			{Name: "open", Host: "shop", Prefix: "/open/", Public: true, Parts: part("none"), Timeout: timeout, MaxAttempts: 2},
		},
		Teams: []kqroutes.Team{{Name: freeTeam, Keys: []string{freeKey}}, {Name: limitedTeam, Keys: []string{limitedKey}, Rate: 1, Burst: 2}},
	})
	var records []kqmember.Record
	for i := range servers {
		h := HostRecord{NodeID: "orders-" + strconv.Itoa(i), Incarnation: 1, Address: "10.0.1." + strconv.Itoa(i) + ":1", Region: "south", FailureDomain: "south-a", Service: "orders", ServerID: "i-" + strconv.Itoa(i), ServerState: kqserver.Ready, Life: kqmember.LifeServing}
		if i == servers-1 {
			h.FailureDomain = "south-b"
		}
		s.Hosts[h.NodeID] = h
		records = append(records, h.memberRecord())
	}
	s.Hosts["orders-left"] = HostRecord{NodeID: "orders-left", Service: "orders", Life: kqmember.LifeDraining, ServerState: kqserver.Draining}
	s.Upstreams = map[string]*kqroute.Table{"orders": kqroute.NewTable(n.member(), records, nil, at)}
	n.control.publish()
	return w
}

// whereQuestions is how often a test asks in succession. TestAskingDoesNotChangeTheNode
// asks a thousand times in all.
const whereQuestions = 34

// ask asks the node repeatedly, and returns the last answer.
func (w *whereNode) ask(q WhereQuery) Where {
	var x Where
	for range whereQuestions {
		answer := make(chan whereView, 1)
		whereEvent{answer: answer}.apply(w.control)
		x = w.explainWhere(q, <-answer)
	}
	return x
}

// send sends a request as a caller does, to a node that refuses it.
func (w *whereNode) send(path, key, id string) *fasthttp.Response {
	e := &kqedge.Exchange{Request: &fasthttp.Request{}, Response: &fasthttp.Response{}, ReceivedAt: w.now()}
	e.Request.Header.SetHost("shop")
	e.Request.SetRequestURI(path)
	e.Request.Header.Set(HeaderTeamKey, key)
	e.Request.Header.Set(w.dialect.Headers.RequestID, id)
	w.handleCaller(context.Background(), e)
	return e.Response
}

// shed has two gates of the service orders admit only a part of a rank.
func (w *whereNode) shed(rank int, part uint32) {
	for i := range 2 {
		w.shedder.table.RecordAnswer(w.clock(), kqshed.Answer{Service: "orders", Upstream: "orders-" + strconv.Itoa(i), Upstreams: 3, Cut: kqadmit.OrderedLevel(rank, part)})
	}
}

// TestWhereRefusesAsRequestsAreRefused compares the answer to a question with that to
// the request itself.
func TestWhereRefusesAsRequestsAreRefused(t *testing.T) {
	keys := map[string]string{"": "", freeTeam: freeKey, limitedTeam: limitedKey}
	for _, c := range []struct {
		name, path, team string
		prepare          func(w *whereNode)
		wantCause        string
	}{
		{"no routes", "/look/1", freeTeam, func(w *whereNode) { w.control.state.Routes = nil }, "NoConfiguration"},
		{"no such path", "/other/1", freeTeam, func(*whereNode) {}, "NoService"},
		{"no key, routes not confirmed", "/look/1", "", func(*whereNode) {}, "OutdatedKeys"},
		{"no key", "/look/1", "", func(w *whereNode) { w.routesConfirmed.Store(int64(w.clock())) }, "UnknownKey"},
		{"over the quota", "/look/1", limitedTeam, func(w *whereNode) {
			for range 100 {
				w.quotas.meter.Take(w.clock(), limitedTeam, kqrate.Quota{Rate: 1, Burst: 2})
			}
		}, "Quota"},
		{"short of slots", "/look/1", freeTeam, func(w *whereNode) { w.shed(0, 1<<31) }, "ShedAtEntry"},
		{"no server", "/open/1", "", func(*whereNode) {}, "NoUpstream"},
		{"all servers leave", "/look/1", freeTeam, func(w *whereNode) {
			for _, u := range w.control.state.Upstreams["orders"].Upstreams() {
				u.Begin()
				u.End(kqroute.CallResult{Now: w.now(), Verdict: kqroute.Draining})
			}
		}, "NoUpstream"},
		{"node ends", "/look/1", freeTeam, func(w *whereNode) { w.control.state.Leaving = true }, "Draining"},
	} {
		w := newWhereNode(t, 3)
		// Quotas follow the hosts before any request.
		w.quotas.follow(w.State())
		c.prepare(w)
		w.control.publish()
		drawn := w.drawn
		x := w.ask(WhereQuery{Method: "GET", Host: "shop", Path: c.path, Team: c.team, RequestID: "r1"})
		if w.drawn != drawn {
			t.Errorf("%s: random numbers drawn by questions: got %d, want none", c.name, w.drawn-drawn)
		}
		r := w.send(c.path, keys[c.team], "r1")
		if got, want := x.Answer.Expect, ExpectRefused; got != want {
			t.Errorf("%s: got %q, want %q", c.name, got, want)
		}
		if got := string(x.Answer.Cause); got != c.wantCause || !strings.Contains(string(r.Body()), c.wantCause) {
			t.Errorf("%s: got the cause %s and the request %q, want %s", c.name, got, r.Body(), c.wantCause)
		}
		if got, want := x.Answer.Status, r.StatusCode(); got != want {
			t.Errorf("%s: status: got %d, want %d as the request got", c.name, got, want)
		}
		got, want := 0.0, 0.0
		if x.Answer.RetryAfter != nil {
			got = x.Answer.RetryAfter.Value().Seconds()
		}
		if field := string(r.Header.Peek(fasthttp.HeaderRetryAfter)); field != "" {
			want, _ = strconv.ParseFloat(field, 64)
		}
		if got != want {
			t.Errorf("%s: Retry-After: got %v, want %v as the request got", c.name, got, want)
		}
	}
}

// TestWhereNamesServers asks about a call that no server is likely to refuse.
func TestWhereNamesServers(t *testing.T) {
	w := newWhereNode(t, 3)
	table := w.control.state.Upstreams["orders"]
	busy := table.Upstreams()[0]
	for range 3 {
		busy.Begin()
	}
	x := w.ask(WhereQuery{Method: "GET", Host: "shop:80", Path: "/look/1?page=2", Team: freeTeam})
	if got, want := x.Answer.Expect, ExpectSent; got != want {
		t.Errorf("answer: got %+v, want %s", x.Answer, want)
	}
	if got, want := x.Route.Class+" "+x.Route.Service, "look orders"; got != want {
		t.Errorf("class and service: got %q, want %q", got, want)
	}
	if x.Quota == nil || !x.Quota.Admitted || x.Share.Admitted != x.Share.Trials || x.Share.Trials != whereTrials {
		t.Errorf("quota and share: got %+v and %+v, want both to admit %d trials", x.Quota, x.Share, whereTrials)
	}
	var got []string
	for _, s := range x.Servers {
		got = append(got, s.NodeID+" "+string(s.Reason))
	}
	if want := []string{"orders-1 ", "orders-0 MoreLoaded", "orders-2 FartherAway", "orders-left Draining"}; !slices.Equal(got, want) {
		t.Errorf("servers: got %q, want %q", got, want)
	}
	if got, want := x.Servers[1].InFlight, 3; got != want {
		t.Errorf("calls in flight at orders-0: got %d, want %d", got, want)
	}
	info := w.pickInfo(&call{}, w.now())
	for range 100 {
		info.Random = w.random.Uint64()
		if got, want := table.Pick(info).Record.NodeID, x.Servers[0].NodeID; got != want {
			t.Errorf("next pick: got %s, want %s as the answer says", got, want)
		}
	}
}

// TestWhereTellsWhatDependsOnTheID has gates admit a half of a rank, and asks about
// requests with any ID and about those that must run once.
func TestWhereTellsWhatDependsOnTheID(t *testing.T) {
	w := newWhereNode(t, 3)
	w.shed(w.State().Routes.Rank(nil, &kqroutes.Route{Rank: 1}), 1<<31)
	x := w.ask(WhereQuery{Host: "shop", Path: "/look/1", Team: freeTeam})
	if x.Answer.Expect != ExpectPartly || x.Share.Admitted < whereTrials/4 || x.Share.Admitted > 3*whereTrials/4 || x.Share.Behind != "orders" {
		t.Errorf("half of a rank: got %+v and %+v, want about the half of %d refused", x.Answer, x.Share, whereTrials)
	}
	for i := range whereTrials {
		id := trialID(i)
		x := w.explainWhere(WhereQuery{Host: "shop", Path: "/look/1", Team: freeTeam, RequestID: id}, whereView{state: *w.State()})
		real := &call{state: w.State(), route: mustFind(t, w, "/look/1"), head: kqtrunk.CallHead{Service: "orders", RequestID: id}}
		real.team = &kqroutes.Team{Name: freeTeam}
		real.becomeRoot()
		if got, want := x.Answer.Expect == ExpectRefused, w.refuseCounted(real) != nil; got != want {
			t.Errorf("request %s refused: got %t, want %t", id, got, want)
		}
	}
	w.shed(0, 1)
	if got, want := w.ask(WhereQuery{Host: "shop", Path: "/buy/1", Team: freeTeam}).Answer.Expect, ExpectSent; got != want {
		t.Errorf("request that runs once, of a refused rank: got %q, want %q", got, want)
	}
}

func mustFind(t *testing.T, w *whereNode, path string) *kqroutes.Route {
	t.Helper()
	r, found := w.State().Routes.Find("shop", path)
	if !found {
		t.Fatalf("route of %s: got none", path)
	}
	return r
}

// TestAskingDoesNotChangeTheNode compares the picks and quota decisions of two nodes of
// the same seed, one of which is asked.
func TestAskingDoesNotChangeTheNode(t *testing.T) {
	play := func(ask func(w *whereNode)) []string {
		w := newWhereNode(t, 5)
		table := w.control.state.Upstreams["orders"]
		var log []string
		at := w.now()
		for i := range 30 {
			ask(w)
			at = at.Add(50 * time.Millisecond)
			w.now = func() time.Time { return at }
			q := &call{state: w.State(), route: mustFind(t, w, "/look/1"), team: &kqroutes.Team{Name: limitedTeam, Rate: 1, Burst: 20}}
			q.head = kqtrunk.CallHead{Service: "orders", RequestID: strconv.Itoa(i)}
			if o := w.refuseCounted(q); o != nil {
				log = append(log, string(o.head.End.Cause)+o.head.End.RetryAfter.String())
			}
			info := w.pickInfo(q, w.now())
			info.Random = w.Node.random()
			u := table.Pick(info)
			u.MarkProbe(at)
			u.Begin()
			if i%3 > 0 {
				u.End(kqroute.CallResult{Now: at, Verdict: kqroute.Verdict(i % 5), Class: "look", Run: time.Millisecond})
			}
			log = append(log, u.Record.NodeID)
		}
		return log
	}
	want := play(func(*whereNode) {})
	got := play(func(w *whereNode) { w.ask(WhereQuery{Host: "shop", Path: "/look/1", Team: limitedTeam}) })
	if !slices.Equal(got, want) {
		t.Errorf("decisions of the node that was asked: got %v, want %v", got, want)
	}
	if !slices.ContainsFunc(want, func(s string) bool { return strings.HasPrefix(s, "Quota") }) {
		t.Errorf("decisions: got %v, want some refused by the quota", want)
	}
}

// TestWhereKnowsItsOwnGate asks a node whose own server is the only one.
func TestWhereKnowsItsOwnGate(t *testing.T) {
	w := newWhereNode(t, 1)
	s := &w.control.state
	w.settings.Service = "orders"
	own := w.ownRecord(s)
	own.Life = kqmember.LifeServing
	s.Hosts, s.Upstreams = map[string]HostRecord{own.NodeID: own}, map[string]*kqroute.Table{"orders": kqroute.NewTable(w.member(), []kqmember.Record{own.memberRecord()}, nil, w.now())}
	ask := func(what string, want Expectation) Where {
		t.Helper()
		x := w.ask(WhereQuery{Host: "shop", Path: "/look/1", Team: freeTeam})
		if x.Gate == nil || x.Answer.Expect != want {
			t.Errorf("%s: got %+v and gate %+v, want %s", what, x.Answer, x.Gate, want)
		}
		return x
	}
	if got, want := ask("server not heard of", ExpectQueued).Gate.Refuses, kqcall.CauseNoUpstream; got != want {
		t.Errorf("refusal by the gate: got %q, want %q", got, want)
	}
	s.ServerState = kqserver.Ready
	ask("free server", ExpectSent)
	g := w.gate
	g.setSlots(w.clock(), 1)
	if got := g.queue.Offer(w.clock(), kqadmit.Item{ID: 1, Deadline: w.clock() + time.Second}); len(got) != 1 || !got[0].Run {
		t.Fatalf("call at the free gate: got %+v, want it to run", got)
	}
	x := ask("full server", ExpectQueued)
	if got, want := x.Gate.InFlight, 1; got != want {
		t.Errorf("calls at the gate: got %d, want %d", got, want)
	}
	g.said = kqserver.Statement{Limited: true, Limit: 2.5}
	if x := ask("server with a limit", ExpectQueued); x.Gate.ServerLimit == nil || *x.Gate.ServerLimit != 2.5 {
		t.Errorf("limit of the server: got %v, want 2.5", x.Gate.ServerLimit)
	}
}

// TestWhereIsBounded asks about a service of many servers.
func TestWhereIsBounded(t *testing.T) {
	w := newWhereNode(t, 300)
	answer := make(chan whereView, 1)
	whereEvent{answer: answer}.apply(w.control)
	x := w.explainWhere(WhereQuery{Host: "shop", Path: "/look/1", Team: freeTeam}, <-answer)
	if got, want := len(x.Servers), maxWhereServers; got != want {
		t.Errorf("servers listed: got %d, want %d", got, want)
	}
	if got, want := x.MoreServers, 300+1-maxWhereServers; got != want {
		t.Errorf("servers not listed: got %d, want %d", got, want)
	}
}

func TestParseWhere(t *testing.T) {
	q := WhereQuery{Method: "POST", Host: "shop", Path: "/look/1?a=b&c", RequestID: "r 1", Team: "mill&cafe"}
	u, err := url.Parse(q.URL())
	if err != nil {
		t.Fatal(err)
	}
	if got, err := parseWhere(u.Query()); err != nil || got != q {
		t.Errorf("question: got %+v and %v, want %+v", got, err, q)
	}
	for _, text := range []string{"", "host=shop", "path=/", "host=shop&path=/&key=secret", "host=shop&path=/&Team=x"} {
		v, err := url.ParseQuery(text)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := parseWhere(v); err == nil || strings.Contains(err.Error(), "secret") {
			t.Errorf("question %q: got %v, want an error without its values", text, err)
		}
	}
}
