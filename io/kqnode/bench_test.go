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

// maxLatencyMicros is the longest time that the histograms can record, in
// microseconds.
const maxLatencyMicros = 60_000_000

// latencies records call times from several goroutines.
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

// at returns the latency at the percentile (0 to 100), in microseconds.
func (l *latencies) at(percentile float64) float64 {
	return float64(l.histogram.ValueAtQuantile(percentile))
}

// BenchmarkAddedLatency measures the latency that the path over two nodes adds to
// a direct call to the same backend server. Each caller alternates between both,
// so that both run under the same load of the machine. It reports the
// differences of the percentiles.
func BenchmarkAddedLatency(b *testing.B) {
	for _, callers := range []int{1, 16, 128} {
		b.Run(fmt.Sprintf("callers-%d", callers), func(b *testing.B) { benchmarkAdded(b, callers) })
	}
}

func benchmarkAdded(b *testing.B, callers int) {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	fleet, err := kqfleet.New()
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = fleet.Close() }()
	if err := fleet.Configure(ctx, testClasses()); err != nil {
		b.Fatal(err)
	}
	// plain removes the latency between failure domains that the fleet simulates.
	plain := []kqnode.Option{kqnode.WithLinkOptions(kqlink.WithSockets(nil)), kqnode.WithNow(time.Now)}
	log := kqlog.New(io.Discard, kqlog.WithNode("entry-1", "lothian-a"))
	defer log.Close()
	entry, err := fleet.AddNode(kqfleet.Place{NodeID: "entry-1", Region: "lothian", FailureDomain: "lothian-a"}, append(plain, kqnode.WithLog(log))...)
	if err != nil {
		b.Fatal(err)
	}
	place := kqfleet.Place{NodeID: "catalog-1", Region: "lothian", FailureDomain: "lothian-b"}
	catalog, err := fleet.AddBackend(place, kqbackend.Settings{Service: "catalog", Slots: 1024, Queue: 1024}, plain...)
	if err != nil {
		b.Fatal(err)
	}
	if err := fleet.AwaitServices(ctx, "catalog"); err != nil {
		b.Fatal(err)
	}
	meshCaller := newCaller(entry.Node.CallerAddress(), callers)
	directCaller := newCaller(catalog.Backend.Address(), callers)
	meshTimes, directTimes := newLatencies(), newLatencies()
	for range 200 {
		meshCaller.call(b)
		directCaller.call(b)
	}
	var remaining, failed atomic.Int64
	remaining.Store(int64(b.N))
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	b.ResetTimer()
	var group sync.WaitGroup
	for range callers {
		group.Add(1)
		go func() {
			defer group.Done()
			for remaining.Add(-1) >= 0 {
				meshStart := time.Now()
				if !meshCaller.call(b) {
					failed.Add(1)
				}
				directStart := time.Now()
				directCaller.call(b)
				meshTimes.add(directStart.Sub(meshStart))
				directTimes.add(time.Since(directStart))
			}
		}()
	}
	group.Wait()
	b.StopTimer()
	runtime.ReadMemStats(&after)
	b.ReportMetric(meshTimes.at(50)-directTimes.at(50), "added-P50-µs")
	b.ReportMetric(meshTimes.at(99)-directTimes.at(99), "added-P99-µs")
	b.ReportMetric(meshTimes.at(99), "through-P99-µs")
	b.ReportMetric(directTimes.at(99), "direct-P99-µs")
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
