package kqhttp_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"kumquatlink/io/kqhttp"
)

// earlyUploadBytes is more than the buffers of a connection hold, so that the upload
// is still being written when its answer arrives.
const earlyUploadBytes = 32 << 20

// Ways in which a server ends a connection after an early answer.
func reset(c net.Conn, _ io.Reader) {
	_ = c.(*net.TCPConn).SetLinger(0)
	_ = c.Close()
}

// closeUnread closes the connection while a part of the upload is unread, for which
// the kernel resets it.
func closeUnread(c net.Conn, _ io.Reader) {
	var one [1]byte
	_, _ = c.Read(one[:])
	_ = c.Close()
}

func endThenReset(c net.Conn, r io.Reader) {
	_ = c.(*net.TCPConn).CloseWrite()
	reset(c, r)
}

func endThenReadOn(c net.Conn, r io.Reader) {
	_ = c.(*net.TCPConn).CloseWrite()
	_, _ = io.CopyN(io.Discard, r, earlyUploadBytes)
	_ = c.Close()
}

func readOn(c net.Conn, r io.Reader) {
	_, _ = io.CopyN(io.Discard, r, earlyUploadBytes)
	_ = c.Close()
}

// stopReading keeps the connection open and reads nothing more.
func stopReading(net.Conn, io.Reader) {}

func endThenStopReading(c net.Conn, _ io.Reader) {
	_ = c.(*net.TCPConn).CloseWrite()
}

// earlyAnswers lists answers that are written before the server has read the upload.
var earlyAnswers = []struct {
	name, text string
	end        func(c net.Conn, r io.Reader)
	// isWhole reports whether the answer with the body "whole" has arrived.
	isWhole bool
}{
	{"without length, reset", "HTTP/1.1 200 OK\r\n\r\nwhole", reset, false},
	{"without length, reset without a body", "HTTP/1.1 200 OK\r\n\r\n", reset, false},
	{"without length, closed unread", "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nwhole", closeUnread, false},
	{"without length, HTTP/1.0, reset", "HTTP/1.0 200 OK\r\n\r\nwhole", reset, false},
	{"without length, reset after hints", "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\n\r\nwhole", reset, false},
	{"without length, ended, then reset", "HTTP/1.1 200 OK\r\n\r\nwhole", endThenReset, true},
	{"without length, ended, upload read", "HTTP/1.1 200 OK\r\n\r\nwhole", endThenReadOn, true},
	{"length, reset", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole", reset, true},
	{"length, reset within the body", "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nwhole", reset, false},
	{"length, closed unread", "HTTP/1.1 413 Too Large\r\nContent-Length: 5\r\nConnection: close\r\n\r\nwhole", closeUnread, true},
	{"length, upload read", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole", readOn, true},
	{"chunks, reset", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n", reset, true},
	{"chunks, reset before the last one", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n", reset, false},
	{"chunks, reset within the trailer", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n", reset, false},
	{"length, upload not read", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole", stopReading, true},
	{"chunks, upload not read", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n", stopReading, true},
	{"hints, upload not read", "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 413 Too Large\r\nContent-Length: 5\r\nConnection: close\r\n\r\nwhole", stopReading, true},
	{"without length, ended, upload not read", "HTTP/1.1 200 OK\r\n\r\nwhole", endThenStopReading, true},
	{"malformed, upload not read", "HTTP/1.1 000 OK\r\nContent-Length: 5\r\n\r\nwhole", stopReading, false},
	{"head, reset", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n", reset, false},
}

// maxEarlyTime is the time in which the outcome of an early answer must be known. It is
// far below the deadline of the calls.
const maxEarlyTime = 10 * time.Second

// serveEarly answers one upload as soon as its head has arrived. It closes the connection,
// if end has not, when ctx ends.
func serveEarly(ctx context.Context, l net.Listener, text string, end func(c net.Conn, r io.Reader)) {
	c, err := l.Accept()
	if err != nil {
		return
	}
	defer func() { _ = c.Close() }()
	var head fasthttp.RequestHeader
	r := bufio.NewReader(c)
	if head.Read(r) != nil {
		return
	}
	_, _ = io.WriteString(c, text)
	end(c, r)
	<-ctx.Done()
}

// newUpload returns a request with a body of earlyUploadBytes.
func newUpload() *fasthttp.Request {
	request := &fasthttp.Request{}
	request.Header.SetMethod(fasthttp.MethodPost)
	request.SetRequestURI("/upload")
	request.Header.SetHost("backend")
	request.SetBodyRaw(make([]byte, earlyUploadBytes))
	return request
}

// TestEarlyAnswerThatWasResetIsPassedOn guards against a reset that the write of the
// upload meets. The kernel reports it once and then says that the stream has ended,
// which looks like the end of an answer without a length.
func TestEarlyAnswerThatWasResetIsPassedOn(t *testing.T) {
	for _, e := range earlyAnswers {
		l := listen(t)
		ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
		go serveEarly(ctx, l, e.text, e.end)
		response := &fasthttp.Response{}
		begun := time.Now()
		err := kqhttp.NewPool(l.Addr().String()).Do(ctx, newUpload(), response)
		cancel()
		checkEarly(t, e.name, time.Since(begun), e.isWhole, string(response.Body()), err)
	}
}

// TestEarlyStreamThatWasResetLooksWhole does the same with bodies that are passed on
// while they arrive.
func TestEarlyStreamThatWasResetLooksWhole(t *testing.T) {
	for _, e := range earlyAnswers {
		l := listen(t)
		ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
		go serveEarly(ctx, l, e.text, e.end)
		var body []byte
		begun := time.Now()
		err := kqhttp.NewPool(l.Addr().String()).Stream(ctx, newUpload(), func(_ *fasthttp.ResponseHeader, r io.Reader) error {
			var err error
			body, err = io.ReadAll(r)
			return errors.Mark(err, kqhttp.ErrLost)
		})
		cancel()
		checkEarly(t, e.name, time.Since(begun), e.isWhole, string(body), err)
	}
}

// checkEarly checks the body of an early answer, or the error in place of one, and the
// time that the call took.
func checkEarly(t *testing.T, name string, took time.Duration, isWhole bool, body string, err error) {
	t.Helper()
	if took > maxEarlyTime {
		t.Errorf("%s: got the outcome after %s, want it within %s", name, took, maxEarlyTime)
	}
	switch {
	case isWhole && (err != nil || body != "whole"):
		t.Errorf("%s: got body %q, %v, want the whole body", name, body, err)
	case !isWhole && !errors.Is(err, kqhttp.ErrLost):
		t.Errorf("%s: got body %q, %v, want an error marked ErrLost", name, body, err)
	}
}

// TestCallWithAnEarlyAnswerIsCutOff guards against giving up the rest of a call to a
// server that has answered and reads on, slowly. The connection then takes the next call.
func TestCallWithAnEarlyAnswerIsCutOff(t *testing.T) {
	l := listen(t)
	received := make(chan int64, 1)
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer func() { _ = c.Close() }()
		const answer = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole"
		var head fasthttp.RequestHeader
		r := bufio.NewReader(c)
		if head.Read(r) != nil {
			return
		}
		_, _ = io.WriteString(c, answer)
		sum := int64(0)
		for err == nil && sum < earlyUploadBytes {
			<-time.After(300 * time.Millisecond)
			var n int64
			n, err = io.CopyN(io.Discard, r, earlyUploadBytes/8)
			sum += n
		}
		received <- sum
		if head.Read(r) == nil {
			_, _ = io.WriteString(c, answer)
		}
	}()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	p, response := kqhttp.NewPool(l.Addr().String()), &fasthttp.Response{}
	if err := p.Do(ctx, newUpload(), response); err != nil || string(response.Body()) != "whole" {
		t.Errorf("call: got body %q, %v, want the whole body", response.Body(), err)
	}
	if got, want := <-received, int64(earlyUploadBytes); got != want {
		t.Errorf("bytes that the server received: got %d, want %d", got, want)
	}
	if err := callPool(ctx, p, response); err != nil {
		t.Errorf("next call on the connection: got %v, want an answer", err)
	}
}
