// Package kqwatch decides which nodes of a failure domain watch the store. A
// few of them do, and tell the others over links that are open anyway, so that
// the calls of the store grow with the failure domains and not with the nodes.
//
// # Usage
//
// A node keeps one [Watch], tells it of the nodes of its failure domain and of
// every piece of news that another watcher sent, and asks it again now and then:
//
//	watch := kqwatch.New(now, "orders-1")
//	watch.SetCandidates(now, names)
//	watch.RecordUpdate(now, "orders-2")
//	if watch.Advance(now) { ... } // watch the store and tell the others
//
// Nobody is elected. All nodes have the same order of the names of a failure
// domain, and each one watches while fewer than [WatchersPerDomain] of those before it
// tell news. A watcher that has lost the store sends no news, so that one which
// is killed, frozen, cut off or turned away by the store is replaced by the
// next after [UpdateTimeout]. Nodes that disagree about who is there only have more
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

// Times and numbers of watching.
const (
	// WatchersPerDomain is how many nodes of a failure domain watch the store, so that
	// the loss of one is not felt.
	WatchersPerDomain = 2
	// UpdatePeriod is how often a watcher sends news when nothing has changed.
	UpdatePeriod = 400 * time.Millisecond
	// UpdateTimeout is how long a watcher may send nothing: it has to leave time
	// for another node to read the store before a change must be in force.
	UpdateTimeout = 3 * UpdatePeriod
	// StartupGrace is how long after its start a node does not count on its view
	// of its failure domain. It has just read the store by then.
	StartupGrace = 2500 * time.Millisecond
	// settleTime is how long a node that starts goes on not to count on its view
	// after that has changed, up to startTimeMost in all.
	settleTime    = 1500 * time.Millisecond
	startTimeMost = 2 * StartupGrace
	// StepDownDelay is how long enough others must have told news before a node
	// ceases to watch.
	StepDownDelay = 2 * time.Second
	// takeoverTime is how long the first node after the watchers waits before it
	// takes over, and stagger how much longer each further one waits, so that
	// the news of a new watcher arrives before. Nodes that started together did
	// so within startSpread.
	takeoverTime = 300 * time.Millisecond
	stagger      = 100 * time.Millisecond
	startSpread  = 500 * time.Millisecond
	// standbys is how many nodes after the watchers take over as soon as that.
	// If none of them reaches the store, it is probably down for all, and the
	// others wait for crowdTime before they call it as well.
	standbys  = 4
	crowdTime = 3 * time.Second
)

// Watch is one node's part in watching the store.
type Watch struct {
	own string
	// before is how many nodes of the failure domain come before the own one.
	before int
	// heard is when each node before the own one last told news.
	heard map[string]time.Duration
	// told is whether enough of them tell, and since the time of the change.
	told  bool
	since time.Duration
	// begun is when the node started, and starts until when it does not count
	// on its view.
	begun    time.Duration
	starts   time.Duration
	watching bool
}

// New makes the part of a node that starts now and has read the store once.
func New(now time.Duration, own string) *Watch {
	return &Watch{own: own, heard: map[string]time.Duration{}, begun: now, starts: now + StartupGrace, since: now + StartupGrace}
}

// SetCandidates takes the names of the nodes that can watch for the failure domain.
func (w *Watch) SetCandidates(now time.Duration, names []string) {
	before := 0
	for _, n := range names {
		if kqseed.CompareByHash(n, w.own) < 0 {
			before++
		}
	}
	if before != w.before && now < w.starts {
		w.starts = max(w.starts, min(now+settleTime, w.begun+startTimeMost))
		w.since = max(w.since, w.starts)
	}
	w.before = before
}

// RecordUpdate notes news that a node of the failure domain sent. Those of nodes behind
// the own one don't keep it from watching.
func (w *Watch) RecordUpdate(now time.Duration, from string) {
	if kqseed.CompareByHash(from, w.own) < 0 {
		w.heard[from] = now
	}
}

// Advance says whether the node is to watch the store from now on.
func (w *Watch) Advance(now time.Duration) bool {
	maps.DeleteFunc(w.heard, func(_ string, at time.Duration) bool { return now-at >= UpdateTimeout })
	if told := len(w.heard) >= WatchersPerDomain; told != w.told {
		w.told, w.since = told, max(now, w.starts)
	}
	switch {
	case now < w.starts:
	case w.told && now-w.since >= StepDownDelay:
		w.watching = false
	case !w.told && now-w.since >= w.delay():
		w.watching = true
	}
	return w.watching
}

// Starting is whether the node is to look for the others by itself, since it
// may not know yet who watches.
func (w *Watch) Starting(now time.Duration) bool {
	return now < w.starts && !w.told
}

// delay is how long the node leaves it to those before it to take over.
func (w *Watch) delay() time.Duration {
	if w.before < WatchersPerDomain {
		return 0
	}
	d := takeoverTime + stagger*time.Duration(w.before-WatchersPerDomain)
	if w.since == w.starts {
		d += startSpread
	}
	if w.before >= WatchersPerDomain+standbys {
		d += crowdTime
	}
	return d
}
