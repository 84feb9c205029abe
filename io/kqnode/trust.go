package kqnode

import (
	"context"
	"time"

	"github.com/rs/zerolog"
)

// Periods of certificate handling.
const (
	// refreshPeriod is how often the certificate files are read again.
	refreshPeriod = 30 * time.Second
	// expiryNotice is how long before the expiry of its certificate a node
	// starts to log warnings.
	expiryNotice = 3 * 24 * time.Hour
	// refusalPeriod is the least time between two log lines about refused peers.
	refusalPeriod = time.Second
)

// runTrust reads the certificate files periodically until ctx ends.
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

// refreshIdentity reads the certificate files, logs a replacement or a failure,
// and warns if the certificate expires soon.
func (n *Node) refreshIdentity() {
	changed, err := n.identity.Refresh()
	if err != nil {
		n.log.Event(zerolog.ErrorLevel, "certificate files can't be used, keeping the previous certificate", err)
	}
	if changed {
		n.log.Event(zerolog.InfoLevel, "certificate was replaced by a newer one", nil)
	}
	if left := n.identity.Expires().Sub(n.now()); left < expiryNotice {
		n.log.Event(zerolog.WarnLevel, "certificate of this node expires in "+left.Round(time.Minute).String(), nil)
	}
}

// logRefusal logs a peer whose certificate is not signed by the fleet's
// authority. It logs at most one such peer per refusalPeriod, so that repeated
// connection attempts can't fill the log.
func (n *Node) logRefusal(address string, err error) {
	now := n.now().UnixNano()
	last := n.refusalLoggedAt.Load()
	if now-last < int64(refusalPeriod) || !n.refusalLoggedAt.CompareAndSwap(last, now) {
		return
	}
	n.log.Event(zerolog.WarnLevel, "peer at "+address+" was refused: its certificate is not of the fleet's authority", err)
}

// acceptsPeer reports whether the node with the ID peer may answer at the
// address. If the membership has records with the address, one of them must
// belong to that node; an address without a record accepts any node.
func (n *Node) acceptsPeer(address, peer string) bool {
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
