package kqmesh

import (
	"context"
	"encoding/json"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"kumquatlink/core/kqmember"
	"kumquatlink/core/kqserver"
	"kumquatlink/core/kqsuspect"
	"kumquatlink/io/kqstore"
)

// TestServerThatLeavesIsUsedAfterARestartWithoutTheStore gives a node that has not
// read the store the list of a peer, with the record of its own former process.
func TestServerThatLeavesIsUsedAfterARestartWithoutTheStore(t *testing.T) {
	settings := Settings{NodeID: "orders-1", Service: "orders", BackendAddress: "10.0.0.1:80"}
	n, err := New(settings, NativeDialect(), &kqstore.Client{})
	if err != nil {
		t.Fatal(err)
	}
	former := HostRecord{NodeID: "orders-1", Incarnation: 1, Address: "10.0.0.1:90", Service: "orders", ServerID: "i-1", ServerState: kqserver.Draining, Born: 7, Life: kqmember.LifeDraining}
	peerHostsEvent{hosts: []HostRecord{former}, from: "10.0.0.2:90"}.apply(n.control)
	late := &noticeEvent{notice: kqserver.Notice{ServerID: "i-1", Service: "orders", Address: "10.0.0.1:80", State: kqserver.Ready, Born: 7, Sequence: 4}}
	late.apply(n.control)
	if got := n.control.state.ServerState; got != kqserver.Draining {
		t.Errorf("server after a late notice that it is ready: got %s, want Draining as in the peer's list", got)
	}
}

// TestProcessNumbersItselfAfterItsSuccessor has a process read the record of the one
// that replaces it. Both would write their records in turn if it took a later number.
func TestProcessNumbersItselfAfterItsSuccessor(t *testing.T) {
	n, err := New(Settings{NodeID: "orders-1", Service: "orders"}, NativeDialect(), &kqstore.Client{})
	if err != nil {
		t.Fatal(err)
	}
	own := n.incarnation.Load()
	successor := HostRecord{NodeID: "orders-1", Incarnation: own + 5, Address: "10.0.0.1:90", Service: "orders"}
	formerRecordEvent{former: successor}.apply(n.control)
	if n.incarnation.Load() != own {
		t.Errorf("number of a process that has written its record: got %d, want %d still", n.incarnation.Load(), own)
	}
	formerRecordEvent{former: successor, isFirst: true}.apply(n.control)
	if n.incarnation.Load() <= successor.Incarnation {
		t.Errorf("number of a process that starts: got %d, want one after %d", n.incarnation.Load(), successor.Incarnation)
	}
}

// TestWriteWithoutAnswerHasTheNumberOfTheNextOne loses the answer to a write. If the next
// record had the same number, a restore of the store to the former one would pass as
// no change.
func TestWriteWithoutAnswerHasTheNumberOfTheNextOne(t *testing.T) {
	n, err := New(Settings{NodeID: "orders-1", Service: "orders"}, NativeDialect(), &kqstore.Client{})
	if err != nil {
		t.Fatal(err)
	}
	var made []HostRecord
	lost := errors.Mark(errors.New("answer lost by the test"), kqstore.ErrUnavailable)
	n.store = &kqstore.Client{Put: func(_ context.Context, _ string, o kqstore.Object) (kqstore.Object, error) {
		var record HostRecord
		if err := json.Unmarshal(o.Value, &record); err != nil {
			t.Fatal(err)
		}
		made = append(made, record)
		return o, lost
	}}
	w := &recordWriter{}
	for _, life := range []kqmember.Life{kqmember.LifeGone, kqmember.LifeServing} {
		if err := n.writeRecord(t.Context(), w, HostRecord{NodeID: "orders-1", Life: life, Address: "10.0.0.1:90"}); !errors.Is(err, lost) {
			t.Fatalf("write of %s: got %v, want the answer lost", life, err)
		}
	}
	if made[0].replaces(made[1]) {
		t.Errorf("records %+v and %+v: the former replaces the latter, want it older", made[0], made[1])
	}
}

// TestGatesDisagreeOnAConviction has gates that heard of the second crash before and after
// the run of the third one began. Each must refuse the request after the third.
func TestGatesDisagreeOnAConviction(t *testing.T) {
	n, err := New(Settings{NodeID: "orders-1", Service: "orders"}, NativeDialect(), &kqstore.Client{})
	if err != nil {
		t.Fatal(err)
	}
	k, deadly := n.gate.suspects, kqsuspect.FingerprintOf([]byte("deadly"))
	run := []kqsuspect.Run{{Fingerprint: deadly, Repeat: true}}
	k.receive("a peer", suspectReport{Runs: run})
	k.receive("a peer", suspectReport{Runs: run})
	answer := k.receive("a peer", suspectReport{Runs: run})
	if len(answer.Records) != 1 || answer.Records[0].Crashes != kqsuspect.ConvictingCrashes {
		t.Errorf("answer to the report of the third crash: got %+v, want the conviction", answer.Records)
	}
	late, err := New(Settings{NodeID: "orders-2", Service: "orders"}, NativeDialect(), &kqstore.Client{})
	if err != nil {
		t.Fatal(err)
	}
	k = late.gate.suspects
	k.receive("a peer", suspectReport{Runs: run})
	k.receive("a peer", suspectReport{Runs: run})
	k.receive("a peer", suspectReport{Runs: []kqsuspect.Run{{Fingerprint: deadly, Ran: time.Hour}}, Records: convictionsOf([]kqsuspect.Fingerprint{deadly})})
	if got := k.table.Judge(late.clock(), deadly).Verdict; got != kqsuspect.Convicted {
		t.Errorf("verdict of a gate that does not count the third crash: got %s, want Convicted", got)
	}
}
