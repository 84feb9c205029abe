package kqcli

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"

	"kumquatlink/core/kqmember"
	"kumquatlink/io/kqnode"
	"kumquatlink/io/kqoperator"
)

type statusCommand struct {
	Node   string `required:"" placeholder:"ADDRESS" help:"Operator address of any node."`
	Output string `enum:"text,json" default:"text" help:"Format of the output: ${enum}."`
}

// Help returns the longer help of the command.
func (statusCommand) Help() string {
	return "Example:\n\n  kumquatlink status --node 127.0.0.1:9000"
}

// Run prints the state of the fleet as one node knows it.
func (k *statusCommand) Run(e *environment) error {
	status, err := kqoperator.Status(e.ctx, k.Node)
	if err != nil {
		return err
	}
	if k.Output == "json" {
		return writeJSON(e.output, status)
	}
	return writeStatus(e.output, status)
}

// writeStatus writes a status as text: the node, its configuration, alarms, and a
// table of the failure domains.
func writeStatus(w io.Writer, s kqnode.Status) error {
	_, _ = fmt.Fprintf(w, "node %s in %s (%s) is %s\n", s.InForce.NodeID, s.InForce.FailureDomain, s.InForce.Region, s.Life)
	_, _ = fmt.Fprintf(w, "configuration: version %d (change %s) in force since %s\n", s.InForce.Version, s.InForce.ChangeID, s.InForce.Since.Format(time.RFC3339))
	_, _ = fmt.Fprintf(w, "refused configurations: %d older, %d rival, %d faulty\n", s.Refusals.Older, s.Refusals.Rival, s.Refusals.Faulty)
	writeAlarms(w, s)
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "FAILURE DOMAIN\tREGION\tNODES\tLIVES\tSERVICES\tWATCHERS")
	for _, d := range domainsOf(s.Members) {
		_, _ = fmt.Fprintf(table, "%s\t%s\t%d\t%s\t%d\t%s\n", d.name, d.region, d.nodes, countsText(d.lifeStates), len(d.services), strings.Join(s.Watchers[d.name], ","))
	}
	return errors.Wrap(table.Flush(), "write status")
}

// writeAlarms writes a line for each condition that an operator should act on, with
// the page that describes it.
func writeAlarms(w io.Writer, s kqnode.Status) {
	if s.Store.Behind {
		_, _ = fmt.Fprintf(w, "ALARM StoreBehind: the store holds version %d, older than is in force (docs/operators/store.md)\n", s.Store.Version)
	}
	if s.Refusals.Faulty > 0 {
		_, _ = fmt.Fprintf(w, "ALARM ConfigurationFaulty: %s (docs/operators/store.md)\n", s.Refusals.LastFault)
	}
	for _, v := range s.Gate.Targets {
		if !v.Met {
			_, _ = fmt.Fprintf(w, "ALARM TargetMissed: class %s at this gate: %s (docs/operators/classes.md)\n", v.Name, v.Reason)
		}
	}
	writeFleetAlarms(w, s)
	if s.LogDropped > 0 {
		_, _ = fmt.Fprintf(w, "ALARM LogDropped: %d log lines were lost (docs/operators/logs.md)\n", s.LogDropped)
	}
}

// expiryAlarm is the time before the expiry of a certificate at which its alarm
// begins.
const expiryAlarm = 3 * 24 * time.Hour

// writeFleetAlarms writes the alarms about membership, failure domains and the
// certificate of the node.
func writeFleetAlarms(w io.Writer, s kqnode.Status) {
	if s.Fleet.Superseded {
		_, _ = fmt.Fprintln(w, "ALARM Superseded: another node of this name has started (docs/operators/replace-hosts.md)")
	}
	if !s.Fleet.Confirmed {
		_, _ = fmt.Fprintln(w, "ALARM NotConfirmed: no other node answers, so this one takes no work (docs/operators/fleet.md)")
	}
	if len(s.Fleet.Suspected) > 0 {
		_, _ = fmt.Fprintf(w, "ALARM Suspected: %d nodes do not answer, such as %s (docs/operators/fleet.md)\n", len(s.Fleet.Suspected), s.Fleet.Suspected[0])
	}
	alive := map[string]bool{}
	for _, m := range s.Members {
		alive[m.FailureDomain] = true
	}
	for _, d := range slices.Sorted(maps.Keys(s.Fleet.Dead)) {
		if !alive[d] {
			_, _ = fmt.Fprintf(w, "ALARM FailureDomainLost: all %d nodes of %s are dead or cut off (docs/operators/region-split.md)\n", s.Fleet.Dead[d], d)
		}
	}
	if left := time.Until(s.Fleet.CertificateExpires); left < expiryAlarm {
		_, _ = fmt.Fprintf(w, "ALARM CertificateEnds: in %s (docs/operators/certificates.md)\n", left.Round(time.Minute))
	}
}

// domainSummary counts the nodes of a failure domain.
type domainSummary struct {
	name   string
	region string
	nodes  int
	// lifeStates holds the number of nodes by their life state.
	lifeStates map[string]int
	// services holds the number of nodes by their service.
	services map[string]int
}

// domainsOf returns a summary of each failure domain, sorted by name.
func domainsOf(members []kqmember.Record) []*domainSummary {
	byName := map[string]*domainSummary{}
	var domains []*domainSummary
	for _, m := range members {
		d := byName[m.FailureDomain]
		if d == nil {
			d = &domainSummary{name: m.FailureDomain, region: m.Region, lifeStates: map[string]int{}, services: map[string]int{}}
			byName[m.FailureDomain] = d
			domains = append(domains, d)
		}
		d.nodes++
		d.lifeStates[string(m.Life)]++
		if m.Service != "" {
			d.services[m.Service]++
		}
	}
	slices.SortFunc(domains, func(a, b *domainSummary) int { return strings.Compare(a.name, b.name) })
	return domains
}

// countsText returns counts as text, such as "2 Joining, 30 Serving".
func countsText(counts map[string]int) string {
	var parts []string
	for name, count := range counts {
		parts = append(parts, fmt.Sprintf("%d %s", count, name))
	}
	slices.Sort(parts)
	return strings.Join(parts, ", ")
}
