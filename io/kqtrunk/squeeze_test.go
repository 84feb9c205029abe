package kqtrunk_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/klauspost/compress/flate"

	"kumquatlink/core/kqcall"
	"kumquatlink/io/kqtrunk"
)

// Kinds of frames with squeezed heads.
const (
	squeezedCall   = 7
	squeezedAnswer = 8
)

// counted is a connection whose bytes are counted, both ways.
type counted struct {
	net.Conn
	bytes *atomic.Int64
}

func (c counted) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c counted) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

// headers are as long as those of real answers.
func headers(id string) []kqtrunk.Header {
	return []kqtrunk.Header{
		{Name: "Content-Type", Value: "application/octet-stream"},
		{Name: "X-Request-Id", Value: id},
		{Name: "X-Load", Value: "9,0,9"},
		{Name: "User-Agent", Value: "sdk/1.9.3"},
	}
}

// bytesOf plays calls over one connection, several at a time, and gives how
// many bytes went over it.
func bytesOf(t *testing.T, thrifty bool) int64 {
	t.Helper()
	s, err := kqtrunk.Listen("127.0.0.1:0", kqtrunk.Handlers{
		Call: func(_ context.Context, _ string, head kqtrunk.CallHead, body []byte) (kqtrunk.AnswerHead, []byte) {
			return kqtrunk.AnswerHead{End: kqcall.Ran(), Status: 200, Headers: headers(head.RequestID)}, append([]byte(head.Path), body...)
		},
	})
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = s.Close() }()
	var total atomic.Int64
	d := kqtrunk.NewDialer(kqtrunk.Handlers{}, kqtrunk.WithCompression(func(string) bool { return thrifty }),
		kqtrunk.WithDial(func(ctx context.Context, address string) (net.Conn, error) {
			c, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
			return counted{c, &total}, err
		}))
	defer d.Close()
	ctx := patient(t)
	done := make(chan error, 8)
	for i := range cap(done) {
		go func() {
			random := rand.New(rand.NewPCG(uint64(i), 1))
			for range 200 {
				id := fmt.Sprintf("%016x.%016x", random.Uint64(), random.Uint64())
				// Some heads are longer than the window, some too long for it.
				path := "/a/" + id + strings.Repeat("x", random.IntN(5)/4*random.IntN(20<<10))
				head := kqtrunk.CallHead{RequestID: id, Root: id[:16], Service: "stock", Route: "r-stock", Class: "purchase", Path: path, Headers: headers(id)}
				a, err := d.Call(ctx, s.Address(), head, []byte(id))
				switch {
				case err != nil:
				case string(a.Body) != path+id:
					err = fmt.Errorf("body of call %s: got %q", id, a.Body)
				case a.Head.Headers[1].Value != id:
					err = fmt.Errorf("header of call %s: got %q", id, a.Head.Headers[1].Value)
				}
				if err != nil {
					done <- err
					return
				}
			}
			done <- nil
		}()
	}
	for range cap(done) {
		if err := <-done; err != nil {
			t.Fatal(err)
		}
	}
	return total.Load()
}

// TestSqueezedHeadsTakeFewerBytes also has calls of very different sizes side
// by side on one connection.
func TestSqueezedHeadsTakeFewerBytes(t *testing.T) {
	plain, squeezed := bytesOf(t, false), bytesOf(t, true)
	// The IDs, long paths and bodies can't get smaller.
	if squeezed >= plain*3/4 {
		t.Errorf("bytes: got %d, want less than three quarters of %d", squeezed, plain)
	}
}

// TestBrokenSqueezedHeadEndsTheConnection sends heads that refer to nothing, or
// that would become very large.
func TestBrokenSqueezedHeadEndsTheConnection(t *testing.T) {
	large := deflated(t, bytes.Repeat([]byte{0}, 1<<20))
	for _, head := range [][]byte{{1, 2, 3}, large, {}} {
		s := telling(t)
		c, err := net.Dial("tcp", s.Address())
		if err != nil {
			t.Fatal(err)
		}
		if _, err := c.Write(rawFrame(squeezedCall, 1, head, nil)); err != nil {
			t.Fatal(err)
		}
		// What comes is the server's own greeting and the end.
		if rest, err := io.ReadAll(c); err != nil || len(rest) != formerPrefix {
			t.Errorf("squeezed head of %d bytes: got %d bytes, %v, want a greeting and the end", len(head), len(rest), err)
		}
		_ = c.Close()
	}
}

func deflated(t *testing.T, data []byte) []byte {
	t.Helper()
	var out bytes.Buffer
	if err := flate.StatelessDeflate(&out, data, true, nil); err != nil {
		t.Fatal(err)
	}
	return out.Bytes()
}

// FuzzSqueezedFrames sends frames with squeezed heads to a server, which must
// survive them.
func FuzzSqueezedFrames(f *testing.F) {
	f.Add([]byte{1, 2, 3}, []byte{})
	f.Add([]byte{3, 0}, []byte("body"))
	p := newPeer(f)
	f.Fuzz(func(t *testing.T, head, body []byte) {
		c, err := net.Dial("tcp", p.server.Address())
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		for kind := byte(squeezedCall); kind <= squeezedAnswer; kind++ {
			if _, err := c.Write(rawFrame(kind, 1, head, body)); err != nil {
				return
			}
		}
		_ = c.(*net.TCPConn).CloseWrite()
		_, _ = io.Copy(io.Discard, c)
	})
}
