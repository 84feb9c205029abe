package kqmesh

import (
	"time"

	"github.com/valyala/fasthttp"

	"kumquatlink/core/kqserver"
	"kumquatlink/io/kqlog"
)

// parseStatement decodes what an answer of a backend server says about the
// server.
func (n *Node) parseStatement(h *fasthttp.ResponseHeader) (kqserver.Statement, error) {
	return kqserver.ParseStatement(string(h.Peek(n.dialect.Headers.RateLimit)), string(h.Peek(n.dialect.Headers.Leaving)))
}

// observeStatement applies what an answer of the backend server says about the
// server, before the answer is passed on. An answer whose statement can't be
// decoded changes nothing.
func (g *gate) observeStatement(h *fasthttp.ResponseHeader, server kqserver.Notice) {
	said, err := g.node.parseStatement(h)
	g.mutex.Lock()
	if !sameStart(g.saidBy, server) {
		// The answer is of a former start.
		g.mutex.Unlock()
		return
	}
	former, wasUnreadable := g.said, g.unreadable
	g.unreadable = err != nil
	if err == nil {
		g.said = said
		g.applyLimit(said, former)
	}
	g.heard = true
	g.setSlots(g.node.clock(), server.Slots)
	g.mutex.Unlock()
	if err != nil {
		if !wasUnreadable {
			g.node.logEvent(eventStatementUnreadable, "statement of server "+server.ServerID+" is ignored", err, kqlog.Text(fieldServer, server.ServerID))
		}
		return
	}
	if said.Limited != former.Limited || said.Limit != former.Limit {
		g.node.logEvent(eventServerLimit, "server "+server.ServerID+" names the limit "+said.FormatLimit()+" in requests a second, before: "+former.FormatLimit(), nil,
			kqlog.Text(fieldServer, server.ServerID), kqlog.Text("Limit", said.FormatLimit()), kqlog.Text("FormerLimit", former.FormatLimit()))
	}
	if current := g.node.State(); said.Leaving && current.ServerState == kqserver.Ready && sameStart(current.Server, server) {
		server.State = kqserver.Draining
		verdict := g.node.ApplyNotice(server)
		g.node.logEvent(eventServerLeaves, "server "+server.ServerID+" leaves, says its answer: "+string(verdict), nil,
			kqlog.Text(fieldServer, server.ServerID), kqlog.Text(fieldVerdict, string(verdict)))
	}
}

// sameStart reports whether two notices may be of the same start of a server. A
// health probe does not tell when the server started.
func sameStart(a, b kqserver.Notice) bool {
	return a.ServerID == b.ServerID && (a.Born == b.Born || a.Born == 0 || b.Born == 0)
}

// forgetFormer drops what a former start of the backend server has said. The
// mutex is held.
func (g *gate) forgetFormer(now time.Duration, server kqserver.Notice) {
	if sameStart(g.saidBy, server) {
		g.saidBy.Born = max(g.saidBy.Born, server.Born)
		return
	}
	g.saidBy, g.said = server, kqserver.Statement{}
	g.deliver(g.queue.RemoveRate(now))
}

// applyLimit lets no more calls begin each second than the server's answer says.
// The mutex is held.
func (g *gate) applyLimit(said, former kqserver.Statement) {
	now := g.node.clock()
	switch {
	case said.Limited && (!former.Limited || said.Limit != former.Limit):
		g.deliver(g.queue.SetRate(now, said.Limit))
	case !said.Limited && former.Limited:
		g.deliver(g.queue.RemoveRate(now))
	}
}

// namedLimit returns the limit that the backend server names, in requests a
// second, or -1 if it names none.
func (g *gate) namedLimit() float64 {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if !g.said.Limited {
		return -1
	}
	return g.said.Limit
}
