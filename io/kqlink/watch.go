package kqlink

import (
	"io"
	"time"

	"github.com/cockroachdb/errors"
)

// Times of the watch over links. A link that has gone silent is retired by
// pingAfter + suspectAfter + some handshakes when a new one works, and by
// silenceBound when none does.
const (
	watchPeriod = 50 * time.Millisecond
	// pingAfter is how long a link with calls on it may be quiet.
	pingAfter = 150 * time.Millisecond
	// suspectAfter is how long a ping may take, beside some round trips.
	suspectAfter = 200 * time.Millisecond
	suspectTrips = 4
	silenceBound = 1800 * time.Millisecond
	// forgetPeerTime is how long a peer that can't be reached is tried again
	// after the last call that wanted it.
	forgetPeerTime = 30 * time.Second
)

func isEnd(err error) bool {
	return errors.Is(err, io.EOF)
}

// watch looks after all links until the dialer is closed.
func (d *Dialer) watch() {
	ticker := time.NewTicker(watchPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			d.look(d.now())
		case <-d.closed:
			return
		}
	}
}

func (d *Dialer) look(now time.Time) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	for l := range d.links {
		if l.over() {
			delete(d.links, l)
			continue
		}
		if l.isReady() {
			d.lookAt(l, now)
		}
	}
	for address, p := range d.peers {
		switch {
		case !p.current.over():
		case p.failures == 0 || now.Sub(p.wantedAt) > forgetPeerTime:
			delete(d.peers, address)
		case !p.resting(now):
			d.begin(address, p)
		}
	}
}

// lookAt takes the next step with a link that stands.
func (d *Dialer) lookAt(l *link, now time.Time) {
	p := d.peers[l.address]
	if l.waitingSince.Load() == 0 && l.replacement == nil {
		l.pingAt = time.Time{}
		if l.outstanding.Load() == 0 && (p == nil || p.current != l) {
			go l.closeWhenReady()
		}
		return
	}
	if !l.pingAt.IsZero() && l.pingAt.UnixNano() <= l.progressAt.Load() {
		l.pingAt = time.Time{}
		d.trust(l, p)
	}
	switch {
	case l.pingAt.IsZero():
		if l.quiet(now) >= pingAfter {
			l.pingAt = now
			go l.ping(d.now)
		}
	case now.Sub(l.pingAt) >= suspectAfter+suspectTrips*l.conn.ConnectionStats().SmoothedRTT:
		d.suspect(l, p, now)
	}
}

// trust lets a link that was suspected take calls again, unless the one that
// was opened in its place stands.
func (d *Dialer) trust(l *link, p *peer) {
	if l.replacement == nil {
		return
	}
	if p != nil && p.current == l.replacement && l.replacement.over() {
		p.current = l
		p.failures = 0
	}
	l.replacement = nil
}

// suspect keeps new calls off a link whose ping has no reply, and opens
// another one. The old one is retired as soon as the new one has passed bytes
// both ways while the old one still has not.
func (d *Dialer) suspect(l *link, p *peer, now time.Time) {
	if p == nil {
		return
	}
	r := l.replacement
	if r == nil || (r.over() && !p.resting(now)) {
		if p.current == l || p.current.over() {
			d.begin(l.address, p)
		}
		l.replacement = p.current
		return
	}
	if r.isReady() && r.err == nil {
		if r.progressAt.Load() != 0 {
			d.retire(l)
			return
		}
		if r.pingAt.IsZero() {
			r.pingAt = now
			go r.ping(d.now)
		}
	}
	if l.quiet(now) >= silenceBound {
		d.retire(l)
	}
}

// retire ends a silent link for all calls on it.
func (d *Dialer) retire(l *link) {
	l.silent.Store(true)
	delete(d.links, l)
	go l.closeWhenReady()
}
