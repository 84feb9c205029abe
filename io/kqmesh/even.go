package kqmesh

import (
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"kumquatlink/core/kqcall"
	"kumquatlink/core/kqroute"
	"kumquatlink/io/kqlog"
	"kumquatlink/io/kqmetric"
)

// Positions of the figures in a load header.
const (
	figureSlots   = 2
	figureStretch = 3
)

// evenRouting holds whether this entry routes by expected delay and free capacity.
// It does once a backend server has stated how long work takes on its host: such
// servers share their hosts with others, and so differ in speed.
type evenRouting struct {
	on atomic.Bool
}

// observeLoad records what the answer of a backend server states about the time
// that work takes there.
func (n *Node) observeLoad(u *kqroute.Upstream, o *callAnswer) {
	if o.head.End.Outcome != kqcall.OutcomeRan {
		return
	}
	for _, f := range o.head.Headers {
		if !strings.EqualFold(f.Name, n.dialect.Headers.Load) {
			continue
		}
		stretch := statedStretch(f.Value)
		if stretch == 0 {
			return
		}
		u.RecordStretch(n.now(), stretch)
		if !n.even.on.Load() && !n.even.on.Swap(true) {
			n.logEvent(eventEvenRouting, "calls are routed evenly: server "+o.head.ServerID+" of "+u.Record.Service+" states how long work takes there", nil,
				kqlog.Text(fieldServer, o.head.ServerID), kqlog.Text(fieldService, u.Record.Service))
		}
		return
	}
}

// formatSight returns what the entry knows of the upstream, for the log, or an empty
// text if calls are not routed evenly.
func (n *Node) formatSight(u *kqroute.Upstream, now time.Time) string {
	if !n.even.on.Load() {
		return ""
	}
	return u.Sight(now).String()
}

// setSpread sets the gauges of the upstreams' utilizations.
func (n *Node) setSpread(service string, t *kqroute.Table) {
	if !n.even.on.Load() {
		return
	}
	least, mean, most := t.Spread(n.now())
	n.metrics.Set(kqmetric.UpstreamUse, least, service, "least")
	n.metrics.Set(kqmetric.UpstreamUse, mean, service, "mean")
	n.metrics.Set(kqmetric.UpstreamUse, most, service, "most")
}

// mayHandBack reports whether gates may hand back calls that are routed by the table.
// While upstreams are failing, the others are to queue and refuse calls as they must:
// a call that they hand back would end at a failing one.
func (n *Node) mayHandBack(t *kqroute.Table, now time.Time) bool {
	return n.even.on.Load() && len(t.Upstreams()) > 1 && !t.AnyFailing(now)
}

// maxHandBacks is the number of gates that may hand one request back because they
// have no free slot.
const maxHandBacks = 2

// handBacks holds which gates have handed a call back, and have not got it again.
type handBacks struct {
	gates [maxHandBacks]*kqroute.Upstream
	count int
}

// choose returns the upstream of the next try, given the one that was picked or nil,
// and reports whether its gate may hand the call back. When none was picked the call
// is sent once more to each gate that handed it back and may still get it, and waits
// there.
func (h *handBacks) choose(table *kqroute.Table, info kqroute.PickInfo, picked *kqroute.Upstream, allowed bool) (*kqroute.Upstream, bool) {
	if picked != nil {
		return picked, allowed && h.count < maxHandBacks
	}
	for i, u := range h.gates {
		h.gates[i] = nil
		if u == nil {
			continue
		}
		if again := table.Again(u, info); again != nil {
			return again, false
		}
	}
	return nil, false
}

// record records the answer of the upstream.
func (h *handBacks) record(u *kqroute.Upstream, o *callAnswer) {
	if o.head.End.Cause == kqcall.CauseHandedBack && h.count < maxHandBacks {
		h.gates[h.count] = u
		h.count++
	}
}

// statedSlots returns the number of slots in a load header, or 0 if the header is
// malformed.
func statedSlots(load string) int {
	return loadFigure(load, figureSlots)
}

// statedStretch returns how long work takes at the server, in percent of the usual,
// or 0 if the load header does not state it.
func statedStretch(load string) int {
	return loadFigure(load, figureStretch)
}

// loadFigure returns one of the figures of a load header, or 0 if it is missing or
// malformed. A header has at least three figures; later ones may be added.
func loadFigure(load string, position int) int {
	if strings.Count(load, ",") < figureSlots {
		return 0
	}
	for range position {
		_, rest, found := strings.Cut(load, ",")
		if !found {
			return 0
		}
		load = rest
	}
	text, _, _ := strings.Cut(load, ",")
	figure, err := strconv.Atoi(strings.TrimSpace(text))
	if err != nil || figure < 0 {
		return 0
	}
	return figure
}
