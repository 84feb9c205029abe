package kqnode

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"kumquatlink/core/kqhome"
	"kumquatlink/core/kqledger"
	"kumquatlink/core/kqmember"
)

// keyPrefix marks control messages about keys. No CBOR map begins with this byte,
// so other control messages can't be mistaken for them.
var keyPrefix = []byte("K")

// keyTimeout is the time limit of one control message about keys and its reply.
const keyTimeout = 2 * time.Second

// keyMessage is a control message about keys. Exactly one of the pointers is set.
type keyMessage struct {
	Service string
	// Sync requests the receiver's table. It names the sender.
	Sync *kqhome.Node `cbor:",omitempty"`
	// Fence asks the receiver to apply a claim.
	Fence *keyFence `cbor:",omitempty"`
	// Offer hands a bucket over to the receiver.
	Offer *kqhome.Offer `cbor:",omitempty"`
	// Pull requests a part of a bucket's ledger.
	Pull *keyPull `cbor:",omitempty"`
	// Taken informs the former home that its bucket was taken.
	Taken *keyTaken `cbor:",omitempty"`
	// Settle reports how a run of the bucket's former home ended.
	Settle *kqhome.Settlement `cbor:",omitempty"`
}

// keyFence is a claim: its table, and the claimed buckets.
type keyFence struct {
	Table   kqhome.Table
	Buckets []int
}

// keyPull requests part number Part of a bucket's ledger, for the new home that
// holds Token.
type keyPull struct {
	Bucket int
	Part   int
	Token  kqhome.Token
}

// keyTaken names a bucket and the token with which it was taken.
type keyTaken struct {
	Bucket int
	Token  kqhome.Token
}

// keyReply answers a keyMessage.
type keyReply struct {
	// Accepted reports whether the receiver has done what the message asks for.
	Accepted bool
	// Synced and Table answer Sync: whether the receiver is synced, and its table.
	Synced bool
	Table  *kqhome.Table      `cbor:",omitempty"`
	Fence  *kqhome.FenceReply `cbor:",omitempty"`
	// Part answers Pull.
	Part *kqledger.Export `cbor:",omitempty"`
}

// errNotKeyHome reports a message about keys of a service of which this node has
// no home.
var errNotKeyHome = errors.New("node is not a home of keys of the service")

// request sends a message about keys to a node and returns the reply.
func (k *keyManager) request(ctx context.Context, to kqmember.Record, m keyMessage) (keyReply, error) {
	var reply keyReply
	m.Service = k.service
	body, err := cbor.Marshal(m)
	if err != nil {
		return reply, errors.Mark(err, ErrNode)
	}
	ctx, cancel := context.WithTimeout(ctx, keyTimeout)
	defer cancel()
	answer, err := k.node.dialer.SendMessage(ctx, to.Address, append(append([]byte(nil), keyPrefix...), body...))
	if err != nil {
		return reply, errors.Mark(errors.Wrapf(err, "send message about keys to node %s", to.NodeID), ErrNode)
	}
	return reply, errors.Mark(cbor.Unmarshal(answer, &reply), ErrNode)
}

// handleMessage handles a message about keys from a peer, and returns the encoded
// reply.
func (k *keyManager) handleMessage(ctx context.Context, peer string, body []byte) ([]byte, error) {
	var m keyMessage
	if err := cbor.Unmarshal(body, &m); err != nil {
		return nil, errors.Mark(errors.Wrap(err, "decode message about keys"), ErrNode)
	}
	k.mutex.Lock()
	isHome := k.home != nil && k.service == m.Service
	k.mutex.Unlock()
	if !isHome && m.Fence == nil {
		return nil, errors.Mark(errNotKeyHome, ErrNode)
	}
	var reply keyReply
	switch {
	case !isHome:
		// A node without a home can accept any claim: its gate runs no keyed call
		// before the node has synced, and it learns of the claim then.
		reply = keyReply{Accepted: true, Fence: &kqhome.FenceReply{Node: k.self()}}
	case m.Offer != nil:
		reply.Accepted = k.acceptOffer(ctx, peer, *m.Offer)
	default:
		reply = k.applyMessage(peer, m)
	}
	data, err := cbor.Marshal(reply)
	return data, errors.Mark(err, ErrNode)
}

// applyMessage handles a message that needs no request to another node. Sync,
// Pull and Taken are accepted only from the node that they name.
func (k *keyManager) applyMessage(peer string, m keyMessage) keyReply {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	defer k.publish()
	var reply keyReply
	switch {
	case m.Sync != nil && m.Sync.NodeID == peer:
		table, synced := k.home.AnswerSync(*m.Sync)
		reply = keyReply{Accepted: true, Synced: synced, Table: &table}
	case m.Fence != nil:
		f := k.home.Fence(k.now(), m.Fence.Table, m.Fence.Buckets)
		reply = keyReply{Accepted: true, Fence: &f}
	case m.Pull != nil && m.Pull.Token.Holder.NodeID == peer:
		x, ok := k.home.Part(m.Pull.Bucket, m.Pull.Part, m.Pull.Token)
		reply = keyReply{Accepted: ok, Part: &x}
	case m.Taken != nil && m.Taken.Token.Holder.NodeID == peer:
		settlements := k.home.CompleteHandover(m.Taken.Bucket, m.Taken.Token)
		go k.sendSettlements(m.Taken.Token.Holder, settlements)
		reply.Accepted = true
	case m.Settle != nil:
		k.home.Settle(k.now(), *m.Settle)
		reply.Accepted = true
	}
	return reply
}

// acceptOffer takes a bucket that a peer hands over, and reports whether it did. An
// offer that is declined stays declined, so that the peer may resume the bucket.
func (k *keyManager) acceptOffer(ctx context.Context, peer string, o kqhome.Offer) bool {
	k.mutex.Lock()
	if o.Bucket >= 0 && o.Bucket < kqhome.Buckets && k.home.HasTaken(o) {
		k.mutex.Unlock()
		return true
	}
	if k.leaving.Load() && o.Bucket >= 0 && o.Bucket < kqhome.Buckets {
		k.home.Decline(o)
		k.mutex.Unlock()
		return false
	}
	acceptable := o.Table.Service == k.service && o.Bucket >= 0 && o.Bucket < kqhome.Buckets && k.home.EvaluateOffer(o)
	k.mutex.Unlock()
	if !acceptable {
		return false
	}
	x, err := k.fetchLedger(ctx, peer, o.Bucket, o.Parts, o.Token)
	k.mutex.Lock()
	defer k.mutex.Unlock()
	defer k.publish()
	if err != nil {
		// Another copy of the offer may have been taken meanwhile. A bucket that
		// was taken must not be reported as declined.
		k.home.Decline(o)
		return k.home.HasTaken(o)
	}
	return k.home.Take(k.now(), o, x)
}

// fetchLedger reads all parts of a frozen bucket's ledger from its holder.
func (k *keyManager) fetchLedger(ctx context.Context, from string, bucket, parts int, token kqhome.Token) (kqledger.Export, error) {
	var ledger kqledger.Export
	record, found := recordByID(k.node.State(), from)
	if !found {
		return ledger, errors.Mark(errors.Newf("fetch ledger: node %s has no membership record", from), ErrNode)
	}
	for i := range max(1, parts) {
		reply, err := k.request(ctx, record, keyMessage{Pull: &keyPull{Bucket: bucket, Part: i, Token: token}})
		if err != nil {
			return ledger, err
		}
		if !reply.Accepted || reply.Part == nil {
			return ledger, errors.Mark(errors.Newf("node %s does not hand out the ledger of bucket %d", from, bucket), ErrNode)
		}
		ledger.Entries = append(ledger.Entries, reply.Part.Entries...)
		ledger.DoubtLeft = reply.Part.DoubtLeft
	}
	return ledger, nil
}

// sendSettlement reports to the new home of a bucket how a run of the former one
// ended. If that fails, the new home answers with the outcome unknown for the
// key.
func (k *keyManager) sendSettlement(to kqhome.Node, s kqhome.Settlement) {
	record, found := recordOfIncarnation(k.node.State(), to)
	if !found || to.NodeID == k.node.settings.NodeID {
		return
	}
	_, _ = k.request(context.Background(), record, keyMessage{Settle: &s})
}

func (k *keyManager) sendSettlements(to kqhome.Node, settlements []kqhome.Settlement) {
	for _, s := range settlements {
		k.sendSettlement(to, s)
	}
}

// recordByID returns the membership record of a node of any incarnation, and
// whether there is one.
func recordByID(s *State, nodeID string) (kqmember.Record, bool) {
	for _, r := range s.Members.Records {
		if r.NodeID == nodeID {
			return r, true
		}
	}
	return kqmember.Record{}, false
}
