package kqserver

import (
	"slices"
	"time"
)

// LateNoticeTime is how late a notice may arrive. A notice that a node receives later than
// that after its start was made after it.
const LateNoticeTime = 8 * time.Second

// maxHeldNotices bounds the notices that are held back.
const maxHeldNotices = 8

// Confirmation decides when a node that was started again believes notices that its
// backend server is ready. The first one may be late, made before the server announced
// to the former process that it leaves, and what that process knew may be lost with the
// nodes that kept it. So ready notices are held back until the server confirms, by an
// answer of its own, that it is ready, or until it has gone on to send them for longer
// than a notice may be late. The zero value holds notices back. A Confirmation is not
// safe for concurrent use.
type Confirmation struct {
	isGiven bool
	held    []Notice
}

// IsGiven reports whether ready notices are believed.
func (c *Confirmation) IsGiven() bool {
	return c.isGiven
}

// Give has notices believed from now on. It returns those of the named server that were
// held back, in their order.
func (c *Confirmation) Give(serverID string) []Notice {
	held := slices.DeleteFunc(c.held, func(n Notice) bool { return n.ServerID != serverID })
	c.isGiven, c.held = true, nil
	return held
}

// Hold holds a ready notice back that was received that long after the start of the node,
// and returns true, unless notices are believed. mayGive reports whether the notice
// itself may be what the confirmation is given for.
func (c *Confirmation) Hold(age time.Duration, n Notice, mayGive bool) bool {
	if c.isGiven {
		return false
	}
	if mayGive && age > LateNoticeTime && c.continues(n) {
		c.Give(n.ServerID)
		return false
	}
	c.held = append(c.held[max(0, len(c.held)-maxHeldNotices+1):], n)
	return true
}

// continues reports whether the notice follows one of the same start that is held back.
func (c *Confirmation) continues(n Notice) bool {
	return slices.ContainsFunc(c.held, func(h Notice) bool {
		return h.ServerID == n.ServerID && h.Born == n.Born && (h.Sequence < n.Sequence || n.Sequence == 0)
	})
}
