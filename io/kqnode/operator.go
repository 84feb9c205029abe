package kqnode

import (
	"context"
	"encoding/json"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttpadaptor"

	"kumquatlink/core/kqclass"
	"kumquatlink/core/kqconfig"
	"kumquatlink/core/kqmember"
	"kumquatlink/io/kqlog"
	"kumquatlink/io/kqmetric"
	"kumquatlink/io/kqstore"
)

// Paths of a node's operator address.
const (
	// PathStatus gives a Status.
	PathStatus = "/status"
	// PathInForce gives an InForce. With ?version=N it waits until that
	// version or a newer one is in force, at most maxInForceWait.
	PathInForce = "/in-force"
	// PathConfiguration gives the configuration in force.
	PathConfiguration = "/configuration"
	// PathMetrics gives the metrics in the Prometheus text format.
	PathMetrics = "/metrics"
)

// maxInForceWait bounds how long a question for a version may wait.
const maxInForceWait = 10 * time.Second

// gatherPeriod is how often the gauges are brought up to date.
const gatherPeriod = time.Second

// InForce says which configuration a node has in force.
type InForce struct {
	NodeID        string
	FailureDomain string
	Region        string
	Version       int64
	ChangeID      string
	Since         time.Time
}

// Status is what a node tells an operator.
type Status struct {
	InForce  InForce
	Life     kqmember.Life
	Service  string
	Refusals kqconfig.Refusals
	Store    StoreView
	Fleet    FleetView
	// Watchers are the nodes that watch the store, by failure domain, as far
	// as this node's view goes.
	Watchers map[string][]string
	Members  []kqmember.Record
	// Gate is what the node's gate does at this moment.
	Gate GateStatus
	// LogDropped is how many log lines found the queue full.
	LogDropped int64
}

// Status gives the node's status.
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

// handleOperator answers operators and what collects metrics.
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

// runMetrics keeps the gauges up to date.
func (n *Node) runMetrics(ctx context.Context) {
	ticker := time.NewTicker(gatherPeriod)
	defer ticker.Stop()
	for {
		n.gatherMetrics()
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// gatherMetrics brings the gauges up to date.
func (n *Node) gatherMetrics() {
	s := n.State()
	n.metrics.Set(kqmetric.ConfigurationVersion, float64(s.Configuration.Version))
	n.metrics.Set(kqmetric.ConfigurationRefused, float64(s.Refusals.Older), string(kqconfig.VerdictOlder))
	n.metrics.Set(kqmetric.ConfigurationRefused, float64(s.Refusals.Rival), string(kqconfig.VerdictRival))
	n.metrics.Set(kqmetric.ConfigurationRefused, float64(s.Refusals.Faulty), string(kqconfig.VerdictFaulty))
	lives := map[kqmember.Life]int{}
	for _, r := range s.Members.Records {
		lives[r.Life]++
	}
	for _, l := range kqmember.LifeStates() {
		n.metrics.Set(kqmetric.Members, float64(lives[l]), string(l))
	}
	n.gatherFleet(s.Fleet)
	n.metrics.Set(kqmetric.LogDropped, float64(n.log.Dropped()))
}

// Decisions that are counted; their names are those of the log lines.
const (
	decisionAnswer = "Answer"
	decisionRoute  = "Route"
	decisionAdmit  = "Admit"
)

// countDecision counts a decision by its outcome and cause.
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

// observeStore counts a call of the store.
func (n *Node) observeStore(r kqstore.CallRecord) {
	n.metrics.Count(kqmetric.StoreCalls, r.Operation, storeResult(r.Err))
	n.metrics.Time(kqmetric.StoreTime, r.Took, r.Operation)
}

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

// Configuration gives the configuration in force.
func (n *Node) Configuration() kqclass.Configuration {
	return n.State().Configuration
}
