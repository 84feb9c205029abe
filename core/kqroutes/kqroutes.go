// Package kqroutes holds the routes that operators state for HTTP requests:
// which service runs a request, how long it may take, how often it may be
// tried and how important it is.
//
// # Usage
//
// A [Document] is one version of everything that operators state about routes.
// [Document.Check] lists every fault of it, and [NewTable] turns a checked one
// into the immutable [Table] that decides about requests:
//
//	if faults := document.Check(); len(faults) > 0 { ... }
//	table := kqroutes.NewTable(document)
//	route, found := table.Find("shop.example", "/voices/12")
//	service := route.ServiceFor(requestID)
//
// A request is decided by one table from its start to its end. [Newer] says
// whether a document may replace the one in force.
package kqroutes

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"kumquatlink/core/kqclass"
)

// maxRank is the largest rank that a route may have, as kqadmit tells apart.
const maxRank = 255

// Part is a share of a route's requests and the service that runs it.
type Part struct {
	Service string
	// Weight is the share, relative to the other parts of the route.
	Weight int
}

// Route says what becomes of the requests of one host below one path prefix.
type Route struct {
	Name string
	// Host is the name that the request's Host header gives.
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	// RunOnce is whether a request must not run more than once.
	RunOnce bool
	// Parts lists the services that share the requests.
	Parts []Part
	// Timeout is the longest time that a caller is kept waiting.
	Timeout kqclass.Duration
	// Target is the time within which an answer is of full use to its caller.
	Target kqclass.Duration
	// MaxAttempts is how many backend servers may be handed one request.
	MaxAttempts int
	// Rank is the importance, 0 is the most important.
	Rank int
}

// ServiceFor gives the service that runs the request. The same request ID
// always gives the same service.
func (r *Route) ServiceFor(requestID string) string {
	if len(r.Parts) == 1 {
		return r.Parts[0].Service
	}
	total := uint64(0)
	for _, p := range r.Parts {
		total += uint64(p.Weight)
	}
	// The route's name keeps two routes from splitting the same way.
	ticket := xxhash.Sum64String(r.Name+"\x00"+requestID) % total
	for _, p := range r.Parts {
		if ticket < uint64(p.Weight) {
			return p.Service
		}
		ticket -= uint64(p.Weight)
	}
	return r.Parts[len(r.Parts)-1].Service
}

// Service is what operators state about the backend servers of a service.
type Service struct {
	Name string
	// HealthPath answers whether a backend server is healthy.
	HealthPath string
	// MaxConnections is how many connections one backend server accepts.
	MaxConnections int
}

// Limits bound what a caller may send. A zero value means no limit.
type Limits struct {
	HeaderBytes int
	BodyBytes   int
	// HeaderTime is how long a caller may take to send a header.
	HeaderTime kqclass.Duration
	// IdleTime is how long a connection may stay without a request.
	IdleTime kqclass.Duration
}

// Document is one version of all routes.
type Document struct {
	// Version is the operator's number of it; it only goes up.
	Version  int64
	Routes   []Route
	Services []Service
	Limits   Limits
}

// Newer is whether the document may replace one of the version in force.
func (d Document) Newer(inForce int64) bool {
	return d.Version > inForce
}

// Check lists every fault of the document.
func (d Document) Check() []kqclass.Fault {
	var faults []kqclass.Fault
	services := map[string]bool{}
	for _, s := range d.Services {
		services[s.Name] = true
	}
	places := map[[2]string]int{}
	for i, r := range d.Routes {
		field := fmt.Sprintf("Routes[%d]", i)
		faults = append(faults, r.check(field, services)...)
		place := [2]string{r.Host, r.Prefix}
		if first, taken := places[place]; taken {
			faults = append(faults, fault(field+".Prefix", r.Prefix, fmt.Sprintf("another place than Routes[%d]", first)))
			continue
		}
		places[place] = i
	}
	return faults
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
	if r.Rank < 0 || r.Rank > maxRank {
		faults = append(faults, fault(field+".Rank", r.Rank, fmt.Sprintf("0 to %d", maxRank)))
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

// Table finds the route of a request. It is immutable.
type Table struct {
	document Document
	hosts    map[string][]*Route
	services map[string]Service
}

// NewTable makes a table of a checked document.
func NewTable(d Document) *Table {
	t := &Table{document: d, hosts: map[string][]*Route{}, services: map[string]Service{}}
	for i := range d.Routes {
		r := &d.Routes[i]
		host := strings.ToLower(r.Host)
		t.hosts[host] = append(t.hosts[host], r)
	}
	for _, list := range t.hosts {
		slices.SortStableFunc(list, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	for _, s := range d.Services {
		t.services[s.Name] = s
	}
	return t
}

// Document is what the table was made of. The caller must not change it.
func (t *Table) Document() *Document { return &t.document }

// Service gives what the operator states about a service.
func (t *Table) Service(name string) (Service, bool) {
	s, found := t.services[name]
	return s, found
}

// Find gives the route with the longest prefix that begins the path. The host
// may have a port, and the path a query.
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
