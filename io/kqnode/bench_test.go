package kqnode_test

import (
	"context"
	"fmt"
	"io"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/valyala/fasthttp"

	"kumquatlink/io/kqbackend"
	"kumquatlink/io/kqfleet"
	"kumquatlink/io/kqhttp"
	"kumquatlink/io/kqlink"
	"kumquatlink/io/kqlog"
	"kumquatlink/io/kqnode"
	"kumquatlink/io/kqwire"
)

// maxLatencyMicros is the longest time that the histograms hold.
const maxLatencyMicros = 60_000_000

// latencies are the times of calls from several goroutines.
type latencies struct {
	mutex     sync.Mutex
	histogram *hdrhistogram.Histogram
}

func newLatencies() *latencies {
	return &latencies{histogram: hdrhistogram.New(1, maxLatencyMicros, 3)}
}

func (l *latencies) add(d time.Duration) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	_ = l.histogram.RecordValue(max(1, d.Microseconds()))
}

// at is the latency of that quantile, in microseconds.
func (l *latencies) at(quantile float64) float64 {
	return float64(l.histogram.ValueAtQuantile(quantile))
}

// BenchmarkAddedLatency gives what the path over two nodes adds to a direct
// call of the same backend server. Each caller makes one of both in turn, so
// that both meet the same machine; the difference of the quantiles is
// reported.
func BenchmarkAddedLatency(b *testing.B) {
	for _, callers := range []int{1, 16, 128} {
		b.Run(fmt.Sprintf("callers-%d", callers), func(b *testing.B) { benchmarkAdded(b, callers) })
	}
}

func benchmarkAdded(b *testing.B, callers int) {
	ctx, cancel := context.WithTimeout(context.Background(), testPatience)
	defer cancel()
	fleet, err := kqfleet.New()
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = fleet.Close() }()
	if err := fleet.Configure(ctx, testClasses()); err != nil {
		b.Fatal(err)
	}
	// plain takes the fleet's made-up latency between domains away.
	plain := []kqnode.Option{kqnode.WithLinkOptions(kqlink.WithSockets(nil)), kqnode.WithNow(time.Now)}
	log := kqlog.New(io.Discard, kqlog.WithNode("entry-1", "lothian-a"))
	defer log.Close()
	entry, err := fleet.AddNode(kqfleet.Place{NodeID: "entry-1", Region: "lothian", FailureDomain: "lothian-a"}, append(plain, kqnode.WithLog(log))...)
	if err != nil {
		b.Fatal(err)
	}
	place := kqfleet.Place{NodeID: "catalog-1", Region: "lothian", FailureDomain: "lothian-b"}
	deep, err := fleet.AddBackend(place, kqbackend.Settings{Service: "catalog", Slots: 1024, Queue: 1024}, plain...)
	if err != nil {
		b.Fatal(err)
	}
	if err := fleet.AwaitServices(ctx, "catalog"); err != nil {
		b.Fatal(err)
	}
	whole := newCaller(entry.Node.CallerAddress(), callers)
	direct := newCaller(deep.Backend.Address(), callers)
	through, straight := newLatencies(), newLatencies()
	for range 200 {
		whole.call(b)
		direct.call(b)
	}
	var left, failed atomic.Int64
	left.Store(int64(b.N))
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	b.ResetTimer()
	var all sync.WaitGroup
	for range callers {
		all.Add(1)
		go func() {
			defer all.Done()
			for left.Add(-1) >= 0 {
				begun := time.Now()
				if !whole.call(b) {
					failed.Add(1)
				}
				middle := time.Now()
				direct.call(b)
				through.add(middle.Sub(begun))
				straight.add(time.Since(middle))
			}
		}()
	}
	all.Wait()
	b.StopTimer()
	runtime.ReadMemStats(&after)
	b.ReportMetric(through.at(50)-straight.at(50), "added-P50-µs")
	b.ReportMetric(through.at(99)-straight.at(99), "added-P99-µs")
	b.ReportMetric(through.at(99), "through-P99-µs")
	b.ReportMetric(straight.at(99), "direct-P99-µs")
	b.ReportMetric(float64(after.Mallocs-before.Mallocs)/float64(b.N), "allocs/pair")
	b.ReportMetric(float64(failed.Load()), "not-run")
}

// caller makes calls to one address.
type caller struct {
	pool *kqhttp.Pool
	host string
}

func newCaller(address string, connections int) *caller {
	return &caller{pool: kqhttp.NewPool(address, kqhttp.WithMaxIdle(connections)), host: address}
}

func (c *caller) call(b *testing.B) bool {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI("/list")
	request.Header.SetHost(c.host)
	request.Header.Set(kqwire.HeaderService, "catalog")
	if err := c.pool.Do(context.Background(), request, response); err != nil {
		b.Errorf("call: %v", err)
		return false
	}
	return response.StatusCode() == fasthttp.StatusOK
}
