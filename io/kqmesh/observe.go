package kqmesh

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"runtime/debug"
	"time"

	"github.com/cockroachdb/errors"

	"kumquatlink/core/kqserver"
	"kumquatlink/io/kqlog"
	"kumquatlink/io/kqmetric"
	"kumquatlink/io/kqstore"
)

// metricsPath is where the metrics are served.
const metricsPath = "/metrics"

// gaugePeriod is how often the gauges are set.
const gaugePeriod = time.Second

// metricsHeaderTime bounds reading the headers of a request for metrics.
const metricsHeaderTime = 2 * time.Second

// metricsAnswerTime bounds writing an answer to a reader of metrics.
const metricsAnswerTime = 10 * time.Second

// Results of store calls in the metrics. A refused call was answered with a
// refusal, a failed one was not answered.
const (
	resultDone    = "done"
	resultRefused = "refused"
	resultFailed  = "failed"
)

// recordDecision logs and counts a decision about a request or call.
func (n *Node) recordDecision(d kqlog.Decision) {
	if d.Root == d.RequestID {
		d.Root = ""
	}
	n.log.Decision(d)
	switch d.Decision {
	case decisionAnswer:
		n.metrics.Count(kqmetric.Answers, d.Outcome, d.Cause)
		n.metrics.Time(kqmetric.AnswerTime, d.Took)
		if d.Team != "" {
			n.metrics.Count(kqmetric.TeamAnswers, d.Team, teamResult(d))
		}
	case decisionRoute:
		n.metrics.Count(kqmetric.Routes, d.Outcome, d.Cause)
	case decisionAdmit:
		n.metrics.Count(kqmetric.Admissions, d.Outcome, d.Cause)
		n.metrics.Time(kqmetric.QueueTime, d.Queued)
	}
}

// observeStore counts a call to the store, and logs when the store is lost and
// when it is back.
func (n *Node) observeStore(r kqstore.CallRecord) {
	result := resultDone
	switch {
	case kqstore.IsUnavailable(r.Err):
		result = resultFailed
	case r.Err != nil:
		result = resultRefused
	}
	n.metrics.Count(kqmetric.StoreCalls, r.Operation, result)
	n.control.observeStore(r)
}

// logPanic logs and counts a panic in a goroutine of the pool. A caller gets the status
// 500, and a peer learns that its call may have run.
func (n *Node) logPanic(reason any) {
	n.metrics.Count(kqmetric.Panics)
	n.logEvent(eventPanic, fmt.Sprintf("call ended by a panic: %v\n%s", reason, debug.Stack()), nil)
}

// serveMetrics serves the metrics until the node ends. It does nothing if no
// address is set.
func (n *Node) serveMetrics() error {
	if n.settings.MetricsAddress == "" {
		return nil
	}
	l, err := net.Listen("tcp", n.settings.MetricsAddress)
	if err != nil {
		return errors.Mark(errors.Wrapf(err, "listen at %s", n.settings.MetricsAddress), ErrNode)
	}
	mux := http.NewServeMux()
	mux.Handle(metricsPath, n.metrics.Handler())
	mux.HandleFunc(PathWhere, n.handleWhere)
	n.metricsServer = &http.Server{Handler: mux, ReadHeaderTimeout: metricsHeaderTime, WriteTimeout: metricsAnswerTime}
	go func() {
		if err := n.metricsServer.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			n.logEvent(eventMetricsEnded, "metrics server ended: metrics are no longer served", err)
		}
	}()
	return nil
}

// runGauges sets the gauges periodically until ctx ends.
func (n *Node) runGauges(ctx context.Context) {
	t := time.NewTicker(gaugePeriod)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			n.setGauges()
		case <-ctx.Done():
			return
		}
	}
}

func (n *Node) setGauges() {
	s := n.State()
	n.metrics.Set(kqmetric.ConfigurationVersion, float64(n.routesVersion()))
	n.metrics.Set(kqmetric.LogDropped, float64(n.log.Dropped()))
	n.metrics.Set(kqmetric.ServerRateLimit, n.gate.namedLimit())
	n.metrics.Set(kqmetric.BodyMemory, float64(n.memory.InUse()))
	l := n.gate.load()
	n.metrics.Set(kqmetric.GateSlots, float64(l.Limit), "all")
	n.metrics.Set(kqmetric.GateSlots, float64(l.InFlight), "running")
	n.metrics.Set(kqmetric.GateSlots, float64(l.Queued), "waiting")
	for service, t := range s.Upstreams {
		n.metrics.Set(kqmetric.Upstreams, float64(len(t.Upstreams())), service)
		n.setSpread(service, t)
	}
	for _, state := range []kqserver.State{kqserver.Unknown, kqserver.Ready, kqserver.Draining, kqserver.Gone} {
		value := 0.0
		if state == s.ServerState {
			value = 1
		}
		n.metrics.Set(kqmetric.ServerState, value, string(state))
	}
}
