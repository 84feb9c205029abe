// Package kqoperator is the client of the operator API of nodes, for the command
// line. A node serves this HTTP API at its operator address.
//
// # Usage
//
//	status, err := kqoperator.Status(ctx, "127.0.0.1:9000")
//	report, err := kqoperator.WaitInForce(ctx, status.Members, version)
package kqoperator

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/panjf2000/ants/v2"
	"github.com/valyala/fasthttp"

	"kumquatlink/core/kqclass"
	"kumquatlink/core/kqmember"
	"kumquatlink/io/kqhttp"
	"kumquatlink/io/kqnode"
)

// ErrOperator marks all errors of this package.
var ErrOperator = errors.New("request to the operator API of a node failed")

// Limits of requests to nodes.
const (
	requestTimeout = 3 * time.Second
	// maxConcurrentRequests is the number of nodes that are queried at once. A
	// node delays its answer until it has the requested version, so the limit is
	// large enough to query a whole fleet within the 4 seconds in which a change
	// must be in force.
	maxConcurrentRequests = 1024
)

// GetJSON sends a GET request to a node's operator address and decodes the JSON
// answer into answer. Errors are marked [ErrOperator].
func GetJSON(ctx context.Context, address, path string, answer any) error {
	body, err := Get(ctx, address, path)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(body, answer); err != nil {
		return errors.Mark(errors.Wrapf(err, "decode answer of %s", address), ErrOperator)
	}
	return nil
}

// Get sends a GET request to a node's operator address and returns the body of
// the answer. Errors, including any status but 200, are marked [ErrOperator].
func Get(ctx context.Context, address, path string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	pool := kqhttp.NewPool(address, kqhttp.WithMaxIdle(0))
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI(path)
	request.Header.SetHost(address)
	if err := pool.Do(ctx, request, response); err != nil {
		return nil, errors.Mark(errors.Wrapf(err, "request to %s", address), ErrOperator)
	}
	if response.StatusCode() != fasthttp.StatusOK {
		return nil, errors.Mark(errors.Newf("request to %s: status %d", address, response.StatusCode()), ErrOperator)
	}
	return slices.Clone(response.Body()), nil
}

// Status returns the status of the node at an operator address.
func Status(ctx context.Context, address string) (kqnode.Status, error) {
	var status kqnode.Status
	err := GetJSON(ctx, address, kqnode.PathStatus, &status)
	return status, err
}

// Configuration returns the configuration that is in force on the node at an
// operator address.
func Configuration(ctx context.Context, address string) (kqclass.Configuration, error) {
	var configuration kqclass.Configuration
	err := GetJSON(ctx, address, kqnode.PathConfiguration, &configuration)
	return configuration, err
}

// DomainReport shows how far a configuration version has spread in one failure
// domain.
type DomainReport struct {
	FailureDomain string
	Region        string
	// InForce is the number of nodes that use the version or a newer one.
	InForce int
	// Missing lists the IDs of nodes that use an older version, did not answer,
	// or have no operator address.
	Missing []string
}

// Report shows how far a configuration version has spread in the fleet.
type Report struct {
	// Version is the version that the report is about.
	Version int64
	// InForce and Missing are the numbers of nodes that do and don't use the
	// version or a newer one.
	InForce int
	Missing int
	// Domains are the reports of the failure domains, ordered by name.
	Domains []DomainReport
}

// String returns the report as text for an operator.
func (r Report) String() string {
	var b strings.Builder
	_, _ = fmt.Fprintf(&b, "version %d is in force on %d of %d nodes\n", r.Version, r.InForce, r.InForce+r.Missing)
	for _, d := range r.Domains {
		if len(d.Missing) > 0 {
			_, _ = fmt.Fprintf(&b, "  %s (%s): missing on %s\n", d.FailureDomain, d.Region, strings.Join(d.Missing, ", "))
		}
	}
	if r.Missing > 0 {
		b.WriteString("these nodes use an earlier version until they receive this one\n")
	}
	return b.String()
}

// WaitInForce asks every member whether the version, or a newer one, is in force
// on it. A node delays its answer until it is; a node that has not answered when
// ctx ends or the request times out is reported as missing.
func WaitInForce(ctx context.Context, members []kqmember.Record, version int64) (Report, error) {
	pool, err := ants.NewPool(maxConcurrentRequests)
	if err != nil {
		return Report{}, errors.Mark(err, ErrOperator)
	}
	defer pool.Release()
	inForce := make([]bool, len(members))
	var wait sync.WaitGroup
	for i, m := range members {
		if m.OperatorAddress == "" || m.Life == kqmember.LifeGone {
			continue
		}
		wait.Add(1)
		if err := pool.Submit(func() {
			defer wait.Done()
			inForce[i] = hasVersion(ctx, m.OperatorAddress, version)
		}); err != nil {
			wait.Done()
		}
	}
	wait.Wait()
	return makeReport(members, inForce, version), nil
}

// hasVersion asks one node and reports whether it has the version or a newer one.
func hasVersion(ctx context.Context, address string, version int64) bool {
	var answer kqnode.InForce
	err := GetJSON(ctx, address, fmt.Sprintf("%s?version=%d", kqnode.PathInForce, version), &answer)
	return err == nil && answer.Version >= version
}

// makeReport counts the members, except those that are gone, by failure domain.
// The values of inForce belong to the members with the same index.
func makeReport(members []kqmember.Record, inForce []bool, version int64) Report {
	domains := map[string]*DomainReport{}
	report := Report{Version: version}
	for i, m := range members {
		if m.Life == kqmember.LifeGone {
			continue
		}
		d := domains[m.FailureDomain]
		if d == nil {
			d = &DomainReport{FailureDomain: m.FailureDomain, Region: m.Region}
			domains[m.FailureDomain] = d
		}
		if inForce[i] {
			d.InForce++
			report.InForce++
			continue
		}
		d.Missing = append(d.Missing, m.NodeID)
		report.Missing++
	}
	for _, d := range domains {
		report.Domains = append(report.Domains, *d)
	}
	slices.SortFunc(report.Domains, func(a, b DomainReport) int { return strings.Compare(a.FailureDomain, b.FailureDomain) })
	return report
}
