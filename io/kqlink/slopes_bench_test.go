package kqlink_test

import (
	"context"
	"fmt"
	"runtime"
	"syscall"
	"testing"
	"time"

	"github.com/panjf2000/ants/v2"

	"kumquatlink/core/kqcall"
	"kumquatlink/io/kqlink"
	"kumquatlink/io/kqtrust"
)

// startServer starts a server that echoes the bodies of calls.
func startServer(b *testing.B, authority *kqtrust.Authority) *kqlink.Server {
	b.Helper()
	identity, err := authority.Issue("gate")
	if err != nil {
		b.Fatal(err)
	}
	pool, err := ants.NewPool(1024)
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(pool.Release)
	server, err := kqlink.Listen("127.0.0.1:0", identity, kqlink.Handlers{
		Call: func(_ context.Context, _ string, _ kqlink.CallHead, body []byte) (kqlink.AnswerHead, []byte) {
			return kqlink.AnswerHead{End: kqcall.Ran(), Status: 200}, body
		},
		Message: func(_ context.Context, _ string, m []byte) ([]byte, error) { return m, nil },
		Submit:  pool.Submit,
	})
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { _ = server.Close() })
	return server
}

// newDialer returns a dialer with an identity of its own.
func newDialer(b *testing.B, authority *kqtrust.Authority) *kqlink.Dialer {
	b.Helper()
	identity, err := authority.Issue("entry")
	if err != nil {
		b.Fatal(err)
	}
	return kqlink.NewDialer(identity)
}

// callOnce makes one call without a body.
func callOnce(b *testing.B, dialer *kqlink.Dialer, address string) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	head := kqlink.CallHead{Head: kqcall.Head{RequestID: "request", Service: "orders", Budget: time.Minute}, Method: "GET", Path: "/"}
	if _, err := dialer.Call(ctx, address, head, nil); err != nil {
		b.Fatal(err)
	}
}

// processorTime returns the processor time that this process has used. It includes
// both ends of each link.
func processorTime(b *testing.B) time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		b.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// BenchmarkHandshake opens a link for each call. It measures the cost per link that
// is opened, as after restarts of nodes.
func BenchmarkHandshake(b *testing.B) {
	authority, err := kqtrust.NewAuthority()
	if err != nil {
		b.Fatal(err)
	}
	address := startServer(b, authority).Address()
	dialers := make([]*kqlink.Dialer, b.N)
	for i := range dialers {
		dialers[i] = newDialer(b, authority)
	}
	start := processorTime(b)
	b.ResetTimer()
	for _, d := range dialers {
		callOnce(b, d, address)
		d.Close()
	}
	b.ReportMetric(float64(processorTime(b)-start)/float64(b.N)/1000, "processor-us/link")
}

// BenchmarkCall measures the cost of a call on an open link.
func BenchmarkCall(b *testing.B) {
	authority, err := kqtrust.NewAuthority()
	if err != nil {
		b.Fatal(err)
	}
	address := startServer(b, authority).Address()
	dialer := newDialer(b, authority)
	defer dialer.Close()
	callOnce(b, dialer, address)
	start := processorTime(b)
	b.ReportAllocs()
	b.ResetTimer()
	for range b.N {
		callOnce(b, dialer, address)
	}
	b.ReportMetric(float64(processorTime(b)-start)/float64(b.N)/1000, "processor-us/call")
}

// BenchmarkLinkMemory measures the memory of an open link, both ends together.
func BenchmarkLinkMemory(b *testing.B) {
	authority, err := kqtrust.NewAuthority()
	if err != nil {
		b.Fatal(err)
	}
	for _, links := range []int{50, 200} {
		b.Run(fmt.Sprintf("links=%d", links), func(b *testing.B) {
			address := startServer(b, authority).Address()
			for range b.N {
				before := usedMemory()
				dialers := make([]*kqlink.Dialer, links)
				for i := range dialers {
					dialers[i] = newDialer(b, authority)
					callOnce(b, dialers[i], address)
				}
				b.ReportMetric(float64(usedMemory()-before)/float64(links), "bytes/link")
				for _, d := range dialers {
					d.Close()
				}
			}
		})
	}
}

// usedMemory returns the bytes in use by the heap and the stacks after a garbage
// collection.
func usedMemory() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc + m.StackInuse)
}
