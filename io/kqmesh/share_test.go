package kqmesh

import (
	"strconv"
	"testing"
	"time"

	"kumquatlink/core/kqadmit"
	"kumquatlink/core/kqcall"
	"kumquatlink/core/kqfair"
	"kumquatlink/core/kqroutes"
	"kumquatlink/core/kqshed"
	"kumquatlink/io/kqlog"
	"kumquatlink/io/kqstore"
	"kumquatlink/io/kqtrunk"
)

// TestRefusalForAShareHasFigures has the gates of a service admit a third of the calls, and
// orders requests of a large and of a small team.
func TestRefusalForAShareHasFigures(t *testing.T) {
	n, err := New(Settings{NodeID: "orders-1", Service: "orders", BackendAddress: "10.0.0.1:80"}, NativeDialect(), &kqstore.Client{})
	if err != nil {
		t.Fatal(err)
	}
	s := n.shedder.shares
	threshold := kqadmit.OrderedLevel(3, 1<<32/3)
	s.record("browse", kqshed.Answer{Service: "catalog", Upstream: "catalog-1", Cut: threshold})
	s.recordAll(kqshed.Answer{Service: "catalog", Upstream: "catalog-2", Cut: threshold})
	demands := []float64{900, 50, 50}
	refuse := func(name string, requests float64, i int) (*call, kqlog.Decision) {
		q := &call{team: &kqroutes.Team{Name: name}, head: kqtrunk.CallHead{Service: "catalog", Class: "browse", Rank: 3, Root: "r" + strconv.Itoa(i)}}
		s.order(q, teamDemand{curve: kqfair.NewCurve(demands), requests: requests, age: 300 * time.Millisecond})
		d := kqlog.Decision{Cause: string(kqcall.CauseShedEntry), Outcome: string(kqcall.OutcomeNotRun)}
		q.addTeam(&d)
		return q, d
	}
	for i := range 100 {
		q, d := refuse("large", 900, i)
		if got, want := d.Demand, 900.0; got != want {
			t.Errorf("demand in the decision: got %v, want %v", got, want)
		}
		if got, low, high := d.Share, 150.0, 300.0; got < low || got > high {
			t.Errorf("share in the decision: got %v, want %v to %v", got, low, high)
		}
		if got, want := d.DemandAge, 300*time.Millisecond; got != want {
			t.Errorf("age of the figures: got %v, want %v", got, want)
		}
		small, d := refuse("small", 50, i)
		if got, want := d.Team, "small"; got != want || d.Share != 0 {
			t.Errorf("decision on a team within its share: got team %q and share %v, want %q and none", got, d.Share, want)
		}
		if levelOf(small.head) > threshold {
			t.Errorf("request %s of the small team lies above the threshold", small.head.Root)
		}
		if small.head.Order > q.head.Order {
			t.Errorf("request %s: the small team's comes after the large one's", small.head.Root)
		}
	}
}

// TestRoomsAreBounded records answers for more classes than there may be rooms.
func TestRoomsAreBounded(t *testing.T) {
	n, err := New(Settings{NodeID: "orders-1", Service: "orders", BackendAddress: "10.0.0.1:80"}, NativeDialect(), &kqstore.Client{})
	if err != nil {
		t.Fatal(err)
	}
	for i := range 3 * maxRooms {
		n.shedder.shares.record("class-"+strconv.Itoa(i), kqshed.Answer{Service: "catalog", Cut: kqadmit.AdmitAll})
	}
	if got, want := len(n.shedder.shares.rooms), maxRooms; got > want {
		t.Errorf("rooms: got %d, want at most %d", got, want)
	}
}

func TestTeamResults(t *testing.T) {
	for _, c := range []struct {
		end  kqcall.End
		want string
	}{
		{kqcall.End{Outcome: kqcall.OutcomeRan, Cause: kqcall.CauseDone}, "served"},
		{kqcall.NotRun(kqcall.CauseQuota), "quota"},
		{kqcall.NotRun(kqcall.CauseShedEntry), "shed"},
		{kqcall.NotRun(kqcall.CauseDisplaced), "shed"},
		{kqcall.NotRun(kqcall.CauseHandedBack), "shed"},
		{kqcall.NotRun(kqcall.CauseDeadline), "failed"},
		{kqcall.End{Outcome: kqcall.OutcomeUnknown, Cause: kqcall.CauseBackendLost}, "failed"},
	} {
		if got := teamResult(kqlog.Decision{Outcome: string(c.end.Outcome), Cause: string(c.end.Cause)}); got != c.want {
			t.Errorf("result of %v: got %s, want %s", c.end, got, c.want)
		}
	}
}
