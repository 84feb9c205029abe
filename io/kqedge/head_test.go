package kqedge_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/valyala/fasthttp"

	"kumquatlink/io/kqedge"
)

// TestLimitOnHeadersIsAllocated guards against a buffer as large as the operator's limit
// for a head that is a little larger than the first buffer.
func TestLimitOnHeadersIsAllocated(t *testing.T) {
	s := newTestServer(t, kqedge.WithLimits(func() kqedge.Limits { return kqedge.Limits{HeaderBytes: 1 << 53} }))
	c, r := dial(t, s.address)
	for _, size := range []int{3 << 10, 5 << 10, 40 << 10, 300 << 10} {
		path := "/" + strings.Repeat("p", size)
		send(t, c, fmt.Sprintf("GET %s HTTP/1.1\r\nHost: shop\r\n\r\n", path))
		response := &fasthttp.Response{}
		if err := response.Read(r); err != nil {
			t.Fatalf("answer to a head of over %d bytes: %v", size, err)
		}
		if got, want := string(response.Body()), "GET "+path+" "; got != want {
			t.Errorf("answer to a head of over %d bytes: got %.40q with %d bytes, want %d", size, got, len(got), len(want))
		}
	}
}
