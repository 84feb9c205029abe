package kqmesh

import (
	"testing"

	"kumquatlink/core/kqmember"
	"kumquatlink/core/kqserver"
	"kumquatlink/io/kqstore"
)

// restoredControl returns the control state of node orders-1, which watches a store that
// was restored from a copy. The list of nodes after that has the records of orders-1 and
// orders-2 at version 2/40, from before their servers began to drain, which the node did
// not know yet. The draining record of a node is returned as well.
func restoredControl(t *testing.T) (c *control, draining func(name string) HostRecord) {
	t.Helper()
	n, err := New(Settings{NodeID: "orders-1", FailureDomain: "a", Service: "orders"}, NativeDialect(), &kqstore.Client{})
	if err != nil {
		t.Fatal(err)
	}
	record := func(name string) HostRecord {
		return HostRecord{NodeID: name, Incarnation: n.incarnation.Load(), Change: 1, Address: "10.0.0.1:90", FailureDomain: "a", Service: "orders", ServerState: kqserver.Ready, Life: kqmember.LifeServing}
	}
	c = n.control
	c.state.Watching, c.state.Starting = true, false
	for _, era := range []int64{1, 2} {
		all := map[string]storedRecord{}
		for _, name := range []string{"orders-1", "orders-2"} {
			all[name] = storedRecord{HostRecord: record(name), version: kqstore.FormatVersion(era, "40")}
		}
		hostsEvent{all: all, version: kqstore.FormatVersion(era, "40")}.apply(c)
	}
	return c, func(name string) HostRecord {
		h := record(name)
		h.Change, h.ServerState, h.Life = 2, kqserver.Draining, kqmember.LifeDraining
		return h
	}
}

// checkBehind checks that the node has to replace the record of that name in the store,
// at the version that the store reported last.
func checkBehind(t *testing.T, c *control, name string) {
	t.Helper()
	if version, found := c.state.Behind[name]; !found || version != "2/40" {
		t.Errorf("record of %s in the store: got version %q to replace, found %t, want 2/40", name, version, found)
	}
}

// TestAnswerToAWriteFromBeforeARestoreHidesTheLoss processes the answer to the node's own
// write after the first list of the restored store.
func TestAnswerToAWriteFromBeforeARestoreHidesTheLoss(t *testing.T) {
	c, draining := restoredControl(t)
	hostEvent{name: "orders-1", record: storedRecord{HostRecord: draining("orders-1"), version: "1/55"}}.apply(c)
	checkBehind(t, c, "orders-1")
}

// TestUpdateFromBeforeARestoreHidesTheLoss merges the update of another watcher, which
// got the record before the restore, after the first list of the restored store.
func TestUpdateFromBeforeARestoreHidesTheLoss(t *testing.T) {
	c, draining := restoredControl(t)
	updateEvent{update: storeUpdate{NodeID: "orders-3", Hosts: []HostRecord{draining("orders-2")}}, reply: func([]byte) {}}.apply(c)
	checkBehind(t, c, "orders-2")
}

// TestPeersListHidesALoss gets a peer's list of nodes while the watch of the routes is
// not open again.
func TestPeersListHidesALoss(t *testing.T) {
	c, draining := restoredControl(t)
	e := peerHostsEvent{hosts: []HostRecord{draining("orders-1"), draining("orders-2")}, from: "10.0.0.3:90"}
	e.apply(c)
	checkBehind(t, c, "orders-2")
	e.apply(c)
	checkBehind(t, c, "orders-2")
}

// TestListAfterALearnedChangeHidesTheLoss lists the same old record again after the node
// learned of a newer one.
func TestListAfterALearnedChangeHidesTheLoss(t *testing.T) {
	c, draining := restoredControl(t)
	updateEvent{update: storeUpdate{NodeID: "orders-3", Hosts: []HostRecord{draining("orders-2")}}, reply: func([]byte) {}}.apply(c)
	all := map[string]storedRecord{}
	for name, h := range c.state.Hosts {
		h.Change = 1
		all[name] = storedRecord{HostRecord: h, version: "2/40"}
	}
	hostsEvent{all: all, version: "2/40"}.apply(c)
	checkBehind(t, c, "orders-2")
}
