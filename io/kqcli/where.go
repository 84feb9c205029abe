package kqcli

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"

	"kumquatlink/core/kqclass"
	"kumquatlink/io/kqmesh"
	"kumquatlink/io/kqoperator"
)

type whereCommand struct {
	Path   string `arg:"" help:"Path of the request."`
	Node   string `required:"" placeholder:"ADDRESS" help:"Address at which a mesh node serves its metrics."`
	Host   string `required:"" placeholder:"NAME" help:"Host header of the request."`
	Method string `default:"GET" help:"Method of the request."`
	Team   string `placeholder:"NAME" help:"Name of the caller's team. A key is never given."`
	ID     string `name:"id" placeholder:"ID" help:"ID of the request. Without it, some trial IDs are tried, and of a route that is divided the service with the largest weight is explained."`
	Output string `enum:"text,json" default:"text" help:"Format of the output: ${enum}."`
}

// Help returns the longer help of the command.
func (whereCommand) Help() string {
	return "The node goes the way of the request through its own decisions, and changes no state: nothing is sent, counted or taken from a budget. It tells what it knows: what a gate on another host decides is not asked. Only mesh nodes answer.\n\nExample:\n\n  kumquatlink where --node 127.0.0.1:9464 --host shop.example --team harbour-shop /voices/12"
}

// Run asks a node where a request would go, and prints the answer.
func (k *whereCommand) Run(e *environment) error {
	q := kqmesh.WhereQuery{Method: k.Method, Host: k.Host, Path: k.Path, RequestID: k.ID, Team: k.Team}
	var x kqmesh.Where
	if err := kqoperator.GetJSON(e.ctx, k.Node, q.URL(), &x); err != nil {
		return err
	}
	if x.Fault != "" {
		return errors.Mark(errors.Newf("%s, version %d", x.Fault, x.RoutesVersion), ErrInput)
	}
	if k.Output == outputJSON {
		return writeJSON(e.output, x)
	}
	return writeWhere(e.output, x)
}

// expectationTexts holds a description of each expectation.
var expectationTexts = map[kqmesh.Expectation]string{
	kqmesh.ExpectSent: "sent", kqmesh.ExpectQueued: "sent, and queued or refused by a gate",
	kqmesh.ExpectRefused: "refused", kqmesh.ExpectPartly: "refused for a part of the request IDs",
}

// writeWhere writes an answer as text: the outcome, what decides on it, and a table of
// the servers.
func writeWhere(w io.Writer, x kqmesh.Where) error {
	q := x.Query
	_, _ = fmt.Fprintf(w, "%s %s%s%s%s would be %s", q.Method, q.Host, q.Path, prefixed(" of team ", q.Team), prefixed(" with ID ", q.RequestID), expectationTexts[x.Answer.Expect])
	if a := x.Answer; a.Status != 0 {
		_, _ = fmt.Fprintf(w, ": %d %s", a.Status, a.Cause)
		if a.RetryAfter != nil {
			_, _ = fmt.Fprintf(w, ", Retry-After %.3f", a.RetryAfter.Value().Seconds())
		}
	}
	_, _ = fmt.Fprintf(w, " (%s)\n", x.Answer.Detail)
	current := "confirmed as the latest"
	if !x.RoutesCurrent {
		current = "not confirmed as the latest"
	}
	_, _ = fmt.Fprintf(w, "node %s in %s (%s), routes of version %d, %s\n", x.NodeID, x.FailureDomain, x.Region, x.RoutesVersion, current)
	if x.Route != nil {
		writeWhereRoute(w, x)
	}
	return writeWhereServers(w, x)
}

// prefixed returns a text with its prefix, or nothing if it is empty.
func prefixed(prefix, text string) string {
	if text == "" {
		return ""
	}
	return prefix + text
}

// writeWhereRoute writes the route, the quota, the thresholds and the own gate.
func writeWhereRoute(w io.Writer, x kqmesh.Where) {
	r := x.Route
	notes := []string{fmt.Sprintf("class %s", r.Class), fmt.Sprintf("rank %d", r.Rank), "timeout " + r.Timeout.Value().String(), fmt.Sprintf("attempts %d", r.MaxAttempts)}
	if r.RunOnce {
		notes = append(notes, "runs once")
	}
	if r.NeedsKey {
		notes = append(notes, "needs a key")
	}
	_, _ = fmt.Fprintf(w, "route %s to service %s: %s\n", r.Name, r.Service, strings.Join(notes, ", "))
	if len(r.Parts) > 1 {
		var parts []string
		for _, p := range r.Parts {
			parts = append(parts, fmt.Sprintf("%s %d", p.Service, p.Weight))
		}
		_, _ = fmt.Fprintf(w, "services by weight: %s\n", strings.Join(parts, ", "))
	}
	if x.Quota != nil {
		writeWhereQuota(w, *x.Quota)
	}
	if x.Share != nil {
		writeWhereShare(w, *x.Share)
	}
	if g := x.Gate; g != nil {
		limit := ""
		if g.ServerLimit != nil {
			limit = fmt.Sprintf(", names a limit of %g/s", *g.ServerLimit)
		}
		_, _ = fmt.Fprintf(w, "own gate: server %s%s, %d running %d waiting of %d%s\n", g.ServerState, limit, g.InFlight, g.Waiting, g.Limit, prefixed(", refuses: ", string(g.Refuses)))
	}
	_, _ = fmt.Fprintf(w, "servers drawn by capacity: %s; calls handed back by full gates: %s\n", yesNo(x.EvenRouting), yesNo(x.HandBack))
}

func yesNo(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}

func writeWhereQuota(w io.Writer, q kqmesh.WhereQuota) {
	if q.Rate <= 0 {
		_, _ = fmt.Fprintln(w, "quota: none")
		return
	}
	verdict := "admits the next request"
	if !q.Admitted {
		verdict = fmt.Sprintf("refuses the next request, Retry-After %.3f", seconds(q.RetryAfter))
	}
	_, _ = fmt.Fprintf(w, "quota of %g/s, burst %g: %s", q.Rate, q.Burst, verdict)
	if q.Age == nil {
		_, _ = fmt.Fprint(w, "; demand not known")
	} else {
		_, _ = fmt.Fprintf(w, "; %.2f of a demand of %.1f/s may be sent, known for %s", q.Fraction, q.Demand, age(q.Age))
	}
	if q.HoldsShare {
		_, _ = fmt.Fprint(w, "; its home does not answer, this node holds its own share")
	}
	_, _ = fmt.Fprintln(w)
}

func writeWhereShare(w io.Writer, s kqmesh.WhereShare) {
	_, _ = fmt.Fprintf(w, "rank and share: %d of %d IDs admitted", s.Admitted, s.Trials)
	if s.RunOnce {
		_, _ = fmt.Fprint(w, ", since only gates refuse what runs once")
	}
	if s.Behind != "" {
		_, _ = fmt.Fprintf(w, ", for %s as reported %s ago", s.Behind, age(s.Age))
	}
	if s.DemandAge != nil {
		_, _ = fmt.Fprintf(w, "; the team sends %.1f/s", s.Demand)
		if s.FairShare > 0 {
			_, _ = fmt.Fprintf(w, " and its fair share is %.1f/s", s.FairShare)
		}
		_, _ = fmt.Fprintf(w, ", known for %s", age(s.DemandAge))
	}
	_, _ = fmt.Fprintln(w)
}

// writeWhereServers writes the table of the servers.
func writeWhereServers(w io.Writer, x kqmesh.Where) error {
	if len(x.Servers) == 0 {
		return nil
	}
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "PICKED\tNODE\tSERVER\tDISTANCE\tOWN\tOTHERS\tLIMIT\tAGE\tUSE\tPACE\tAGE\tSTRETCH\tAGE\tFAULTS\tNOTES")
	for _, s := range x.Servers {
		if s.Distance == "" {
			_, _ = fmt.Fprintf(table, "-\t%s\t%s\t%s\t\t\t\t\t\t\t\t\t\t\t%s\n", s.NodeID, s.ServerID, s.FailureDomain, notes(s))
			continue
		}
		_, _ = fmt.Fprintf(table, "%.2f\t%s\t%s\t%s\t%d\t%d\t%s\t%s\t%.2f\t%.2f\t%s\t%s\t%s\t%.2f\t%s\n", s.Picked, s.NodeID, s.ServerID, s.Distance,
			s.InFlight, s.OthersLoad, stated(s.Limit, ""), age(s.LoadAge), s.Utilization, s.Pace, age(s.PaceAge), stated(s.Stretch, "%"), age(s.StretchAge), s.FailureShare, notes(s))
	}
	if err := table.Flush(); err != nil {
		return errors.Wrap(err, "write answer")
	}
	if x.MoreServers > 0 {
		_, _ = fmt.Fprintf(w, "and %d more\n", x.MoreServers)
	}
	return nil
}

// notes returns why a server was passed over, and what stands out.
func notes(s kqmesh.WhereServer) string {
	var list []string
	if s.Reason != "" {
		list = append(list, "passed over: "+string(s.Reason))
	}
	for _, n := range []struct {
		text  string
		holds bool
	}{{"full", s.Full}, {"hot", s.Hot}, {"slow", s.Slow}, {"warming", s.Warming}} {
		if n.holds {
			list = append(list, n.text)
		}
	}
	if s.Ejected {
		list = append(list, "ejected for "+age(s.EjectedFor))
	}
	if s.ServerLimit != nil {
		list = append(list, fmt.Sprintf("names a limit of %g/s for %s", *s.ServerLimit, age(s.LimitAge)))
	}
	if s.State != "" && s.Distance == "" {
		list = append(list, "server "+string(s.State))
	}
	if len(list) == 0 {
		return "-"
	}
	return strings.Join(list, ", ")
}

// stated returns a figure with its unit, or a dash if it is 0, which stands for one that
// was not stated.
func stated(figure int, unit string) string {
	if figure == 0 {
		return "-"
	}
	return fmt.Sprintf("%d%s", figure, unit)
}

// age returns a duration as text, or a dash if it is absent.
func age(d *kqclass.Duration) string {
	if d == nil {
		return "-"
	}
	return d.Value().Round(time.Millisecond).String()
}

func seconds(d *kqclass.Duration) float64 {
	if d == nil {
		return 0
	}
	return d.Value().Seconds()
}
