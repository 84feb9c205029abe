package kqmesh

import (
	"golang.org/x/sys/unix"

	"kumquatlink/io/kqlog"
)

// callerShare is the part of the process's descriptors that connections of callers
// may use. The rest is kept for backend servers, peers, the store and readiness, so
// that callers can't cut the node off from them.
const callerShare = 0.75

// maxCallerConnections returns how many connections of callers the node keeps, or 0
// if the process has no limit on descriptors.
func maxCallerConnections() int {
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil || limit.Cur == unix.RLIM_INFINITY {
		return 0
	}
	return int(callerShare * float64(limit.Cur))
}

// acceptObserver returns a function that logs that the listener for some clients
// accepts no connections, or does again.
func (n *Node) acceptObserver(clients string) func(err error) {
	return func(err error) {
		if err != nil {
			n.logEvent(eventAcceptFailed, "no connection of "+clients+" can be accepted for the moment", err, kqlog.Text(fieldSource, clients))
			return
		}
		n.logEvent(eventAcceptBack, "connections of "+clients+" are accepted again", nil, kqlog.Text(fieldSource, clients))
	}
}
