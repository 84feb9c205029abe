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

// keyPrefix marks control messages about keys. No CBOR map begins with it.
var keyPrefix = []byte("K")

// keyTimeout bounds one control message about keys.
const keyTimeout = 2 * time.Second

// keyMessage is one control message about keys; one of its parts is set.
type keyMessage struct {
	Service string
	Sync    *kqhome.Node  `cbor:",omitempty"`
	Fence   *keyFence     `cbor:",omitempty"`
	Offer   *kqhome.Offer `cbor:",omitempty"`
	Pull    *keyPull      `cbor:",omitempty"`
	// Taken tells the former home that its bucket was taken.
	Taken  *keyTaken          `cbor:",omitempty"`
	Settle *kqhome.Settlement `cbor:",omitempty"`
}

type keyFence struct {
	Table   kqhome.Table
	Buckets []int
}

type keyPull struct {
	Bucket int
	Part   int
	Token  kqhome.Token
}

type keyTaken struct {
	Bucket int
	Token  kqhome.Token
}

// keyReply answers a keyMessage.
type keyReply struct {
	// Accepted is whether the message was acted upon.
	Accepted bool
	Synced   bool
	Table    *kqhome.Table      `cbor:",omitempty"`
	Fence    *kqhome.FenceReply `cbor:",omitempty"`
	Part     *kqledger.Export   `cbor:",omitempty"`
}

// errNoHome answers messages about keys of a service that is not this node's.
var errNoHome = errors.New("node keeps no keys of the service")

// ask sends a message about keys to a node.
func (k *keyManager) ask(ctx context.Context, to kqmember.Record, m keyMessage) (keyReply, error) {
	var reply keyReply
	m.Service = k.service
	body, err := cbor.Marshal(m)
	if err != nil {
		return reply, errors.Mark(err, ErrNode)
	}
	ctx, cancel := context.WithTimeout(ctx, keyTimeout)
	defer cancel()
	answer, err := k.node.dialer.Message(ctx, to.Address, append(append([]byte(nil), keyPrefix...), body...))
	if err != nil {
		return reply, errors.Mark(errors.Wrapf(err, "ask %s about keys", to.NodeID), ErrNode)
	}
	return reply, errors.Mark(cbor.Unmarshal(answer, &reply), ErrNode)
}

// handleMessage acts on a peer's message about keys.
func (k *keyManager) handleMessage(ctx context.Context, peer string, body []byte) ([]byte, error) {
	var m keyMessage
	if err := cbor.Unmarshal(body, &m); err != nil {
		return nil, errors.Mark(errors.Wrap(err, "read message about keys"), ErrNode)
	}
	k.mutex.Lock()
	ours := k.home != nil && k.service == m.Service
	k.mutex.Unlock()
	if !ours && m.Fence == nil {
		return nil, errors.Mark(errNoHome, ErrNode)
	}
	var reply keyReply
	switch {
	case !ours:
		// A node without memory runs no keyed call before it has synced, and
		// learns of the claim then.
		reply = keyReply{Accepted: true, Fence: &kqhome.FenceReply{Node: k.self()}}
	case m.Offer != nil:
		reply.Accepted = k.takeOffer(ctx, peer, *m.Offer)
	default:
		reply = k.react(peer, m)
	}
	data, err := cbor.Marshal(reply)
	return data, errors.Mark(err, ErrNode)
}

// react acts on a message that needs nothing from other nodes.
func (k *keyManager) react(peer string, m keyMessage) keyReply {
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
		rest := k.home.CompleteHandover(m.Taken.Bucket, m.Taken.Token)
		go k.settleAll(m.Taken.Token.Holder, rest)
		reply.Accepted = true
	case m.Settle != nil:
		k.home.Settle(k.now(), *m.Settle)
		reply.Accepted = true
	}
	return reply
}

// takeOffer takes a bucket that a peer hands over. What it does not take, it
// refuses for good, so that the peer may go on.
func (k *keyManager) takeOffer(ctx context.Context, peer string, o kqhome.Offer) bool {
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
	willing := o.Table.Service == k.service && o.Bucket >= 0 && o.Bucket < kqhome.Buckets && k.home.EvaluateOffer(o)
	k.mutex.Unlock()
	if !willing {
		return false
	}
	x, err := k.pull(ctx, peer, o.Bucket, o.Parts, o.Token)
	k.mutex.Lock()
	defer k.mutex.Unlock()
	defer k.publish()
	if err != nil {
		// Another copy of the offer may have been taken meanwhile, and what is
		// taken is never refused.
		k.home.Decline(o)
		return k.home.HasTaken(o)
	}
	return k.home.Take(k.now(), o, x)
}

// pull reads the parts of a stopped ledger from the node that holds it.
func (k *keyManager) pull(ctx context.Context, from string, bucket, parts int, token kqhome.Token) (kqledger.Export, error) {
	var whole kqledger.Export
	record, found := recordByID(k.node.State(), from)
	if !found {
		return whole, errors.Mark(errors.Newf("node %s is not known", from), ErrNode)
	}
	for i := range max(1, parts) {
		reply, err := k.ask(ctx, record, keyMessage{Pull: &keyPull{Bucket: bucket, Part: i, Token: token}})
		if err != nil {
			return whole, err
		}
		if !reply.Accepted || reply.Part == nil {
			return whole, errors.Mark(errors.Newf("node %s gives no ledger of bucket %d", from, bucket), ErrNode)
		}
		whole.Entries = append(whole.Entries, reply.Part.Entries...)
		whole.DoubtLeft = reply.Part.DoubtLeft
	}
	return whole, nil
}

// settle tells the new home of a bucket how a run of the former one ended. If
// that fails, the new home answers "unknown" for the key.
func (k *keyManager) settle(to kqhome.Node, s kqhome.Settlement) {
	record, found := recordOfIncarnation(k.node.State(), to)
	if !found || to.NodeID == k.node.settings.NodeID {
		return
	}
	_, _ = k.ask(context.Background(), record, keyMessage{Settle: &s})
}

func (k *keyManager) settleAll(to kqhome.Node, rest []kqhome.Settlement) {
	for _, s := range rest {
		k.settle(to, s)
	}
}

// recordByID gives the record of a node, whatever its incarnation.
func recordByID(s *State, nodeID string) (kqmember.Record, bool) {
	for _, r := range s.Members.Records {
		if r.NodeID == nodeID {
			return r, true
		}
	}
	return kqmember.Record{}, false
}
