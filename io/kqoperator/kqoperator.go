// Package kqoperator asks nodes at their operator addresses, for the command
// line.
//
// # Usage
//
//	status, err := kqoperator.Status(ctx, "127.0.0.1:9000")
//	report := kqoperator.WaitInForce(ctx, status.Members, version)
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
var ErrOperator = errors.New("node did not answer its operator")

// Bounds of questions to nodes.
const (
	askTimeout = 3 * time.Second
	// maxAsked is how many nodes are asked at once. A question for a version
	// waits at the node, so it is as large as a fleet needs to be heard
	// within the 4 seconds of a change.
	maxAsked = 1024
)

// GetJSON reads a JSON answer of a node's operator address.
func GetJSON(ctx context.Context, address, path string, answer any) error {
	body, err := Get(ctx, address, path)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(body, answer); err != nil {
		return errors.Mark(errors.Wrapf(err, "read answer of %s", address), ErrOperator)
	}
	return nil
}

// Get reads an answer of a node's operator address as it is.
func Get(ctx context.Context, address, path string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	pool := kqhttp.NewPool(address, kqhttp.WithMaxIdle(0))
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI(path)
	request.Header.SetHost(address)
	if err := pool.Do(ctx, request, response); err != nil {
		return nil, errors.Mark(errors.Wrapf(err, "ask %s", address), ErrOperator)
	}
	if response.StatusCode() != fasthttp.StatusOK {
		return nil, errors.Mark(errors.Newf("ask %s: status %d", address, response.StatusCode()), ErrOperator)
	}
	return slices.Clone(response.Body()), nil
}

// Status asks a node for its status.
func Status(ctx context.Context, address string) (kqnode.Status, error) {
	var status kqnode.Status
	err := GetJSON(ctx, address, kqnode.PathStatus, &status)
	return status, err
}

// Configuration asks a node for the configuration that it has in force.
func Configuration(ctx context.Context, address string) (kqclass.Configuration, error) {
	var configuration kqclass.Configuration
	err := GetJSON(ctx, address, kqnode.PathConfiguration, &configuration)
	return configuration, err
}

// DomainReport says how a version stands in one failure domain.
type DomainReport struct {
	FailureDomain string
	Region        string
	// InForce is the number of nodes that have the version or a newer one.
	InForce int
	// Missing lists the nodes that have not, or did not answer.
	Missing []string
}

// Report says how a version stands in the fleet.
type Report struct {
	Version int64
	InForce int
	Missing int
	Domains []DomainReport
}

// String gives the report in words.
func (r Report) String() string {
	var b strings.Builder
	_, _ = fmt.Fprintf(&b, "version %d is in force on %d of %d nodes\n", r.Version, r.InForce, r.InForce+r.Missing)
	for _, d := range r.Domains {
		if len(d.Missing) > 0 {
			_, _ = fmt.Fprintf(&b, "  %s (%s): missing on %s\n", d.FailureDomain, d.Region, strings.Join(d.Missing, ", "))
		}
	}
	if r.Missing > 0 {
		b.WriteString("nodes that miss it run the version before, and take this one as soon as they hear of it\n")
	}
	return b.String()
}

// WaitInForce asks every member whether it has the version in force; each node
// holds its answer until it has, or until ctx ends.
func WaitInForce(ctx context.Context, members []kqmember.Record, version int64) (Report, error) {
	pool, err := ants.NewPool(maxAsked)
	if err != nil {
		return Report{}, errors.Mark(err, ErrOperator)
	}
	defer pool.Release()
	asked := make([]bool, len(members))
	var wait sync.WaitGroup
	for i, m := range members {
		if m.OperatorAddress == "" || m.Life == kqmember.LifeGone {
			continue
		}
		wait.Add(1)
		if err := pool.Submit(func() {
			defer wait.Done()
			asked[i] = hasVersion(ctx, m.OperatorAddress, version)
		}); err != nil {
			wait.Done()
		}
	}
	wait.Wait()
	return makeReport(members, asked, version), nil
}

func hasVersion(ctx context.Context, address string, version int64) bool {
	var answer kqnode.InForce
	err := GetJSON(ctx, address, fmt.Sprintf("%s?version=%d", kqnode.PathInForce, version), &answer)
	return err == nil && answer.Version >= version
}

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
