package kqnode

import (
	"context"
	"time"

	"github.com/rs/zerolog"
)

// Times of the certificates.
const (
	// refreshPeriod is how often the files of the certificates are read again.
	refreshPeriod = 30 * time.Second
	// expiryNotice is how long before its certificate ends a node warns of it.
	expiryNotice = 3 * 24 * time.Hour
	// refusalPeriod is the time between two lines about refused peers.
	refusalPeriod = time.Second
)

// runTrust follows the files of the certificates.
func (n *Node) runTrust(ctx context.Context) {
	ticker := time.NewTicker(refreshPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			n.refreshIdentity()
		case <-ctx.Done():
			return
		}
	}
}

func (n *Node) refreshIdentity() {
	changed, err := n.identity.Refresh()
	if err != nil {
		n.log.Event(zerolog.ErrorLevel, "certificate was not replaced", err)
	}
	if changed {
		n.log.Event(zerolog.InfoLevel, "certificate was replaced", nil)
	}
	if left := n.identity.Expires().Sub(n.now()); left < expiryNotice {
		n.log.Event(zerolog.WarnLevel, "certificate ends in "+left.Round(time.Minute).String(), nil)
	}
}

// tellRefusal logs a peer that is outside the fleet's authority. Further ones
// within the period are left out, so that a stranger can't fill the log.
func (n *Node) tellRefusal(address string, err error) {
	now := n.now().UnixNano()
	last := n.refusedAt.Load()
	if now-last < int64(refusalPeriod) || !n.refusedAt.CompareAndSwap(last, now) {
		return
	}
	n.log.Event(zerolog.WarnLevel, "peer at "+address+" was refused: it is outside the fleet's authority", err)
}

// expects is whether the node of that name may answer at the address: if the
// view holds records with the address, one of them must be of that node.
func (n *Node) expects(address, peer string) bool {
	known := false
	for _, r := range n.State().Members.Records {
		if r.Address != address {
			continue
		}
		if r.NodeID == peer {
			return true
		}
		known = true
	}
	return !known
}
