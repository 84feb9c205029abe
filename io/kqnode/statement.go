package kqnode

import (
	"fmt"

	"github.com/rs/zerolog"
	"github.com/valyala/fasthttp"

	"kumquatlink/core/kqserver"
	"kumquatlink/io/kqwire"
)

// unheardSlots is the concurrency limit of a gate until its backend server has
// answered: the server may have named a limit to a former process of the node.
const unheardSlots = 3

// observeStatement applies what an answer of the backend server says about the
// server, before the answer is passed on. An answer whose statement can't be
// decoded changes nothing.
func (g *gate) observeStatement(h *fasthttp.ResponseHeader, b *Backend) {
	said, err := kqserver.ParseStatement(string(h.Peek(kqwire.HeaderRateLimit)), string(h.Peek(kqwire.HeaderLeaving)))
	if err != nil {
		g.node.log.Event(zerolog.WarnLevel, "statement of the backend server at "+b.Announcement.Address+" is ignored", err)
	}
	g.mutex.Lock()
	if g.address != b.Announcement.Address {
		g.mutex.Unlock()
		return
	}
	former := g.said
	if err == nil {
		g.said = said
	}
	g.heard = true
	now := g.clock()
	if g.said.Limited {
		g.deliver(g.queue.SetRate(now, g.said.Limit))
	} else if former.Limited {
		g.deliver(g.queue.RemoveRate(now))
	}
	g.deliver(g.queue.SetLimit(now, g.slots()))
	g.mutex.Unlock()
	if err != nil || said == former {
		return
	}
	g.node.log.Event(zerolog.InfoLevel, fmt.Sprintf("backend server at %s states in its answer: %s; before: %s", b.Announcement.Address, said, former), nil)
	if said.Leaving && !former.Leaving {
		leaving := b.Announcement
		leaving.State = kqwire.StateLeaving
		g.node.control.send(announcementEvent{backend: &Backend{Announcement: leaving}})
	}
}

// slots returns how many calls the backend server may run at once. The mutex is
// held.
func (g *gate) slots() int {
	if !g.heard {
		return min(g.limit.Value(), unheardSlots)
	}
	return g.limit.Value()
}
