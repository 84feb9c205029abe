package kqmesh

import (
	"context"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"kumquatlink/core/kqserver"
	"kumquatlink/io/kqedge"
	"kumquatlink/io/kqhttp"
	"kumquatlink/io/kqlog"
)

// Bounds of what the backend server and the platform send to the node.
const (
	maxNoticeBytes = 64 << 10
	noticeIdleTime = time.Minute
)

// Times of asking the backend server for its health at the node's start.
const (
	healthTimeout  = time.Second
	healthAttempts = 2
)

func noticeLimits() kqedge.Limits {
	return kqedge.Limits{BodyBytes: maxNoticeBytes, IdleTime: noticeIdleTime}
}

// handleNotice takes what the backend server says of itself. What it says of
// leaving holds before it is answered.
func (n *Node) handleNotice(_ context.Context, e *kqedge.Exchange) {
	notice, found, err := n.dialect.ReadNotice(string(e.Request.Header.Method()), string(e.Request.Header.RequestURI()), e.Request.Body())
	if !found {
		e.Response.SetStatusCode(fasthttp.StatusNotFound)
		return
	}
	if err != nil {
		n.logEvent(eventNoticeUnreadable, "notice can't be read", err)
		e.Response.SetStatusCode(fasthttp.StatusBadRequest)
		return
	}
	if notice.State != kqserver.Gone && !n.isOwnServer(notice) {
		n.logEvent(eventNoticeForeign, "notice of server "+notice.ServerID+" of "+notice.Service+" at "+notice.Address+" is not of the server on this host", nil,
			kqlog.Text(fieldServer, notice.ServerID), kqlog.Text(fieldService, notice.Service), kqlog.Text(fieldAddress, notice.Address))
		e.Response.SetStatusCode(fasthttp.StatusBadRequest)
		return
	}
	n.ApplyNotice(notice)
	e.Response.Header.SetContentType("application/json")
	e.Response.SetBodyRaw(n.dialect.Acknowledgement)
}

// ApplyNotice takes a notice of the backend server and says what became of it. The
// gate acts on it from then on.
func (n *Node) ApplyNotice(notice kqserver.Notice) kqserver.Verdict {
	heard := make(chan kqserver.Verdict, 1)
	n.control.send(&noticeEvent{notice: notice, result: heard})
	select {
	case v := <-heard:
		if notice.State != kqserver.Ready {
			n.gate.startDrain()
		}
		return v
	case <-n.control.stopped:
		return kqserver.Over
	}
}

// isOwnServer is whether the notice is of a backend server that this node
// stands beside.
func (n *Node) isOwnServer(notice kqserver.Notice) bool {
	return notice.ServerID != "" && notice.Service == n.settings.Service && notice.Address == n.settings.BackendAddress
}

// probeServer asks the backend server for its health when the node starts beside
// one that may have been running before, so that it need not wait for the next
// notice. A server that is leaving does not say that it is healthy.
func (n *Node) probeServer(ctx context.Context) {
	if n.settings.FirstStart {
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
		n.logEvent(eventHealthNotTold, "server did not tell its health", err)
		return false
	}
	id := string(response.Header.Peek(n.dialect.Headers.ServerID))
	if response.StatusCode() != fasthttp.StatusOK || id == "" {
		n.logEvent(eventServerUnhealthy, "server is not healthy: status "+strconv.Itoa(response.StatusCode()), nil, kqlog.Number("Status", int64(response.StatusCode())))
		return false
	}
	if n.State().ServerState != kqserver.Unknown {
		return true
	}
	v := n.ApplyNotice(kqserver.Notice{
		ServerID: id, Service: n.settings.Service, Address: n.settings.BackendAddress, State: kqserver.Ready,
		Slots: parseSlots(string(response.Header.Peek(n.dialect.Headers.Load))),
	})
	n.logEvent(eventServerHealthy, "server "+id+" is healthy: "+string(v), nil, kqlog.Text(fieldServer, id), kqlog.Text(fieldVerdict, string(v)))
	return true
}

// parseSlots reads the number of slots out of a report of load, or gives 0.
func parseSlots(load string) int {
	parts := strings.Split(load, ",")
	if len(parts) != 3 {
		return 0
	}
	slots, err := strconv.Atoi(strings.TrimSpace(parts[2]))
	if err != nil || slots < 0 {
		return 0
	}
	return slots
}

// handleReady says whether callers may be sent to this node.
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
