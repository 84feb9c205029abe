package kqmesh

import (
	"maps"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"kumquatlink/core/kqcall"
	"kumquatlink/core/kqrate"
	"kumquatlink/core/kqroute"
	"kumquatlink/core/kqserver"
	"kumquatlink/io/kqlog"
	"kumquatlink/io/kqtrunk"
)

// leavingMemory is how long the entry remembers that a server leaves. It is longer
// than servers take to end, and bounds for how long a server that starts again
// under its former ID may be passed over.
const leavingMemory = time.Minute

// statedServers holds what backend servers have stated in the answers that this
// entry passed on. The gate beside a server acts on its statements by itself; the
// entry acts on them beside nodes of earlier versions, whose gates don't, and to
// place a call that a limit has kept from one server at others.
type statedServers struct {
	node *Node
	// byNode holds the servers that name a limit or leave, by node ID. The map is
	// never changed, but replaced; it is nil if there are none.
	byNode atomic.Pointer[map[string]*statedServer]
	// mutex guards replacing byNode, and the shares.
	mutex sync.Mutex
}

// statedServer is what one server has stated last.
type statedServer struct {
	serverID string
	said     kqserver.Statement
	saidAt   time.Duration
	share    *kqrate.Share
}

// record records what the server's answer that is passed on states.
func (k *statedServers) record(nodeID string, o *callAnswer) {
	if o.head.End.Outcome != kqcall.OutcomeRan {
		return
	}
	said, err := k.node.statementOf(o.head.Headers)
	known := k.byNode.Load()
	if err != nil || said == (kqserver.Statement{}) && (known == nil || (*known)[nodeID] == nil) {
		return
	}
	k.mutex.Lock()
	defer k.mutex.Unlock()
	servers := map[string]*statedServer{}
	if known = k.byNode.Load(); known != nil {
		servers = maps.Clone(*known)
	}
	former, found := servers[nodeID]
	switch {
	case found && former.serverID == o.head.ServerID && former.said == said && !said.Leaving:
		return
	case said == (kqserver.Statement{}):
		delete(servers, nodeID)
	default:
		s := &statedServer{serverID: o.head.ServerID, said: said, saidAt: k.node.clock(), share: kqrate.NewShare(k.node.randomFraction())}
		if found && former.serverID == o.head.ServerID {
			s.share = former.share
		}
		servers[nodeID] = s
	}
	if !found || former.said != said {
		k.node.logEvent(eventServerStated, "server "+o.head.ServerID+" at "+nodeID+" names the limit "+said.FormatLimit()+" in an answer that was passed on", nil,
			kqlog.Text(fieldServer, o.head.ServerID), kqlog.Text(fieldHost, nodeID), kqlog.Text("Limit", said.FormatLimit()), kqlog.Text("Leaving", strconv.FormatBool(said.Leaving)))
	}
	hosts := k.node.State().Hosts
	maps.DeleteFunc(servers, func(id string, _ *statedServer) bool { _, known := hosts[id]; return !known })
	if len(servers) == 0 {
		k.byNode.Store(nil)
		return
	}
	k.byNode.Store(&servers)
}

// statementOf decodes what the header fields of an answer state.
func (n *Node) statementOf(headers []kqtrunk.Header) (kqserver.Statement, error) {
	limit, leaving := "", ""
	for _, f := range headers {
		switch {
		case strings.EqualFold(f.Name, n.dialect.Headers.RateLimit):
			limit = f.Value
		case strings.EqualFold(f.Name, n.dialect.Headers.Leaving):
			leaving = f.Value
		}
	}
	return kqserver.ParseStatement(limit, leaving)
}

// of returns what the server beside an upstream's node has stated last, or nil.
func (k *statedServers) of(u *kqroute.Upstream) *statedServer {
	servers := k.byNode.Load()
	if servers == nil {
		return nil
	}
	s := (*servers)[u.Record.NodeID]
	if s == nil || k.node.State().Hosts[u.Record.NodeID].ServerID != s.serverID {
		return nil
	}
	return s
}

// isLimited reports whether the server beside the upstream's node names a limit.
func (k *statedServers) isLimited(u *kqroute.Upstream) bool {
	s := k.of(u)
	return s != nil && s.said.Limited
}

// excludes returns why no call may be sent to the upstream now, or an empty text.
func (k *statedServers) excludes(u *kqroute.Upstream) kqroute.Reason {
	s := k.of(u)
	if s == nil {
		return ""
	}
	now := k.node.clock()
	if s.said.Leaving && now-s.saidAt < leavingMemory {
		return reasonServerLeaves
	}
	if !s.said.Limited || k.node.holdsRateLimits(u) {
		return ""
	}
	k.mutex.Lock()
	defer k.mutex.Unlock()
	if !s.share.Ready(now, s.said.Limit, k.node.State().entryCount()) {
		return reasonServerLimit
	}
	return ""
}

// take uses up a turn of the upstream if this entry has to hold its limit. It
// reports whether a call may be sent.
func (k *statedServers) take(u *kqroute.Upstream) bool {
	s := k.of(u)
	if s == nil || !s.said.Limited || k.node.holdsRateLimits(u) {
		return true
	}
	k.mutex.Lock()
	defer k.mutex.Unlock()
	return s.share.Take(k.node.clock(), s.said.Limit, k.node.State().entryCount())
}

// holdsRateLimits reports whether the gate of the upstream's node holds the limit
// that its server names.
func (n *Node) holdsRateLimits(u *kqroute.Upstream) bool {
	return u.Record.NodeID == n.settings.NodeID || n.dialer.HoldsRateLimits(u.Record.Address)
}
