// Package kqwatch decides which nodes of a failure domain watch the store. A
// few nodes watch it and send updates to the others over links that are open
// anyway, so that the number of calls to the store grows with the number of
// failure domains and not with that of nodes.
//
// # Usage
//
// A node keeps one [Watch], passes it the names of the nodes of its failure
// domain and each update from another watcher, and calls Advance periodically:
//
//	watch := kqwatch.New(now, "orders-1")
//	watch.SetCandidates(now, names)
//	watch.RecordUpdate(now, "orders-2")
//	if watch.Advance(now) { ... } // watch the store and send updates
//
// There is no election. All nodes derive the same order of the names of a
// failure domain, and a node watches while fewer than [WatchersPerDomain] of
// the nodes that precede it send updates. A watcher that cannot reach the store
// sends no updates. So the next node replaces a watcher that was killed, is
// frozen, is cut off or is refused by the store, [UpdateTimeout] after its last
// update, or as soon as it says that it has lost the store. If nodes disagree about which nodes exist, there are only more
// watchers than needed.
//
// Times are durations on the node's own clock. A Watch is not safe for
// concurrent use.
package kqwatch

import (
	"maps"
	"time"

	"kumquatlink/core/kqseed"
)

// Times and counts of the protocol.
const (
	// WatchersPerDomain is how many nodes of a failure domain watch the store,
	// so that the loss of one has no effect.
	WatchersPerDomain = 2
	// UpdatePeriod is how often a watcher sends an update when nothing has
	// changed.
	UpdatePeriod = 400 * time.Millisecond
	// UpdateTimeout is the time without an update after which a watcher no
	// longer counts. It leaves time for another node to read the store before a
	// change must be in force.
	UpdateTimeout = 3 * UpdatePeriod
	// StartupGrace is how long after its start a node does not rely on its view
	// of its failure domain. Until then it does not begin to watch the store,
	// which it has just read.
	StartupGrace = 2500 * time.Millisecond
	// graceExtension is how long a starting node goes on not to rely on its
	// view after that has changed, up to maxStartupGrace in all.
	graceExtension  = 1500 * time.Millisecond
	maxStartupGrace = 2 * StartupGrace
	// StepDownDelay is how long enough other watchers must have sent updates
	// before a node stops watching.
	StepDownDelay = 2 * time.Second
	// firstTakeoverDelay is how long the first node after the watchers in the
	// order waits before it takes over, and takeoverStagger how much longer
	// each further one waits, so that the update of a new watcher arrives
	// before the next node takes over. startSkew is added right after the
	// startup grace: nodes that are started together start within that time.
	firstTakeoverDelay = 300 * time.Millisecond
	takeoverStagger    = 100 * time.Millisecond
	startSkew          = 500 * time.Millisecond
	// standbyCount is how many nodes after the watchers take over that soon. If
	// none of them reaches the store, it is probably down for all, and the
	// other nodes wait for lateTakeoverDelay before they call it as well.
	standbyCount      = 4
	lateTakeoverDelay = 3 * time.Second
)

// Watch decides whether one node watches the store.
type Watch struct {
	own string
	// preceding is how many nodes of the failure domain precede the own one in
	// the order.
	preceding int
	// updatedAt is when each preceding node last sent an update.
	updatedAt map[string]time.Duration
	// covered reports whether enough preceding nodes send updates.
	// coveredChangedAt is when that last changed, or the end of the startup
	// grace if that is later.
	covered          bool
	coveredChangedAt time.Duration
	// startedAt is when the node started. Until graceUntil it does not rely on
	// its view.
	startedAt  time.Duration
	graceUntil time.Duration
	watching   bool
}

// New returns the Watch of a node of that name which starts now and has read
// the store once.
func New(now time.Duration, own string) *Watch {
	return &Watch{own: own, updatedAt: map[string]time.Duration{}, startedAt: now, graceUntil: now + StartupGrace, coveredChangedAt: now + StartupGrace}
}

// SetCandidates sets the names of the nodes that can watch the store for the
// failure domain.
func (w *Watch) SetCandidates(now time.Duration, names []string) {
	preceding := 0
	for _, n := range names {
		if kqseed.CompareByHash(n, w.own) < 0 {
			preceding++
		}
	}
	if preceding != w.preceding && now < w.graceUntil {
		w.graceUntil = max(w.graceUntil, min(now+graceExtension, w.startedAt+maxStartupGrace))
		w.coveredChangedAt = max(w.coveredChangedAt, w.graceUntil)
	}
	w.preceding = preceding
}

// RecordUpdate records an update from a watcher of the failure domain. A node
// that comes after the own one in the order is ignored, since it does not keep
// this node from watching.
func (w *Watch) RecordUpdate(now time.Duration, from string) {
	if kqseed.CompareByHash(from, w.own) < 0 {
		w.updatedAt[from] = now
	}
}

// RecordEnd records that a node no longer watches the store, so that it is replaced
// without waiting for [UpdateTimeout].
func (w *Watch) RecordEnd(from string) {
	delete(w.updatedAt, from)
}

// Advance advances the time to now and reports whether the node is to watch the
// store.
func (w *Watch) Advance(now time.Duration) bool {
	maps.DeleteFunc(w.updatedAt, func(_ string, at time.Duration) bool { return now-at >= UpdateTimeout })
	if covered := len(w.updatedAt) >= WatchersPerDomain; covered != w.covered {
		w.covered, w.coveredChangedAt = covered, max(now, w.graceUntil)
	}
	switch {
	case now < w.graceUntil:
	case w.covered && now-w.coveredChangedAt >= StepDownDelay:
		w.watching = false
	case !w.covered && now-w.coveredChangedAt >= w.takeoverDelay():
		w.watching = true
	}
	return w.watching
}

// Starting reports whether the node has to look for the other nodes itself,
// since it may not know the watchers yet.
func (w *Watch) Starting(now time.Duration) bool {
	return now < w.graceUntil && !w.covered
}

// takeoverDelay returns how long the node leaves the takeover to the nodes that
// precede it.
func (w *Watch) takeoverDelay() time.Duration {
	if w.preceding < WatchersPerDomain {
		return 0
	}
	d := firstTakeoverDelay + takeoverStagger*time.Duration(w.preceding-WatchersPerDomain)
	if w.coveredChangedAt == w.graceUntil {
		d += startSkew
	}
	if w.preceding >= WatchersPerDomain+standbyCount {
		d += lateTakeoverDelay
	}
	return d
}
