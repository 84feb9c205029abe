package kqmesh

import (
	"context"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"kumquatlink/core/kqserver"
	"kumquatlink/io/kqedge"
	"kumquatlink/io/kqhttp"
	"kumquatlink/io/kqlog"
)

// Limits of the requests that the backend server and the platform send to the
// node.
const (
	maxNoticeBytes = 64 << 10
	noticeIdleTime = time.Minute
)

// Limits of the health probe of the backend server at the node's start.
const (
	healthTimeout  = time.Second
	healthAttempts = 2
)

// noticeLimits returns the limits of the notice and ready addresses.
func noticeLimits() kqedge.Limits {
	return kqedge.Limits{BodyBytes: maxNoticeBytes, IdleTime: noticeIdleTime}
}

// handleNotice handles a notice that the backend server sends about its own
// state. A success is sent after the notice is in force, so that a server which
// got one to its notice of draining gets no further calls, and after something
// outside this process keeps it.
func (n *Node) handleNotice(ctx context.Context, e *kqedge.Exchange) {
	notice, found, err := n.dialect.ReadNotice(string(e.Request.Header.Method()), string(e.Request.Header.RequestURI()), e.Request.Body())
	if !found {
		e.Response.SetStatusCode(fasthttp.StatusNotFound)
		return
	}
	if err != nil {
		n.logEvent(eventNoticeUnreadable, "notice of the backend server can't be decoded: answered with 400", err)
		e.Response.SetStatusCode(fasthttp.StatusBadRequest)
		return
	}
	if notice.State != kqserver.Gone && !n.isOwnServer(notice) {
		n.logEvent(eventNoticeForeign, "notice of server "+notice.ServerID+" of "+notice.Service+" at "+notice.Address+" is refused: it is not from the backend server on this host", nil,
			kqlog.Text(fieldServer, notice.ServerID), kqlog.Text(fieldService, notice.Service), kqlog.Text(fieldAddress, notice.Address))
		e.Response.SetStatusCode(fasthttp.StatusBadRequest)
		return
	}
	verdict := n.ApplyNotice(notice)
	if verdict == kqserver.Late && notice.State != kqserver.Ready && notice.ServerID == n.State().Server.ServerID {
		// Calls still name a server of that ID, so it may get some.
		e.Response.SetStatusCode(fasthttp.StatusConflict)
		return
	}
	if n.isDepartureOfOwn(notice) && !n.awaitDepartureKept(ctx) {
		e.Response.SetStatusCode(fasthttp.StatusServiceUnavailable)
		return
	}
	e.Response.Header.SetContentType("application/json")
	e.Response.SetBodyRaw(n.dialect.Acknowledgement)
}

// isDepartureOfOwn reports whether the notice says that the server leaves which
// calls name, and the node has taken it.
func (n *Node) isDepartureOfOwn(notice kqserver.Notice) bool {
	s := n.State()
	return notice.State != kqserver.Ready && notice.ServerID == s.Server.ServerID && s.ServerState != kqserver.Ready
}

// ApplyNotice applies a notice of the backend server and returns whether it was
// taken, and if not, why. The gate acts on it before ApplyNotice returns. After
// the node has ended the verdict is [kqserver.Over].
func (n *Node) ApplyNotice(notice kqserver.Notice) kqserver.Verdict {
	verdict := make(chan kqserver.Verdict, 1)
	n.control.send(&noticeEvent{notice: notice, result: verdict})
	select {
	case v := <-verdict:
		if notice.State != kqserver.Ready {
			n.gate.startDrain()
		}
		return v
	case <-n.control.stopped:
		return kqserver.Over
	}
}

// isOwnServer reports whether the notice is from the backend server on this
// node's host.
func (n *Node) isOwnServer(notice kqserver.Notice) bool {
	return notice.ServerID != "" && notice.Service == n.settings.Service && notice.Address == n.settings.BackendAddress
}

// probeServer probes the health of the backend server when the node starts and
// the server may have been running before, so that the node need not wait for
// the next notice. A server that drains does not answer that it is healthy.
func (n *Node) probeServer(ctx context.Context) {
	if n.settings.FirstStart || n.WaitFor(ctx, func(s *State) bool { return s.Recalled }) != nil {
		return
	}
	for range healthAttempts {
		routes := n.State().Routes
		for routes == nil && ctx.Err() == nil && n.State().ServerState == kqserver.Unknown {
			select {
			case <-n.control.changed():
			case <-ctx.Done():
			}
			routes = n.State().Routes
		}
		if ctx.Err() != nil || n.State().ServerState != kqserver.Unknown {
			return
		}
		service, found := routes.Service(n.settings.Service)
		if found && n.probeHealth(ctx, service.HealthPath) {
			return
		}
		sleep(ctx, healthTimeout)
	}
}

// probeHealth sends one health probe. It returns true if the server is healthy
// or has sent a notice in the meantime, so that no further probe is needed.
func (n *Node) probeHealth(ctx context.Context, path string) bool {
	ctx, cancel := context.WithTimeout(ctx, healthTimeout)
	defer cancel()
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI(path)
	request.Header.SetHost(n.settings.BackendAddress)
	pool := kqhttp.NewPool(n.settings.BackendAddress)
	defer pool.Close()
	if err := pool.Do(ctx, request, response); err != nil {
		n.logEvent(eventHealthNotTold, "health probe of the backend server failed", err)
		return false
	}
	id := string(response.Header.Peek(n.dialect.Headers.ServerID))
	if response.StatusCode() != fasthttp.StatusOK || id == "" {
		n.logEvent(eventServerUnhealthy, "backend server is not healthy: status "+strconv.Itoa(response.StatusCode()), nil, kqlog.Number("Status", int64(response.StatusCode())))
		return false
	}
	if n.State().ServerState != kqserver.Unknown {
		return true
	}
	v := n.ApplyNotice(kqserver.Notice{
		ServerID: id, Service: n.settings.Service, Address: n.settings.BackendAddress, State: kqserver.Ready,
		Slots: statedSlots(string(response.Header.Peek(n.dialect.Headers.Load))),
	})
	n.logEvent(eventServerHealthy, "server "+id+" is healthy, verdict on a notice that says so: "+string(v), nil, kqlog.Text(fieldServer, id), kqlog.Text(fieldVerdict, string(v)))
	return true
}

// handleReady answers whether callers may be sent to this node: 200, or 503
// while it lacks routes or the list of nodes, or is draining.
func (n *Node) handleReady(_ context.Context, e *kqedge.Exchange) {
	if string(e.Request.Header.RequestURI()) != n.dialect.ReadyPath {
		e.Response.SetStatusCode(fasthttp.StatusNotFound)
		return
	}
	s := n.State()
	ready := s.Routes != nil && s.HostsKnown && !s.Leaving
	if n.readiness.Swap(ready) != ready {
		n.logEvent(eventReadiness, "node is ready: "+strconv.FormatBool(ready), nil, kqlog.Text(fieldState, strconv.FormatBool(ready)))
	}
	if !ready {
		e.Response.SetStatusCode(fasthttp.StatusServiceUnavailable)
	}
}
