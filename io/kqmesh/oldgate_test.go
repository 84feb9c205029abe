package kqmesh_test

import (
	"context"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"kumquatlink/core/kqcall"
	"kumquatlink/core/kqmember"
	"kumquatlink/core/kqserver"
	"kumquatlink/io/kqmesh"
	"kumquatlink/io/kqstore"
	"kumquatlink/io/kqtrunk"
)

// The version that nodes from before rate limits advertise, and where it stands in
// the first frame on a connection.
const (
	versionBefore   = 3
	firstFrameBytes = 13
	versionOffset   = 5
)

// oldGate is a gate of the build before rate limits: it passes on what its server
// states, and runs every call.
type oldGate struct {
	calls atomic.Int64
	// status is the status of its answers, and field another field of them.
	status atomic.Int64
	field  atomic.Pointer[kqtrunk.Header]
}

// addOldGate starts an old gate of the service and writes its record.
func (f *fleet) addOldGate(name, service, statement string) *oldGate {
	f.t.Helper()
	g := &oldGate{}
	g.status.Store(fasthttp.StatusOK)
	server, err := kqtrunk.Listen("127.0.0.1:0", kqtrunk.Handlers{
		Call: func(_ context.Context, _ string, head kqtrunk.CallHead, _ []byte) (kqtrunk.AnswerHead, []byte) {
			if head.AskLoad {
				return kqtrunk.AnswerHead{End: kqcall.NotRun("")}, nil
			}
			g.calls.Add(1)
			fields := []kqtrunk.Header{{Name: "Kumquatlink-Rate-Limit", Value: statement}}
			if f := g.field.Load(); f != nil {
				fields = append(fields, *f)
			}
			return kqtrunk.AnswerHead{
				End: kqcall.Ran(), Status: int(g.status.Load()), ServerID: "i-" + name, RoutesVersion: head.RoutesVersion, Headers: fields,
			}, nil
		},
	})
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(func() { _ = server.Close() })
	value, err := json.Marshal(kqmesh.HostRecord{
		NodeID: name, Incarnation: 1, Change: 1, Address: advertiseVersionBefore(f.t, server.Address()), Region: "south", FailureDomain: "south-a",
		Service: service, ServerID: "i-" + name, ServerState: kqserver.Ready, Born: 1, Slots: 4, Life: kqmember.LifeServing,
	})
	if err != nil {
		f.t.Fatal(err)
	}
	if _, err := kqstore.NewHTTP(f.store.Address()).Put(context.Background(), kqstore.KindHosts, kqstore.Object{Name: name, Value: value}); err != nil {
		f.t.Fatal(err)
	}
	return g
}

// advertiseVersionBefore returns the address of a proxy that changes the version
// which a node advertises in its first frame.
func advertiseVersionBefore(t *testing.T, target string) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			caller, err := l.Accept()
			if err != nil {
				return
			}
			node, err := net.Dial("tcp", target)
			if err != nil {
				_ = caller.Close()
				return
			}
			go relay(node, caller, false)
			go relay(caller, node, true)
		}
	}()
	return l.Addr().String()
}

// relay copies bytes between connections, the first frame with the older version
// if rewrite is set.
func relay(to, from net.Conn, rewrite bool) {
	defer to.Close()
	defer from.Close()
	if rewrite {
		var first [firstFrameBytes]byte
		if _, err := io.ReadFull(from, first[:]); err != nil {
			return
		}
		binary.BigEndian.PutUint64(first[versionOffset:], versionBefore)
		if _, err := to.Write(first[:]); err != nil {
			return
		}
	}
	_, _ = io.Copy(to, from)
}

// TestEntriesOverrunTheLimitBesideAnOldGate sends requests to a server whose gate
// does not hold its limit.
func TestEntriesOverrunTheLimitBesideAnOldGate(t *testing.T) {
	const limit, rounds = 1.0, 60
	f := newFleet(t)
	first, second := f.add("catalog-1", "catalog"), f.add("catalog-2", "catalog")
	f.writeRoutes(1, route("/look/", "orders", false))
	old := f.addOldGate("orders-1", "orders", fmt.Sprint(limit))
	first.reportState(kqserver.Ready)
	second.reportState(kqserver.Ready)
	f.awaitConvergence(1, 3)
	begun := time.Now()
	refused := 0
	for i := range rounds {
		for _, entry := range []*host{first, second} {
			got := entry.request("GET", "/look/", fmt.Sprintf("%s-%d", entry.settings.NodeID, i), "")
			switch got.status {
			case fasthttp.StatusOK:
			case fasthttp.StatusServiceUnavailable:
				refused++
				if got.retryAfter == "" {
					t.Errorf("refused request: got %+v, want a Retry-After", got)
				}
			default:
				t.Errorf("request: got %+v, want 200 or 503", got)
			}
		}
	}
	if got, want := int(old.calls.Load()), mayGet(limit, begun); got > want {
		t.Errorf("calls that the old gate got: got %d, want at most %d", got, want)
	}
	if got, want := int(old.calls.Load())+refused, 2*rounds; got != want {
		t.Errorf("calls and refusals: got %d, want %d", got, want)
	}
}
