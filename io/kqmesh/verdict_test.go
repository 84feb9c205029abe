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
		outcome outcome
		want    kqroute.Verdict
	}{
		"answer":                    {outcome{head: ran(200), heard: true}, kqroute.Good},
		"error of the caller":       {outcome{head: ran(404), heard: true}, kqroute.Good},
		"failure":                   {outcome{head: ran(500), heard: true}, kqroute.Faulty},
		"failure of an onward call": {outcome{head: kqtrunk.AnswerHead{End: kqcall.Ran(), Status: 500, Onward: 2}, heard: true}, kqroute.Inconclusive},
		"shed at the gate":          {outcome{head: notRun(kqcall.CauseShedGate), heard: true}, kqroute.Full},
		"shed by the server":        {outcome{head: notRun(kqcall.CauseBackendShed), heard: true}, kqroute.Faulty},
		"server can't be reached":   {outcome{head: notRun(kqcall.CauseBackendLost), heard: true}, kqroute.Faulty},
		"server lost while it ran":  {outcome{head: unknown(kqcall.CauseBackendLost), heard: true}, kqroute.Faulty},
		"server drains":             {outcome{head: notRun(kqcall.CauseDraining), heard: true}, kqroute.Draining},
		"another server there":      {outcome{head: notRun(kqcall.CauseMoved), heard: true}, kqroute.Draining},
		"link was down":             {outcome{head: notRun(kqcall.CauseLinkLost)}, kqroute.Faulty},
		"caller went away":          {outcome{head: unknown(kqcall.CauseCallerGone), heard: true}, kqroute.Inconclusive},
	} {
		t.Run(name, func(t *testing.T) {
			a := answerOf(time.Unix(0, 0), context.Background(), &c.outcome)
			if got := a.Verdict; got != c.want {
				t.Errorf("verdict: got %v, want %v", got, c.want)
			}
			if got, want := a.Load != nil, c.outcome.heard; got != want {
				t.Errorf("answer has a load report: got %v, want %v", got, want)
			}
		})
	}
}
