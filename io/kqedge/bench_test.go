package kqedge_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"testing"

	"github.com/valyala/fasthttp"

	"kumquatlink/io/kqedge"
)

// benchmarkHead is the head of a usual request.
const benchmarkHead = "POST /look/some/path?of=a&request=1 HTTP/1.1\r\nHost: shop.example\r\nUser-Agent: some-client/1.0\r\n" +
	"Accept: */*\r\nX-Request-Id: 9c41d07be2a35f68\r\nX-Deadline: 6000\r\nContent-Type: application/json\r\n"

// BenchmarkRequest sends requests one after another on one connection.
func BenchmarkRequest(b *testing.B) {
	for name, text := range map[string]string{
		"length": benchmarkHead + "Content-Length: 16\r\n\r\n0123456789abcdef",
		"chunks": benchmarkHead + "Transfer-Encoding: chunked\r\n\r\n8\r\n01234567\r\n8\r\n89abcdef\r\n0\r\n\r\n",
	} {
		b.Run(name, func(b *testing.B) {
			server := kqedge.New(func(_ context.Context, e *kqedge.Exchange) { e.Response.SetBodyString("ok") })
			address, err := server.Listen("127.0.0.1:0")
			if err != nil {
				b.Fatal(err)
			}
			defer server.Close()
			c, err := net.Dial("tcp", address)
			if err != nil {
				b.Fatal(err)
			}
			defer c.Close()
			r := bufio.NewReader(c)
			response := &fasthttp.Response{}
			b.ReportAllocs()
			for b.Loop() {
				if _, err := io.WriteString(c, text); err != nil {
					b.Fatal(err)
				}
				if err := response.Read(r); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
