package kqmesh

import (
	"fmt"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"kumquatlink/core/kqcall"
	"kumquatlink/core/kqserver"
	"kumquatlink/io/kqlog"
	"kumquatlink/io/kqmetric"
	"kumquatlink/io/kqtrunk"
)

// crashProbeTimeout bounds the attempt to connect that tells a server that has
// ended from a connection that has. Both ends are on this host.
const crashProbeTimeout = 200 * time.Millisecond

// suspects finds out which calls a backend server ran when it crashed.
type suspects struct {
	node *Node

	mutex sync.Mutex
	// running holds the calls that the backend server runs, or was lost with while
	// that is examined.
	running map[*suspectRun]bool
	// examination is the one under way, or nil. examined is the start of the server
	// that was last found to have crashed.
	examination *examination
	examined    kqserver.Notice
}

// suspectRun is a call that the backend server runs.
type suspectRun struct {
	head   kqtrunk.CallHead
	server kqserver.Notice
	begun  time.Duration
}

// examination finds out whether the backend server has crashed. done is closed at its
// end.
type examination struct {
	done chan struct{}
}

func newSuspects(n *Node) *suspects {
	return &suspects{node: n, running: map[*suspectRun]bool{}}
}

// begin records that a call is handed to the backend server.
func (k *suspects) begin(head kqtrunk.CallHead, server kqserver.Notice) *suspectRun {
	r := &suspectRun{head: head, server: server, begun: k.node.clock()}
	k.mutex.Lock()
	defer k.mutex.Unlock()
	k.running[r] = true
	return r
}

// end records how a call ended that was handed to the backend server.
func (k *suspects) end(r *suspectRun, end kqcall.End) {
	if end.Outcome == kqcall.OutcomeUnknown && end.Cause == kqcall.CauseBackendLost {
		k.examine(r)
	}
	k.mutex.Lock()
	defer k.mutex.Unlock()
	delete(k.running, r)
}

// examine finds out whether the backend server has crashed under a lost call. One
// examination serves all calls that are lost with it.
func (k *suspects) examine(r *suspectRun) {
	k.mutex.Lock()
	if current := k.examination; current != nil {
		k.mutex.Unlock()
		<-current.done
		return
	}
	if k.examined.ServerID == r.server.ServerID && k.examined.Born == r.server.Born {
		// An examination has found the crash meanwhile.
		k.mutex.Unlock()
		return
	}
	e := &examination{done: make(chan struct{})}
	k.examination = e
	k.mutex.Unlock()
	defer close(e.done)
	state := k.node.State()
	crashed := state.ServerState == kqserver.Ready && !state.Leaving && k.hasEnded()
	k.mutex.Lock()
	defer k.mutex.Unlock()
	k.examination = nil
	if !crashed {
		return
	}
	k.examined = r.server
	runs := 0
	for o := range k.running {
		if o.server.ServerID == r.server.ServerID {
			runs++
		}
	}
	k.node.metrics.Count(kqmetric.ServerCrashes)
	k.node.logEvent(eventServerCrashed, fmt.Sprintf("server %s has ended without notice while it ran %d requests", r.server.ServerID, runs), nil,
		kqlog.Text(fieldServer, r.server.ServerID), kqlog.Number("Runs", int64(runs)))
}

// hasEnded reports whether nothing listens at the address of the backend server.
func (k *suspects) hasEnded() bool {
	conn, err := net.DialTimeout("tcp", k.node.settings.BackendAddress, crashProbeTimeout)
	if err == nil {
		_ = conn.Close()
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}
