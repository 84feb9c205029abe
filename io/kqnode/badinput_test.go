package kqnode_test

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"strings"
	"testing"

	"github.com/valyala/fasthttp"

	"kumquatlink/io/kqbackend"
	"kumquatlink/io/kqfleet"
	"kumquatlink/io/kqlink"
	"kumquatlink/io/kqtrust"
	"kumquatlink/io/kqwire"
)

// startCatalog starts an entry and an upstream of the service catalog.
func startCatalog(t *testing.T) (entry, upstream *kqfleet.Member, ctx context.Context) {
	t.Helper()
	ctx = testContext(t)
	fleet := newFleet(ctx, t)
	entry = addNode(t, fleet, "entry-1", "lothian")
	place := kqfleet.Place{NodeID: "catalog-1", Region: "lothian", FailureDomain: "lothian-b"}
	upstream, err := fleet.AddBackend(place, kqbackend.Settings{Service: "catalog", Slots: 4})
	if err != nil {
		t.Fatal(err)
	}
	if err := fleet.AwaitServices(ctx, "catalog"); err != nil {
		t.Fatal(err)
	}
	return entry, upstream, ctx
}

func TestBadCallsAreAnsweredWithTheirCauseAndNotRun(t *testing.T) {
	entry, upstream, _ := startCatalog(t)
	set := func(name, value string) func(*fasthttp.Request) {
		return func(r *fasthttp.Request) {
			r.Header.Set(kqwire.HeaderService, "catalog")
			r.Header.Set(name, value)
		}
	}
	for name, c := range map[string]struct {
		fill   func(*fasthttp.Request)
		status int
		cause  string
	}{
		"no service":        {func(*fasthttp.Request) {}, 404, "NoService"},
		"unknown service":   {set(kqwire.HeaderService, "nothing"), 404, "NoService"},
		"unknown class":     {set(kqwire.HeaderClass, "nothing"), 400, "NoClass"},
		"odd class":         {set(kqwire.HeaderClass, "br\xc3\xa9owse \"{}"), 400, "NoClass"},
		"control bytes":     {set(kqwire.HeaderClass, "br\xffowse\x01"), 400, "BadRequest"},
		"budget no number":  {set(kqwire.HeaderBudget, "soon"), 400, "BadRequest"},
		"budget past":       {set(kqwire.HeaderBudget, "-5"), 503, "Deadline"},
		"budget too big":    {set(kqwire.HeaderBudget, "99999999999999999999"), 400, "BadRequest"},
		"request ID long":   {set(kqwire.HeaderRequestID, strings.Repeat("a", 65)), 400, "BadRequest"},
		"request ID quoted": {set(kqwire.HeaderRequestID, `a"b`), 400, "BadRequest"},
		"header too large":  {set("Large", strings.Repeat("a", 64<<10)), 413, "TooLarge"},
	} {
		response := call(t, entry.Node.CallerAddress(), c.fill)
		if got, want := response.StatusCode(), c.status; got != want {
			t.Errorf("%s: got status %d, want %d", name, got, want)
		}
		if got, want := outcome(response), "not-run "+c.cause; got != want {
			t.Errorf("%s: got %q, want %q", name, got, want)
		}
	}
	if got, want := len(upstream.Backend.Runs()), 0; got != want {
		t.Errorf("runs: got %d, want %d", got, want)
	}
	response := call(t, entry.Node.CallerAddress(), set("Good", "yes"))
	if got, want := outcome(response), "ran Done"; got != want {
		t.Errorf("good call after bad ones: got %q, want %q", got, want)
	}
}

// sendRaw sends the text unchanged, closes its side of the connection, and returns
// the first line of the answer.
func sendRaw(t *testing.T, address, text string) string {
	t.Helper()
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	if _, err := fmt.Fprint(c, text); err != nil {
		t.Fatal(err)
	}
	if err := c.(*net.TCPConn).CloseWrite(); err != nil {
		t.Fatal(err)
	}
	line, _ := bufio.NewReader(c).ReadString('\n')
	return strings.TrimSpace(line)
}

func TestMalformedAndTruncatedCallsAreNotRun(t *testing.T) {
	entry, upstream, _ := startCatalog(t)
	head := "POST /list HTTP/1.1\r\nHost: a\r\nKumquatlink-Service: catalog\r\n"
	for name, text := range map[string]string{
		"truncated body":  head + "Content-Length: 100\r\n\r\nshort",
		"truncated chunk": head + "Transfer-Encoding: chunked\r\n\r\n64\r\nshort",
		"no HTTP":         "\x00\x01\x02\x03\r\n\r\n",
		"body too large":  head + "Content-Length: 99999999999\r\n\r\n",
		"length negative": head + "Content-Length: -1\r\n\r\n",
	} {
		if got := sendRaw(t, entry.Node.CallerAddress(), text); strings.Contains(got, " 200 ") {
			t.Errorf("%s: got %q, want an answer other than 200", name, got)
		}
	}
	if got, want := len(upstream.Backend.Runs()), 0; got != want {
		t.Errorf("runs: got %d, want %d", got, want)
	}
}

func TestPeerWithAForeignCertificateIsRefused(t *testing.T) {
	_, upstream, ctx := startCatalog(t)
	foreign, err := kqtrust.NewAuthority()
	if err != nil {
		t.Fatal(err)
	}
	identity, err := foreign.Issue("entry-1")
	if err != nil {
		t.Fatal(err)
	}
	dialer := kqlink.NewDialer(identity)
	defer dialer.Close()
	if _, err := dialer.Call(ctx, upstream.Node.PeerAddress(), kqlink.CallHead{Method: "GET", Path: "/"}, nil); err == nil {
		t.Error("call of a foreign peer: got an answer, want an error")
	}
	if got, want := len(upstream.Backend.Runs()), 0; got != want {
		t.Errorf("runs: got %d, want %d", got, want)
	}
}

// outcome returns the outcome and the cause in the header of an answer, with a
// blank between them.
func outcome(r *fasthttp.Response) string {
	return string(r.Header.Peek(kqwire.HeaderOutcome)) + " " + string(r.Header.Peek(kqwire.HeaderCause))
}
