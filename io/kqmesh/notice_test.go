package kqmesh_test

import (
	"encoding/json"
	"testing"

	"github.com/valyala/fasthttp"

	"kumquatlink/core/kqserver"
	"kumquatlink/io/kqmesh"
)

// sendNotice sends a notice over HTTP, as a backend server does, and returns the
// status of the answer.
func (h *host) sendNotice(id string, born, sequence int64, state kqserver.State) int {
	h.t.Helper()
	body, err := json.Marshal(kqmesh.NativeNotice{ServerID: id, Service: h.settings.Service, Address: h.address(), Slots: 4, State: state, Sequence: sequence, Born: born})
	if err != nil {
		h.t.Fatal(err)
	}
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.Header.SetMethod("PUT")
	request.SetRequestURI("http://" + h.settings.NoticeAddress + kqmesh.NativeNoticePath)
	request.SetBody(body)
	if err := fasthttp.Do(request, response); err != nil {
		h.t.Fatal(err)
	}
	return response.StatusCode()
}

// TestIgnoredNoticeOfLeavingIsAcknowledged has a server leave whose start seems to be
// over, since its clock was set back before it started. It still gets requests.
func TestIgnoredNoticeOfLeavingIsAcknowledged(t *testing.T) {
	f := newFleet(t)
	h := f.add("orders-1", "orders")
	for _, c := range []struct {
		what           string
		id             string
		born, sequence int64
		state          kqserver.State
		want           int
		wantState      kqserver.State
	}{
		{"ready", h.id, 20, 1, kqserver.Ready, 200, kqserver.Ready},
		{"late ready", h.id, 10, 9, kqserver.Ready, 200, kqserver.Ready},
		{"draining of a start that seems earlier", h.id, 10, 10, kqserver.Draining, 409, kqserver.Ready},
		{"leaving of a start that seems earlier", h.id, 10, 11, kqserver.Gone, 409, kqserver.Ready},
		{"leaving of another server, which no call names", "i-other", 10, 5, kqserver.Gone, 200, kqserver.Ready},
		{"draining", h.id, 20, 2, kqserver.Draining, 200, kqserver.Draining},
		{"draining again", h.id, 20, 2, kqserver.Draining, 200, kqserver.Draining},
		{"leaving", h.id, 20, 3, kqserver.Gone, 200, kqserver.Gone},
		{"draining after leaving", h.id, 20, 4, kqserver.Draining, 200, kqserver.Gone},
	} {
		got := h.sendNotice(c.id, c.born, c.sequence, c.state)
		if state := h.node.State().ServerState; got != c.want || state != c.wantState {
			t.Errorf("%s: got status %d and state %s, want %d and %s", c.what, got, state, c.want, c.wantState)
		}
	}
}
