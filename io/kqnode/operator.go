package kqnode

import (
	"context"
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttpadaptor"

	"kumquatlink/core/kqclass"
	"kumquatlink/core/kqconfig"
	"kumquatlink/core/kqmember"
	"kumquatlink/io/kqlog"
	"kumquatlink/io/kqmetric"
	"kumquatlink/io/kqstore"
)

// Paths served at a node's operator address.
const (
	// PathStatus returns a Status as JSON.
	PathStatus = "/status"
	// PathInForce returns an InForce as JSON. With ?version=N it waits until
	// version N or a newer one is in force, but for 10 s at most, and then
	// returns the version in force.
	PathInForce = "/in-force"
	// PathConfiguration returns the configuration in force as JSON.
	PathConfiguration = "/configuration"
	// PathMetrics returns the metrics in the Prometheus text format.
	PathMetrics = "/metrics"
)

// maxInForceWait limits how long a request to PathInForce waits for a version.
const maxInForceWait = 10 * time.Second

// gaugePeriod is the time between two updates of the gauges.
const gaugePeriod = time.Second

// InForce describes the configuration that a node has in force. Since is when it
// came into force, by the node's clock.
type InForce struct {
	NodeID        string
	FailureDomain string
	Region        string
	Version       int64
	ChangeID      string
	Since         time.Time
}

// Status is the state of a node as reported to operators.
type Status struct {
	InForce  InForce
	Life     kqmember.Life
	Service  string
	Refusals kqconfig.Refusals
	Store    StoreView
	Fleet    FleetView
	// Watchers lists the IDs of the nodes that should watch the store, by failure
	// domain, according to this node's view of the membership.
	Watchers map[string][]string
	Members  []kqmember.Record
	// Gate is the current state of the node's gate.
	Gate GateStatus
	// LogDropped counts log lines that were dropped because the queue of the log was
	// full.
	LogDropped int64
}

// Status returns the node's current status.
func (n *Node) Status() Status {
	s := n.State()
	status := Status{
		InForce: n.inForce(s), Life: s.Life, Refusals: s.Refusals, Store: s.Store, Fleet: s.Fleet,
		Watchers: kqconfig.Watchers(s.Members), Members: s.Members.Records, LogDropped: n.log.Dropped(), Gate: n.GateStatus(),
	}
	if s.Backend != nil {
		status.Service = s.Backend.Announcement.Service
	}
	return status
}

func (n *Node) inForce(s *State) InForce {
	return InForce{
		NodeID: n.settings.NodeID, FailureDomain: n.settings.FailureDomain, Region: n.settings.Region,
		Version: s.Configuration.Version, ChangeID: s.Configuration.ChangeID, Since: s.InForceSince,
	}
}

// handleOperator answers HTTP requests at the operator address.
func (n *Node) handleOperator(c *fasthttp.RequestCtx) {
	if n.State() == nil {
		c.SetStatusCode(fasthttp.StatusServiceUnavailable)
		return
	}
	switch string(c.Path()) {
	case PathStatus:
		writeJSON(c, n.Status())
	case PathInForce:
		n.handleInForce(c)
	case PathConfiguration:
		writeJSON(c, n.State().Configuration)
	case PathMetrics:
		fasthttpadaptor.NewFastHTTPHandler(n.metrics.Handler())(c)
	default:
		if id, found := strings.CutPrefix(string(c.Path()), PathExplain); found {
			writeJSON(c, n.Explain(id))
			return
		}
		c.SetStatusCode(fasthttp.StatusNotFound)
		c.SetBodyString("unknown path\n")
	}
}

// handleInForce answers PathInForce. A version that is missing or no number
// counts as 0, so the request does not wait.
func (n *Node) handleInForce(c *fasthttp.RequestCtx) {
	version, err := strconv.ParseInt(string(c.QueryArgs().Peek("version")), 10, 64)
	if err != nil {
		version = 0
	}
	timer := time.NewTimer(maxInForceWait)
	defer timer.Stop()
	for {
		changed := n.control.changed()
		s := n.State()
		if s.Configuration.Version >= version {
			break
		}
		select {
		case <-changed:
			continue
		case <-timer.C:
		}
		break
	}
	writeJSON(c, n.inForce(n.State()))
}

func writeJSON(c *fasthttp.RequestCtx, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		c.SetStatusCode(fasthttp.StatusInternalServerError)
		return
	}
	c.SetContentType("application/json")
	c.SetBody(data)
}

// runMetrics updates the gauges every gaugePeriod until ctx ends.
func (n *Node) runMetrics(ctx context.Context) {
	ticker := time.NewTicker(gaugePeriod)
	defer ticker.Stop()
	for {
		n.updateGauges()
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// updateGauges sets the gauges from the published state.
func (n *Node) updateGauges() {
	s := n.State()
	n.metrics.Set(kqmetric.ConfigurationVersion, float64(s.Configuration.Version))
	n.metrics.Set(kqmetric.ConfigurationRefused, float64(s.Refusals.Older), string(kqconfig.VerdictOlder))
	n.metrics.Set(kqmetric.ConfigurationRefused, float64(s.Refusals.Rival), string(kqconfig.VerdictRival))
	n.metrics.Set(kqmetric.ConfigurationRefused, float64(s.Refusals.Faulty), string(kqconfig.VerdictFaulty))
	byLife := map[kqmember.Life]int{}
	for _, r := range s.Members.Records {
		byLife[r.Life]++
	}
	for _, l := range kqmember.LifeStates() {
		n.metrics.Set(kqmetric.Members, float64(byLife[l]), string(l))
	}
	n.updateFleetGauges(s.Fleet)
	n.metrics.Set(kqmetric.LogDropped, float64(n.log.Dropped()))
}

// Decisions that are counted. The names are those in the decision log.
const (
	decisionAnswer = "Answer"
	decisionRoute  = "Route"
	decisionAdmit  = "Admit"
)

// countDecision counts a decision by its outcome and cause, and records how long
// an answer took.
func (n *Node) countDecision(d kqlog.Decision) {
	switch d.Decision {
	case decisionAnswer:
		n.metrics.Count(kqmetric.Answers, d.Outcome, d.Cause)
		n.metrics.Time(kqmetric.AnswerTime, d.Took)
	case decisionRoute:
		n.metrics.Count(kqmetric.Routes, d.Outcome, d.Cause)
	case decisionAdmit:
		n.metrics.Count(kqmetric.Admissions, d.Outcome, d.Cause)
	}
}

// observeStore counts a call to the store and records how long it took. It also
// logs that the store was restored.
func (n *Node) observeStore(r kqstore.CallRecord) {
	n.metrics.Count(kqmetric.StoreCalls, r.Operation, storeResult(r.Err))
	n.metrics.Time(kqmetric.StoreTime, r.Took, r.Operation)
	if r.Restored() {
		n.metrics.Count(kqmetric.StoreRestores)
		n.log.Event(zerolog.WarnLevel, fmt.Sprintf("store was restored from a copy: it is in era %d after %d", r.Era, r.FormerEra), nil)
	}
}

// storeResult returns the metric label for the result of a call to the store.
func storeResult(err error) string {
	switch {
	case err == nil:
		return "done"
	case errors.Is(err, kqstore.ErrNotFound):
		return "not-found"
	case errors.Is(err, kqstore.ErrConflict):
		return "conflict"
	case errors.Is(err, kqstore.ErrExpired):
		return "expired"
	default:
		return "unavailable"
	}
}

// Configuration returns the configuration in force.
func (n *Node) Configuration() kqclass.Configuration {
	return n.State().Configuration
}
