// Package kqmetric defines and records the metrics of a node. They are kept with
// the library tally and served at the node's operator address in the Prometheus
// text format.
//
// # Usage
//
//	metrics, err := kqmetric.New()
//	metrics.Count(kqmetric.Answers, "ran", "Done")
//	metrics.Set(kqmetric.ConfigurationVersion, 12)
//	handler := metrics.Handler()
//
// [Definitions] lists every metric; the reference page is generated from it. The
// values of tags come from small sets, such as outcomes, causes and operations.
// The number of series of a metric is limited: beyond the limit, values are
// recorded under the tag value [Overflow].
package kqmetric

import (
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/uber-go/tally/v4"
	tallyprometheus "github.com/uber-go/tally/v4/prometheus"
)

// Overflow is the tag value for all series beyond the limit of a metric, and for
// an empty or missing value.
const Overflow = "other"

// maxSeries is the maximum number of series of a metric, apart from that of
// Overflow.
const maxSeries = 128

// maxTeamSeries is the same for metrics by team: four results of 128 teams.
const maxTeamSeries = 512

// timeBuckets holds the upper bounds of the buckets of timers, in seconds.
var timeBuckets = []float64{0.001, 0.005, 0.02, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4}

// reportPeriod is the period in which recorded values are passed to the reporter
// and so become visible.
const reportPeriod = time.Second

// Kind is the kind of a metric.
type Kind string

// The kinds of metrics.
const (
	KindCounter Kind = "counter"
	KindGauge   Kind = "gauge"
	KindTimer   Kind = "timer"
)

// Definition describes one metric.
type Definition struct {
	Name string
	Kind Kind
	Tags []string
	// Unit is the unit of the metric's values.
	Unit string
	Help string
}

// unitCalls is the unit of metrics that count calls.
const unitCalls = "calls"

// Names of tags that several metrics have.
const (
	tagService = "service"
	tagResult  = "result"
)

// The metrics of a node.
var (
	Answers              = Definition{"answers", KindCounter, []string{"outcome", "cause"}, unitCalls, "Calls answered by this node's entry."}
	TeamAnswers          = Definition{"team_answers", KindCounter, []string{"team", tagResult}, unitCalls, "Calls answered by this node's entry, by team. Results: served; quota, over the team's quota; shed, refused since a service was short; failed."}
	AnswerTime           = Definition{"answer_time", KindTimer, nil, "seconds", "Time from taking a call at the entry to its answer."}
	Routes               = Definition{"routes", KindCounter, []string{"outcome", "cause"}, "tries", "Tries that this entry sent to an upstream."}
	Admissions           = Definition{"admissions", KindCounter, []string{"outcome", "cause"}, unitCalls, "Calls that this node's gate decided on."}
	StoreCalls           = Definition{"store_calls", KindCounter, []string{"operation", tagResult}, unitCalls, "Calls of the object API, and calls that were suppressed while it failed."}
	StoreTime            = Definition{"store_time", KindTimer, []string{"operation"}, "seconds", "Time of a call of the object API."}
	StoreRestores        = Definition{"store_restores", KindCounter, nil, "restores", "Restores of the store from a copy that this node has noticed."}
	ConfigurationVersion = Definition{"configuration_version", KindGauge, nil, "version", "Version of the configuration in force."}
	ConfigurationRefused = Definition{"configuration_refused", KindGauge, []string{"verdict"}, "offers", "Offered configurations that were refused since the start."}
	Members              = Definition{"members", KindGauge, []string{"life"}, "nodes", "Nodes in this node's view, by life state."}
	Suspected            = Definition{"suspected", KindGauge, nil, "nodes", "Nodes in this node's view that have not refuted a suspicion yet."}
	Confirmed            = Definition{"confirmed", KindGauge, nil, "0 or 1", "Whether other nodes have answered since the start or the last pause."}
	Pauses               = Definition{"pauses", KindGauge, nil, "pauses", "Pauses of this node's process or host since its start."}
	Exchanges            = Definition{"exchanges", KindCounter, []string{tagResult}, "exchanges", "Control messages that this node sent to other nodes."}
	QueueTime            = Definition{"queue_time", KindTimer, nil, "seconds", "Time that calls waited for a slot at this node's gate."}
	RunTime              = Definition{"run_time", KindTimer, nil, "seconds", "Time that calls were at the backend server."}
	GateSlots            = Definition{"gate_slots", KindGauge, []string{"use"}, unitCalls, "Slots of the backend server by use: all, running, and calls that wait for a slot."}
	Upstreams            = Definition{"upstreams", KindGauge, []string{tagService}, "nodes", "Upstreams that accept calls, by service."}
	UpstreamUse          = Definition{"upstream_use", KindGauge, []string{tagService, "of"}, "share of the limit", "Least, mean and largest load of the upstreams of a service relative to their limits, as this entry knows it. Set while calls are routed evenly."}
	Repeats              = Definition{"repeats", KindCounter, []string{tagService}, unitCalls, "Calls that this entry repeated at a further backend server."}
	RepeatsRefused       = Definition{"repeats_refused", KindCounter, []string{tagService}, unitCalls, "Calls that were not repeated because the repeat budget was spent."}
	ServerState          = Definition{"server_state", KindGauge, []string{"state"}, "0 or 1", "State of the backend server beside this node."}
	ServerRateLimit      = Definition{"server_rate_limit", KindGauge, nil, "calls per second", "Limit that the backend server beside this node names in its answers; -1 if it names none."}
	ServerCrashes        = Definition{"server_crashes", KindCounter, nil, "crashes", "Times that the backend server beside this node ended without notice while it ran requests."}
	DeadlyRefused        = Definition{"deadly_refused", KindCounter, []string{tagService}, unitCalls, "Calls refused because several servers have crashed while they ran the same request."}
	QuotaDecisions       = Definition{"quota_decisions", KindCounter, []string{tagResult}, unitCalls, "Requests of teams with a quota, by this entry's decision: admitted, refused, or refused by the entry's own share while the home of the team does not answer."}
	QuotaRefused         = Definition{"quota_refused", KindCounter, []string{"team"}, unitCalls, "Requests beyond the quota of their team that this entry has refused."}
	QuotaReports         = Definition{"quota_reports", KindCounter, []string{tagResult}, "reports", "Reports of the teams' use that this entry has sent to their homes."}
	MalformedRequests    = Definition{"malformed_requests", KindCounter, []string{"reason"}, "requests", "Requests of callers that were refused because they do not follow the grammar of HTTP/1.1, by what is malformed."}
	StalledCallers       = Definition{"stalled_callers", KindCounter, nil, "callers", "Callers that were closed because they did not read their answers while the memory for bodies was short."}
	BodyMemory           = Definition{"body_memory", KindGauge, nil, "bytes", "Memory that the bodies of requests and answers take."}
	Panics               = Definition{"panics", KindCounter, nil, "panics", "Calls and tasks that ended by a panic, a fault of the node. The log holds the stack."}
	LogDropped           = Definition{"log_dropped", KindGauge, nil, "lines", "Log lines that were not written since the start, because the queue was full or the line budget was spent."}
)

// maxSeriesOf returns the maximum number of series of a metric.
func maxSeriesOf(d Definition) int {
	if d.Name == TeamAnswers.Name {
		return maxTeamSeries
	}
	return maxSeries
}

// Definitions lists every metric, in the order of the reference page.
func Definitions() []Definition {
	return []Definition{
		Answers, TeamAnswers, AnswerTime, Routes, Admissions, StoreCalls, StoreTime, StoreRestores,
		ConfigurationVersion, ConfigurationRefused, Members, Suspected, Confirmed, Pauses, Exchanges,
		QueueTime, RunTime, GateSlots, Upstreams, UpstreamUse, Repeats, RepeatsRefused, ServerState, ServerRateLimit, ServerCrashes, DeadlyRefused, QuotaDecisions, QuotaRefused, QuotaReports, MalformedRequests, StalledCallers, BodyMemory, Panics, LogDropped,
	}
}

// Metrics records the metrics of one node. It is safe for concurrent use.
type Metrics struct {
	scope    tally.Scope
	closer   io.Closer
	registry *prometheus.Registry

	mutex sync.RWMutex
	// scopes holds the scope of each series, by the metric's name and then by the
	// values of the tags, each followed by a zero byte.
	scopes map[string]map[string]tally.Scope
}

// New returns metrics with a registry of their own, so that several nodes of one
// process do not share them.
func New() (*Metrics, error) {
	registry := prometheus.NewRegistry()
	var registerError error
	reporter := tallyprometheus.NewReporter(tallyprometheus.Options{
		Registerer:              registry,
		Gatherer:                registry,
		DefaultTimerType:        tallyprometheus.HistogramTimerType,
		DefaultHistogramBuckets: timeBuckets,
		OnRegisterError:         func(err error) { registerError = err },
	})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix: "kumquatlink", Separator: tallyprometheus.DefaultSeparator, CachedReporter: reporter,
		OmitCardinalityMetrics: true,
	}, reportPeriod)
	if registerError != nil {
		return nil, errors.Wrap(registerError, "register metrics")
	}
	return &Metrics{scope: scope, closer: closer, registry: registry, scopes: map[string]map[string]tally.Scope{}}, nil
}

// Close stops passing values to the reporter.
func (m *Metrics) Close() error {
	return errors.Wrap(m.closer.Close(), "stop metrics")
}

// Handler returns a handler that serves the metrics in the Prometheus text format.
func (m *Metrics) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}

// Count adds one to a counter. The values are those of the tags, in the order of
// the definition.
func (m *Metrics) Count(d Definition, values ...string) {
	m.tagged(d, values).Counter(d.Name).Inc(1)
}

// Set sets a gauge. The tag values are as for [Metrics.Count].
func (m *Metrics) Set(d Definition, value float64, values ...string) {
	m.tagged(d, values).Gauge(d.Name).Update(value)
}

// Time records a duration. The tag values are as for [Metrics.Count].
func (m *Metrics) Time(d Definition, took time.Duration, values ...string) {
	m.tagged(d, values).Timer(d.Name).Record(took)
}

// tagged returns the scope of a series, and adds the series if it is new.
func (m *Metrics) tagged(d Definition, values []string) tally.Scope {
	key := ""
	for _, v := range values {
		key += v + "\x00"
	}
	m.mutex.RLock()
	s, found := m.scopes[d.Name][key]
	m.mutex.RUnlock()
	if found {
		return s
	}
	return m.addSeries(d, key, values)
}

// addSeries adds a series, or returns that of Overflow if the metric has reached
// its limit.
func (m *Metrics) addSeries(d Definition, key string, values []string) tally.Scope {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	limit := maxSeriesOf(d)
	series := m.scopes[d.Name]
	if series == nil {
		series = map[string]tally.Scope{}
		m.scopes[d.Name] = series
	}
	if s, found := series[key]; found {
		return s
	}
	tags := map[string]string{}
	for i, t := range d.Tags {
		tags[t] = Overflow
		if i < len(values) && values[i] != "" && len(series) < limit {
			tags[t] = values[i]
		}
	}
	s := m.scope
	if len(tags) > 0 {
		s = m.scope.Tagged(tags)
	}
	if len(series) < limit {
		series[key] = s
	}
	return s
}
