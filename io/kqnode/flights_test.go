package kqnode_test

import (
	"bufio"
	"context"
	"net"
	"strings"
	"testing"

	"github.com/valyala/fasthttp"

	"kumquatlink/io/kqbackend"
	"kumquatlink/io/kqfleet"
	"kumquatlink/io/kqlog"
	"kumquatlink/io/kqnode"
	"kumquatlink/io/kqwire"
)

// stalled is a fleet of an entry and one upstream, whose backend server stalls
// until its faults are cleared. output is the log of the entry.
type stalled struct {
	entry, upstream *kqfleet.Member
	output          *logOutput
}

// startStalled starts the fleet and makes the backend server stall.
func startStalled(t *testing.T) (*stalled, context.Context) {
	t.Helper()
	ctx := testContext(t)
	fleet := newFleet(ctx, t)
	s := &stalled{output: &logOutput{}}
	log := kqlog.New(s.output, kqlog.WithNode("entry-1", "lothian-a"))
	t.Cleanup(log.Close)
	place := kqfleet.Place{NodeID: "entry-1", Region: "lothian", FailureDomain: "lothian-a"}
	var err error
	if s.entry, err = fleet.AddNode(place, kqnode.WithLog(log)); err != nil {
		t.Fatal(err)
	}
	place = kqfleet.Place{NodeID: "catalog-1", Region: "lothian", FailureDomain: "lothian-a"}
	if s.upstream, err = fleet.AddBackend(place, kqbackend.Settings{Service: "catalog", Slots: 16}); err != nil {
		t.Fatal(err)
	}
	if err := fleet.AwaitServices(ctx, "catalog"); err != nil {
		t.Fatal(err)
	}
	s.upstream.Backend.SetFaults(kqbackend.Faults{Stall: true})
	return s, ctx
}

// runs returns the number of runs at the backend server.
func (s *stalled) runs() int {
	return len(s.upstream.Backend.Runs())
}

// shared returns the number of calls that joined the run of another one.
func (s *stalled) shared(t *testing.T) int {
	n := 0
	for _, d := range s.output.decisions(t) {
		if d["Decision"] == "Share" {
			n++
		}
	}
	return n
}

// send sends a call with the body, always under the same request ID. It returns a
// channel for the outcome and the body of the answer.
func (s *stalled) send(t *testing.T, body string) <-chan string {
	answer := make(chan string, 1)
	go func() {
		response := call(t, s.entry.Node.CallerAddress(), func(r *fasthttp.Request) {
			r.Header.SetMethod(fasthttp.MethodPost)
			r.Header.Set(kqwire.HeaderService, "catalog")
			r.Header.Set(kqwire.HeaderRequestID, "request-1")
			r.SetBodyString(body)
		})
		answer <- outcome(response) + " " + string(response.Body())
	}()
	return answer
}

func TestCopiesOfACallShareOneRun(t *testing.T) {
	s, ctx := startStalled(t)
	answers := []<-chan string{s.send(t, "voices")}
	eventually(ctx, t, "the first copy runs", func() bool { return s.runs() == 1 })
	for range 7 {
		answers = append(answers, s.send(t, "voices"))
	}
	eventually(ctx, t, "the others share its run", func() bool { return s.shared(t) == 7 })
	s.upstream.Backend.SetFaults(kqbackend.Faults{})
	for _, a := range answers {
		if got, want := <-a, "ran Done catalog POST /list?page=2 voices"; got != want {
			t.Errorf("answer: got %q, want %q", got, want)
		}
	}
	if got, want := s.runs(), 1; got != want {
		t.Errorf("runs: got %d, want %d", got, want)
	}
}

// A different call under the same request ID must not share the run, since its
// caller would get the answer to another call.
func TestDifferentCallWithTheSameIDRunsSeparately(t *testing.T) {
	s, ctx := startStalled(t)
	first := s.send(t, "voices")
	eventually(ctx, t, "the first call runs", func() bool { return s.runs() == 1 })
	second := s.send(t, "licences")
	eventually(ctx, t, "the second call runs", func() bool { return s.runs() == 2 })
	s.upstream.Backend.SetFaults(kqbackend.Faults{})
	for a, want := range map[<-chan string]string{first: "ran Done catalog POST /list?page=2 voices", second: "ran Done catalog POST /list?page=2 licences"} {
		if got := <-a; got != want {
			t.Errorf("answer: got %q, want %q", got, want)
		}
	}
}

func TestRunContinuesWhenTheCallerOfOneCopyLeaves(t *testing.T) {
	s, ctx := startStalled(t)
	leaver, err := net.Dial("tcp", s.entry.Node.CallerAddress())
	if err != nil {
		t.Fatal(err)
	}
	head := callHead("POST /list?page=2", kqwire.HeaderService+": catalog", kqwire.HeaderRequestID+": request-1", "Content-Type: application/octet-stream", "Content-Length: 6")
	if _, err := leaver.Write([]byte(head + "voices")); err != nil {
		t.Fatal(err)
	}
	eventually(ctx, t, "the first copy runs", func() bool { return s.runs() == 1 })
	stayer, err := net.Dial("tcp", s.entry.Node.CallerAddress())
	if err != nil {
		t.Fatal(err)
	}
	defer stayer.Close()
	if _, err := stayer.Write([]byte(head + "voices")); err != nil {
		t.Fatal(err)
	}
	eventually(ctx, t, "the second copy shares its run", func() bool { return s.shared(t) == 1 })
	if err := leaver.Close(); err != nil {
		t.Fatal(err)
	}
	eventually(ctx, t, "the entry logs that the first caller left", func() bool {
		for _, d := range s.output.decisions(t) {
			if d["Decision"] == "Answer" && d["Cause"] == "CallerGone" {
				return true
			}
		}
		return false
	})
	s.upstream.Backend.SetFaults(kqbackend.Faults{})
	var response fasthttp.Response
	if err := response.Read(bufio.NewReader(stayer)); err != nil {
		t.Fatal(err)
	}
	if got, want := string(response.Body()), "catalog POST /list?page=2 voices"; got != want {
		t.Errorf("body: got %q, want %q", got, want)
	}
	if got, want := s.runs(), 1; got != want {
		t.Errorf("runs: got %d, want %d", got, want)
	}
}

// callHead returns the request line and the header of a call.
func callHead(first string, fields ...string) string {
	return first + " HTTP/1.1\r\nHost: entry\r\n" + strings.Join(fields, "\r\n") + "\r\n\r\n"
}
