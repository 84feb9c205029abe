package kqnode_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"kumquatlink/io/kqbackend"
	"kumquatlink/io/kqwire"
)

// keyBenchNodes is the number of nodes of the called service.
const keyBenchNodes = 4

// BenchmarkKeyedCall measures the latency that a key adds to a call of the same
// class. Each iteration makes one call with a key and one without.
func BenchmarkKeyedCall(b *testing.B) {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	f := startKeyFleet(ctx, b, keyBenchNodes, kqbackend.Settings{Slots: 1024})
	client := &fasthttp.HostClient{Addr: f.entries[0].Node.CallerAddress(), MaxIdemponentCallAttempts: 1}
	send := func(key string) time.Duration {
		request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
		defer fasthttp.ReleaseRequest(request)
		defer fasthttp.ReleaseResponse(response)
		request.SetRequestURI("/buy")
		request.Header.SetHost(client.Addr)
		purchase(key, "body")(request)
		if key == "" {
			request.Header.Del(kqwire.HeaderIdempotencyKey)
		}
		startedAt := time.Now()
		if err := client.Do(request, response); err != nil || response.StatusCode() != fasthttp.StatusOK {
			b.Fatalf("call: %v, %s", err, outcomeAndCause(response))
		}
		return time.Since(startedAt)
	}
	keyed, plain := newLatencies(), newLatencies()
	for i := range 200 {
		send("")
		send(fmt.Sprintf("warm-%d", i))
	}
	b.ResetTimer()
	for i := range b.N {
		plain.add(send(""))
		keyed.add(send(fmt.Sprintf("key-%d", i)))
	}
	for name, quantile := range map[string]float64{"p50": 50, "p99": 99} {
		b.ReportMetric(keyed.at(quantile), "keyed-µs/"+name)
		b.ReportMetric(plain.at(quantile), "plain-µs/"+name)
	}
}
