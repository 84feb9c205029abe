package kqmesh

import (
	"context"
	"testing"
	"time"

	"kumquatlink/core/kqcall"
	"kumquatlink/core/kqroute"
	"kumquatlink/io/kqtrunk"
)

// TestVerdictOnUpstream checks which verdict on the upstream each outcome of a
// call gives. A gate whose backend server is gone has all its slots free; if it
// only counted as full for a moment, it would attract every call.
func TestVerdictOnUpstream(t *testing.T) {
	ran := func(status int) kqtrunk.AnswerHead { return kqtrunk.AnswerHead{End: kqcall.Ran(), Status: status} }
	notRun := func(c kqcall.Cause) kqtrunk.AnswerHead { return kqtrunk.AnswerHead{End: kqcall.NotRun(c)} }
	unknown := func(c kqcall.Cause) kqtrunk.AnswerHead { return kqtrunk.AnswerHead{End: kqcall.Unknown(c)} }
	for name, c := range map[string]struct {
		outcome callAnswer
		want    kqroute.Verdict
	}{
		"answer":                    {callAnswer{head: ran(200), fromGate: true}, kqroute.Good},
		"error of the caller":       {callAnswer{head: ran(404), fromGate: true}, kqroute.Good},
		"failure":                   {callAnswer{head: ran(500), fromGate: true}, kqroute.Faulty},
		"failure of an onward call": {callAnswer{head: kqtrunk.AnswerHead{End: kqcall.Ran(), Status: 500, Onward: 2}, fromGate: true}, kqroute.Inconclusive},
		"shed at the gate":          {callAnswer{head: notRun(kqcall.CauseShedGate), fromGate: true}, kqroute.Full},
		"shed by the server":        {callAnswer{head: notRun(kqcall.CauseBackendShed), fromGate: true}, kqroute.Faulty},
		"server can't be reached":   {callAnswer{head: notRun(kqcall.CauseBackendLost), fromGate: true}, kqroute.Faulty},
		"server lost while it ran":  {callAnswer{head: unknown(kqcall.CauseBackendLost), fromGate: true}, kqroute.Faulty},
		"server drains":             {callAnswer{head: notRun(kqcall.CauseDraining), fromGate: true}, kqroute.Draining},
		"another server there":      {callAnswer{head: notRun(kqcall.CauseMoved), fromGate: true}, kqroute.Draining},
		"link was down":             {callAnswer{head: notRun(kqcall.CauseLinkLost)}, kqroute.Faulty},
		"caller went away":          {callAnswer{head: unknown(kqcall.CauseCallerGone), fromGate: true}, kqroute.Inconclusive},
	} {
		t.Run(name, func(t *testing.T) {
			a := routeResult(time.Unix(0, 0), context.Background(), &c.outcome)
			if got := a.Verdict; got != c.want {
				t.Errorf("verdict: got %v, want %v", got, c.want)
			}
			if got, want := a.Load != nil, c.outcome.fromGate; got != want {
				t.Errorf("answer has a load report: got %v, want %v", got, want)
			}
		})
	}
}
