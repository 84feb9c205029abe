package kqlink

import (
	"io"
	"time"

	"github.com/cockroachdb/errors"
)

// Timeouts of the failure detector. A silent link is retired after pingAfter,
// suspectAfter and the time of a few handshakes if a replacement works, or after
// maxQuietTime if none does.
const (
	// checkPeriod is the time between two checks of all links.
	checkPeriod = 50 * time.Millisecond
	// pingAfter is how long calls wait without a reply before a ping is sent.
	pingAfter = 150 * time.Millisecond
	// A link is suspected if a ping is not answered within suspectAfter and
	// suspectRoundTrips times the smoothed round trip time of the link.
	suspectAfter      = 200 * time.Millisecond
	suspectRoundTrips = 4
	maxQuietTime      = 1800 * time.Millisecond
	// forgetPeerAfter is how long an unreachable peer is dialed again in the
	// background after a link to it was last needed.
	forgetPeerAfter = 30 * time.Second
)

// isEOF reports whether the error is the regular end of a stream.
func isEOF(err error) bool {
	return errors.Is(err, io.EOF)
}

// monitorLinks checks all links periodically until the dialer is closed.
func (d *Dialer) monitorLinks() {
	ticker := time.NewTicker(checkPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			d.checkLinks(d.now())
		case <-d.closed:
			return
		}
	}
}

// checkLinks removes links that have ended, checks the others, dials unreachable
// peers again, and forgets peers without a link that are not needed.
func (d *Dialer) checkLinks(now time.Time) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	for l := range d.links {
		if l.ended() {
			delete(d.links, l)
			continue
		}
		if l.isReady() {
			d.checkLink(l, now)
		}
	}
	for address, p := range d.peers {
		switch {
		case !p.current.ended():
		case p.failures == 0 || now.Sub(p.wantedAt) > forgetPeerAfter:
			delete(d.peers, address)
		case !p.backingOff(now):
			d.startLink(address, p)
		}
	}
}

// checkLink takes the next step of failure detection for an open link. It also
// closes a link without calls that is no longer the current one of its peer.
func (d *Dialer) checkLink(l *link, now time.Time) {
	p := d.peers[l.address]
	if l.waitingSince.Load() == 0 && l.replacement == nil {
		l.pingedAt = time.Time{}
		if l.outstanding.Load() == 0 && (p == nil || p.current != l) {
			go l.closeWhenReady()
		}
		return
	}
	if !l.pingedAt.IsZero() && l.pingedAt.UnixNano() <= l.lastReplyAt.Load() {
		l.pingedAt = time.Time{}
		d.clearSuspicion(l, p)
	}
	switch {
	case l.pingedAt.IsZero():
		if l.quietTime(now) >= pingAfter {
			l.pingedAt = now
			go l.ping(d.now)
		}
	case now.Sub(l.pingedAt) >= l.pingTimeout():
		d.suspect(l, p, now)
	}
}

// clearSuspicion ends the suspicion of a link on which a reply has arrived. If its
// replacement has ended, the link becomes the current one of its peer again.
func (d *Dialer) clearSuspicion(l *link, p *peer) {
	if l.replacement == nil {
		return
	}
	if p != nil && p.current == l.replacement && l.replacement.ended() {
		p.current = l
		p.failures = 0
	}
	l.replacement, l.comparedAt = nil, time.Time{}
}

// suspect handles a link whose ping was not answered in time. It opens a
// replacement, which new calls use, and then pings both: the first ping may have been
// lost, and the link repeats it only after a pause that grows. It retires the link if the
// replacement answers that and the link does not. If no replacement works, it retires
// the link after maxQuietTime.
func (d *Dialer) suspect(l *link, p *peer, now time.Time) {
	if p == nil {
		return
	}
	r := l.replacement
	if r == nil || (r.ended() && !p.backingOff(now)) {
		if p.current == l || p.current.ended() {
			d.startLink(l.address, p)
		}
		l.replacement, l.comparedAt = p.current, time.Time{}
		return
	}
	if r.isReady() && r.err == nil {
		switch {
		case l.comparedAt.IsZero():
			l.comparedAt = now
			go l.ping(d.now)
			go r.ping(d.now)
		case r.lastReplyAt.Load() >= l.comparedAt.UnixNano() && now.Sub(l.comparedAt) >= l.pingTimeout():
			d.retire(l)
			return
		}
	}
	if l.quietTime(now) >= maxQuietTime {
		d.retire(l)
	}
}

// retire closes a silent link. All calls on it fail with ErrSilent.
func (d *Dialer) retire(l *link) {
	l.silent.Store(true)
	delete(d.links, l)
	go l.closeWhenReady()
}
