package kqmesh

import (
	"context"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"kumquatlink/core/kqbackoff"
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

// healthTimeout bounds a health probe of the backend server after the node's start.
const healthTimeout = time.Second

// confirmBackoff bounds the pauses between the probes of a server that sends nothing,
// until notices of it would confirm themselves.
var confirmBackoff = kqbackoff.Pause{First: 250 * time.Millisecond, Max: 2 * time.Second}

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

// probeServer asks the backend server of a node that was started again whether it is
// ready, until it says so or its notices show it: at the start, since the server may have
// been running before, and after each notice that is held back. Notices may be late,
// but a server that drains does not answer that it is healthy.
func (n *Node) probeServer(ctx context.Context) {
	if n.settings.FirstStart || n.WaitFor(ctx, func(s *State) bool { return s.Recalled && s.Routes != nil }) != nil {
		return
	}
	for probes := 0; ; probes++ {
		// Nothing is to be asked of a server that leaves, by what the former process knew.
		if probes > 0 || n.State().ServerState != kqserver.Unknown {
			n.awaitProbe(ctx, probes)
		}
		if ctx.Err() != nil || n.State().Confirmed {
			return
		}
		if service, found := n.State().Routes.Service(n.settings.Service); found && service.HealthPath != "" {
			n.probeHealth(ctx, service.HealthPath)
		}
	}
}

// awaitProbe waits until the server is to be probed after that many probes.
func (n *Node) awaitProbe(ctx context.Context, probes int) {
	if n.State().Confirmed {
		return
	}
	var pause <-chan time.Time
	if n.clock() < kqserver.LateNoticeTime && n.State().ServerState == kqserver.Unknown {
		pause = time.After(confirmBackoff.After(probes, n.randomFraction()))
	}
	select {
	case <-pause:
	case <-n.control.noticeHeld:
	case <-ctx.Done():
	}
}

// probeHealth sends one health probe. A healthy answer confirms that the server is ready.
func (n *Node) probeHealth(ctx context.Context, path string) {
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
		return
	}
	notice := kqserver.Notice{
		ServerID: string(response.Header.Peek(n.dialect.Headers.ServerID)), Service: n.settings.Service, Address: n.settings.BackendAddress, State: kqserver.Ready,
		Slots: statedSlots(string(response.Header.Peek(n.dialect.Headers.Load))),
	}
	if said, err := n.parseStatement(&response.Header); err == nil && said.Leaving && notice.ServerID != "" {
		notice.State = kqserver.Draining
		n.logEvent(eventServerLeaves, "server "+notice.ServerID+" leaves, says its answer to a health probe: "+string(n.ApplyNotice(notice)), nil, kqlog.Text(fieldServer, notice.ServerID))
		return
	}
	if response.StatusCode() != fasthttp.StatusOK || notice.ServerID == "" {
		n.logEvent(eventServerUnhealthy, "backend server is not healthy: status "+strconv.Itoa(response.StatusCode()), nil, kqlog.Number("Status", int64(response.StatusCode())))
		return
	}
	e := &confirmedEvent{healthy: notice, result: make(chan kqserver.Verdict, 1)}
	n.control.send(e)
	select {
	case v := <-e.result:
		n.logEvent(eventServerHealthy, "server "+notice.ServerID+" is healthy, verdict on a notice that says so: "+string(v), nil, kqlog.Text(fieldServer, notice.ServerID), kqlog.Text(fieldVerdict, string(v)))
	case <-n.control.stopped:
	}
}

// confirmedEvent is the event that the backend server has answered that it is healthy.
// The notices of that server that were held back are applied, or one with what the answer
// says if there are none. The last verdict is sent on result after the resulting state was
// published.
type confirmedEvent struct {
	healthy kqserver.Notice
	verdict kqserver.Verdict
	result  chan kqserver.Verdict
}

func (e *confirmedEvent) finish() { e.result <- e.verdict }

func (e *confirmedEvent) apply(c *control) bool {
	notices := c.confirmation.Give(e.healthy.ServerID)
	if len(notices) == 0 && c.state.ServerState == kqserver.Unknown {
		notices = append(notices, e.healthy)
	}
	for _, notice := range notices {
		held := &noticeEvent{notice: notice}
		held.apply(c)
		e.verdict = held.verdict
	}
	c.state.Confirmed = true
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
