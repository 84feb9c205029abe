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

// Kinds of frames with compressed heads, as they stand on the wire.
const (
	kindCallCompressed   = 7
	kindAnswerCompressed = 8
)

// countingConn is a connection that counts its bytes in both directions.
type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

// headers returns headers that are as long as those of real answers.
func headers(id string) []kqtrunk.Header {
	return []kqtrunk.Header{
		{Name: "Content-Type", Value: "application/octet-stream"},
		{Name: "X-Request-Id", Value: id},
		{Name: "X-Load", Value: "9,0,9"},
		{Name: "User-Agent", Value: "sdk/1.9.3"},
	}
}

// countBytes makes calls over one connection, several at a time, checks their
// answers and returns how many bytes went over the connection.
func countBytes(t *testing.T, compress bool) int64 {
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
	d := kqtrunk.NewDialer(kqtrunk.Handlers{}, kqtrunk.WithCompression(func(string) bool { return compress }),
		kqtrunk.WithDial(func(ctx context.Context, address string) (net.Conn, error) {
			c, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
			return countingConn{c, &total}, err
		}))
	defer d.Close()
	ctx := testContext(t)
	done := make(chan error, 8)
	for i := range cap(done) {
		go func() {
			random := rand.New(rand.NewPCG(uint64(i), 1))
			for range 200 {
				id := fmt.Sprintf("%016x.%016x", random.Uint64(), random.Uint64())
				// Some heads are longer than the dictionary, some too long to be
				// compressed.
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

// TestCompressedHeadsTakeFewerBytes also checks that concurrent calls of very
// different sizes on one connection are decoded correctly.
func TestCompressedHeadsTakeFewerBytes(t *testing.T) {
	plain, compressed := countBytes(t, false), countBytes(t, true)
	// IDs, long paths and bodies do not compress.
	if compressed >= plain*3/4 {
		t.Errorf("bytes: got %d, want less than three quarters of %d", compressed, plain)
	}
}

// TestInvalidCompressedHeadClosesTheConnection sends heads that can't be
// decompressed, and one that would expand beyond the accepted size.
func TestInvalidCompressedHeadClosesTheConnection(t *testing.T) {
	large := deflate(t, bytes.Repeat([]byte{0}, 1<<20))
	for _, head := range [][]byte{{1, 2, 3}, large, {}} {
		s := newThresholdServer(t)
		c, err := net.Dial("tcp", s.Address())
		if err != nil {
			t.Fatal(err)
		}
		if _, err := c.Write(rawFrame(kindCallCompressed, 1, head, nil)); err != nil {
			t.Fatal(err)
		}
		// The server sends only the pong with its version, which has no payload.
		if rest, err := io.ReadAll(c); err != nil || len(rest) != prefixBytes {
			t.Errorf("compressed head of %d bytes: got %d bytes, %v, want the version pong and a closed connection", len(head), len(rest), err)
		}
		_ = c.Close()
	}
}

func deflate(t *testing.T, data []byte) []byte {
	t.Helper()
	var out bytes.Buffer
	if err := flate.StatelessDeflate(&out, data, true, nil); err != nil {
		t.Fatal(err)
	}
	return out.Bytes()
}

// FuzzCompressedFrames sends frames with arbitrary compressed heads to a server,
// which must not crash.
func FuzzCompressedFrames(f *testing.F) {
	f.Add([]byte{1, 2, 3}, []byte{})
	f.Add([]byte{3, 0}, []byte("body"))
	p := newPeer(f)
	f.Fuzz(func(t *testing.T, head, body []byte) {
		c, err := net.Dial("tcp", p.server.Address())
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		for kind := byte(kindCallCompressed); kind <= kindAnswerCompressed; kind++ {
			if _, err := c.Write(rawFrame(kind, 1, head, body)); err != nil {
				return
			}
		}
		_ = c.(*net.TCPConn).CloseWrite()
		_, _ = io.Copy(io.Discard, c)
	})
}
