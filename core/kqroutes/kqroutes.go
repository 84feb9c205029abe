// Package kqroutes holds the routes that operators configure for HTTP requests:
// which service runs a request, how long it may take, how often it may be tried
// and how important it is. A service is a set of interchangeable backend servers.
//
// # Usage
//
// A [Document] is one version of everything that operators configure about routes.
// [NewTable] turns it into the immutable [Table] that finds the route and the [Team]
// of a request. [Document.Check] lists what the table can't apply as it is written;
// such a part is replaced or refuses its requests, and never keeps the rest from being
// in force:
//
//	for _, fault := range document.Check() { ... }
//	table := kqroutes.NewTable(document)
//	route, found := table.Find("shop.example", "/voices/12")
//	service := route.ServiceFor(requestID)
//	team, known := table.Team(key)
//	rank := table.Rank(team, route)
//
// A request uses one table from its start to its end. [Document.Newer] reports
// whether a document may replace the current one.
package kqroutes

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"kumquatlink/core/kqclass"
)

// Bounds of what a table takes from a document.
const (
	// unlimitedTimeout is the timeout of a route that names none. Callers' own
	// deadlines are shorter.
	unlimitedTimeout = kqclass.Duration(24 * time.Hour)
	// maxWeight keeps the sum of the weights of a route from overflowing.
	maxWeight = 1 << 40
)

// Part is a service and its share of a route's requests.
type Part struct {
	Service string
	// Weight is the share, relative to the weights of the other parts of the
	// route.
	Weight int
}

// Route configures the requests of one host below one path prefix.
type Route struct {
	Name string
	// Host is the name in the Host header of the requests.
	Host string
	// Prefix is the path prefix; it begins and ends with a slash.
	Prefix string
	// RunOnce is set if a request must not run more than once.
	RunOnce bool
	// Parts lists the services that share the requests.
	Parts []Part
	// Timeout is the longest time that a caller waits for an answer.
	Timeout kqclass.Duration
	// Target is the time within which an answer is of full use to its caller.
	Target kqclass.Duration
	// MaxAttempts is how many backend servers one request may be sent to.
	MaxAttempts int
	// Rank is the importance; 0 is the most important. There is no largest rank.
	Rank int
	// Public is set if requests need no key of a team.
	Public bool `json:",omitempty"`
}

// ServiceFor returns the service that runs the request. It always returns the
// same service for the same request ID.
func (r *Route) ServiceFor(requestID string) string {
	if len(r.Parts) == 1 {
		return r.Parts[0].Service
	}
	total := uint64(0)
	for _, p := range r.Parts {
		total += uint64(p.Weight)
	}
	// Hashing the route's name too keeps two routes from splitting their
	// requests in the same way.
	position := xxhash.Sum64String(r.Name+"\x00"+requestID) % total
	for _, p := range r.Parts {
		if position < uint64(p.Weight) {
			return p.Service
		}
		position -= uint64(p.Weight)
	}
	return r.Parts[len(r.Parts)-1].Service
}

// Service is the configuration of the backend servers of a service.
type Service struct {
	Name string
	// HealthPath is the path at which a backend server answers whether it is
	// healthy.
	HealthPath string
	// MaxConnections is how many connections one backend server accepts.
	MaxConnections int
}

// Limits bounds what a caller may send. A zero value means no limit.
type Limits struct {
	HeaderBytes int
	BodyBytes   int
	// HeaderTime is how long a caller may take to send the headers of a
	// request.
	HeaderTime kqclass.Duration
	// IdleTime is how long a connection may stay open without a request.
	IdleTime kqclass.Duration
}

// Document is one version of all routes.
type Document struct {
	// Version is the operator's version number, which only increases.
	Version  int64
	Routes   []Route
	Services []Service
	Limits   Limits
	// Teams lists the teams whose keys are accepted. Without any, no request needs
	// a key.
	Teams []Team `json:",omitempty"`
}

// Newer reports whether the document may replace one with the given version.
func (d Document) Newer(current int64) bool {
	return d.Version > current
}

// Check returns every fault of the document: what a [Table] of it does not apply as it
// is written.
func (d Document) Check() []kqclass.Fault {
	var faults []kqclass.Fault
	services := map[string]bool{}
	for _, s := range d.Services {
		services[s.Name] = true
	}
	indexes := map[[2]string]int{}
	for i, r := range d.Routes {
		field := fmt.Sprintf("Routes[%d]", i)
		faults = append(faults, r.check(field, services)...)
		key := [2]string{strings.ToLower(r.Host), r.Prefix}
		if first, taken := indexes[key]; taken {
			faults = append(faults, fault(field+".Prefix", r.Prefix, fmt.Sprintf("a host and prefix other than those of Routes[%d]", first)))
			continue
		}
		indexes[key] = i
	}
	return append(faults, d.checkTeams()...)
}

func (r Route) check(field string, services map[string]bool) []kqclass.Fault {
	var faults []kqclass.Fault
	if r.Host == "" {
		faults = append(faults, fault(field+".Host", r.Host, "a host name"))
	}
	if !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
		faults = append(faults, fault(field+".Prefix", r.Prefix, "a path that begins and ends with a slash"))
	}
	if r.Timeout <= 0 {
		faults = append(faults, fault(field+".Timeout", time.Duration(r.Timeout).String(), "a duration above 0"))
	}
	if r.Target < 0 {
		faults = append(faults, fault(field+".Target", time.Duration(r.Target).String(), "a duration of at least 0"))
	}
	if r.MaxAttempts < 1 {
		faults = append(faults, fault(field+".MaxAttempts", r.MaxAttempts, "at least 1"))
	}
	if r.Rank < 0 {
		faults = append(faults, fault(field+".Rank", r.Rank, "at least 0"))
	}
	if len(r.Parts) == 0 {
		faults = append(faults, fault(field+".Parts", "empty", "at least one service"))
	}
	total := 0
	for j, p := range r.Parts {
		if !services[p.Service] {
			faults = append(faults, fault(fmt.Sprintf("%s.Parts[%d].Service", field, j), p.Service, "a service of the document"))
		}
		if p.Weight < 0 {
			faults = append(faults, fault(fmt.Sprintf("%s.Parts[%d].Weight", field, j), p.Weight, "at least 0"))
		}
		total += max(p.Weight, 0)
	}
	if len(r.Parts) > 0 && total == 0 {
		faults = append(faults, fault(field+".Parts", "weights of 0", "a weight above 0"))
	}
	return faults
}

func fault(field string, value any, expect string) kqclass.Fault {
	return kqclass.Fault{Field: field, Value: fmt.Sprintf("%q", fmt.Sprint(value)), Expect: expect}
}

// usable returns the route with values that requests can be handled by. A route
// without a service stays, so that its requests are refused and not sent to the service
// of a shorter prefix.
func (r Route) usable() Route {
	if r.Timeout <= 0 {
		r.Timeout = unlimitedTimeout
	}
	r.Target, r.MaxAttempts, r.Rank = max(r.Target, 0), max(r.MaxAttempts, 1), max(r.Rank, 0)
	r.Parts = slices.Clone(r.Parts)
	total := 0
	for i := range r.Parts {
		r.Parts[i].Weight = min(max(r.Parts[i].Weight, 0), maxWeight)
		total += r.Parts[i].Weight
	}
	if total == 0 {
		r.Parts = []Part{{Weight: 1}}
	}
	return r
}

// usable returns the limits without negative ones, which bound nothing.
func (l Limits) usable() Limits {
	return Limits{HeaderBytes: max(l.HeaderBytes, 0), BodyBytes: max(l.BodyBytes, 0), HeaderTime: max(l.HeaderTime, 0), IdleTime: max(l.IdleTime, 0)}
}

// Table finds the route of a request. It is immutable.
type Table struct {
	document Document
	hosts    map[string][]*Route
	services map[string]Service
	teams    map[keyDigest]*Team
	ranking  ranking
}

// NewTable returns a table of a document. Where Check finds a fault, the table has the
// nearest usable value: of two routes with the same host and prefix it uses the first,
// and a route without a service refuses its requests.
func NewTable(d Document) *Table {
	d.Limits, d.Routes = d.Limits.usable(), slices.Clone(d.Routes)
	t := &Table{hosts: map[string][]*Route{}, services: map[string]Service{}}
	d.Teams, t.teams = indexTeams(d.Teams)
	for i := range d.Routes {
		d.Routes[i] = d.Routes[i].usable()
		r := &d.Routes[i]
		host := strings.ToLower(r.Host)
		t.hosts[host] = append(t.hosts[host], r)
	}
	t.document, t.ranking = d, newRanking(d)
	for _, list := range t.hosts {
		slices.SortStableFunc(list, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	for _, s := range d.Services {
		t.services[s.Name] = s
	}
	return t
}

// Document returns the document of the table, with the values that the table uses and
// without keys. The caller must not change it.
func (t *Table) Document() *Document { return &t.document }

// Service returns the configuration of a service, and whether the document
// contains it.
func (t *Table) Service(name string) (Service, bool) {
	s, found := t.services[name]
	return s, found
}

// Find returns the route with the longest prefix of the path for the host, and
// whether there is one. The host may include a port, and the path a query.
func (t *Table) Find(host, path string) (*Route, bool) {
	if at := strings.LastIndexByte(host, ':'); at >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:at]
	}
	if at := strings.IndexByte(path, '?'); at >= 0 {
		path = path[:at]
	}
	for _, r := range t.hosts[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return nil, false
}
