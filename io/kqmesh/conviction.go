package kqmesh

import (
	"context"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"

	"kumquatlink/core/kqbackoff"
	"kumquatlink/core/kqsuspect"
	"kumquatlink/io/kqlog"
	"kumquatlink/io/kqstore"
)

// Settings of convictions in the store, from which nodes learn of them that are all
// started at once.
const (
	// convictionAttempts is how often a call of the store is tried. With the pauses
	// between them that outlasts a short outage.
	convictionAttempts = 12
	// convictionKeepTime is how long a conviction is kept in the store.
	convictionKeepTime = 24 * time.Hour
)

// convictionBackoff bounds the pauses between two attempts to write or list
// convictions.
var convictionBackoff = kqbackoff.Pause{First: 300 * time.Millisecond, Max: 3 * time.Second}

// convictionRecord is a conviction in the store. The name of its object is the
// fingerprint, in hexadecimal digits.
type convictionRecord struct {
	// ConvictedAt is the time of the conviction in Unix milliseconds.
	ConvictedAt int64
	// ServerID is the last backend server that has crashed.
	ServerID string
}

// retryStore makes a call of the store until it does not fail as unavailable, at most
// convictionAttempts times.
func (n *Node) retryStore(ctx context.Context, call func() error) error {
	var err error
	for failures := 1; failures <= convictionAttempts && ctx.Err() == nil; failures++ {
		if err = call(); !kqstore.IsUnavailable(err) {
			return err
		}
		sleep(ctx, convictionBackoff.After(failures, n.randomFraction()))
	}
	return errors.CombineErrors(err, ctx.Err())
}

// storeConvictions writes convictions to the store in the background.
func (k *suspects) storeConvictions(convicted []kqsuspect.Fingerprint, serverID string) {
	n := k.node
	for _, f := range convicted {
		name := hex.EncodeToString(f[:])
		value, err := json.Marshal(convictionRecord{ConvictedAt: n.now().UnixMilli(), ServerID: serverID})
		if err == nil {
			err = n.pool.Submit(func() {
				err := n.retryStore(n.ctx, func() error {
					_, err := n.store.Put(n.ctx, kqstore.KindConvictions, kqstore.Object{Name: name, Value: value})
					return err
				})
				if err != nil && !errors.Is(err, kqstore.ErrConflict) {
					n.logEvent(eventConvictionNotStored, "conviction of the request with fingerprint "+name+" is not in the store", err, kqlog.Text(fieldFingerprint, name))
				}
			})
		}
		if err != nil {
			n.logEvent(eventConvictionNotStored, "conviction of the request with fingerprint "+name+" can't be written", err, kqlog.Text(fieldFingerprint, name))
		}
	}
}

// readConvictions reads the convictions of the store when a node starts again, and
// removes those that are older than convictionKeepTime.
func (n *Node) readConvictions(ctx context.Context) {
	if n.settings.FirstStart {
		return
	}
	var objects []kqstore.Object
	err := n.retryStore(ctx, func() error {
		listCtx, cancel := context.WithTimeout(kqstore.AllowStale(ctx), listTimeout)
		defer cancel()
		var err error
		objects, _, err = n.store.List(listCtx, kqstore.KindConvictions)
		return err
	})
	if err != nil {
		n.logEvent(eventConvictionsNotRead, "convictions in the store can't be read", err)
		return
	}
	var records []kqsuspect.Record
	for _, o := range objects {
		f, c, err := decodeConviction(o)
		if err == nil && n.now().Sub(time.UnixMilli(c.ConvictedAt)) < convictionKeepTime {
			records = append(records, kqsuspect.Record{Fingerprint: f, Crashes: kqsuspect.ConvictingCrashes})
			continue
		}
		n.logEvent(eventConvictionRemoved, "conviction "+o.Name+" in the store is too old, or can't be read: it is removed", err, kqlog.Text(fieldFingerprint, o.Name))
		err = n.store.Delete(ctx, kqstore.KindConvictions, o)
		if err != nil && !errors.Is(err, kqstore.ErrNotFound) && !errors.Is(err, kqstore.ErrConflict) {
			n.logEvent(eventConvictionNotStored, "conviction "+o.Name+" is not removed from the store", err, kqlog.Text(fieldFingerprint, o.Name))
		}
	}
	n.gate.suspects.receive("the store", suspectReport{Records: records})
	n.logEvent(eventSuspectsFetched, fmt.Sprintf("records of convicted requests are known: %d of them from the store", len(records)), nil, kqlog.Number("Records", int64(len(records))))
}

// decodeConviction decodes a conviction in the store.
func decodeConviction(o kqstore.Object) (kqsuspect.Fingerprint, convictionRecord, error) {
	var f kqsuspect.Fingerprint
	var c convictionRecord
	text, err := hex.DecodeString(o.Name)
	if err == nil && len(text) != len(f) {
		err = errors.Newf("name of %d bytes, want %d", len(text), len(f))
	}
	if err == nil {
		err = json.Unmarshal(o.Value, &c)
	}
	copy(f[:], text)
	return f, c, errors.Mark(errors.Wrap(err, "decode conviction"), ErrNode)
}
