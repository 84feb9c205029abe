package kqhttp

import (
	"bufio"
	"io"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
)

// maxInterimAnswers is the number of interim answers, such as 103 Early Hints,
// after which a call fails.
const maxInterimAnswers = 100

// maxHeadBytes bounds the status line and the fields of an answer, in bytes.
const maxHeadBytes = 64 << 10

// readAnswerHead reads the head of a final answer, after any interim ones, and sets the
// status and the fields of the response. It fails at the first malformed line.
func (c *connection) readAnswerHead(response *fasthttp.Response) error {
	response.ResetBody()
	for range maxInterimAnswers {
		if err := c.readHead(); err != nil {
			return err
		}
		if c.head.IsFinal() {
			c.setHead(response)
			return nil
		}
	}
	return errors.Newf("server sent %d interim answers", maxInterimAnswers)
}

// readHead reads the lines of the next head.
func (c *connection) readHead() error {
	c.head.Reset()
	left := maxHeadBytes
	for {
		line, err := c.readLine(left)
		if err != nil {
			return errors.Wrap(err, "read head")
		}
		left -= len(line)
		isComplete, err := c.head.AddLine(line)
		if err != nil || isComplete {
			return err
		}
	}
}

// readLine reads the next line, with its line end, of at most limit bytes. The line is
// valid until the next read.
func (c *connection) readLine(limit int) ([]byte, error) {
	part, err := c.reader.ReadSlice('\n')
	line := part
	if errors.Is(err, bufio.ErrBufferFull) {
		line = nil
		for errors.Is(err, bufio.ErrBufferFull) && len(line)+len(part) <= limit {
			line = append(line, part...)
			part, err = c.reader.ReadSlice('\n')
		}
		line = append(line, part...)
	}
	switch {
	case len(line) > limit:
		return nil, errors.Newf("line goes on after %d bytes", limit)
	case errors.Is(err, io.EOF):
		return nil, io.ErrUnexpectedEOF
	}
	return line, err
}

// setHead sets the status and the fields of a response to those of the head.
func (c *connection) setHead(response *fasthttp.Response) {
	h := &response.Header
	h.Reset()
	h.SetStatusCode(c.head.Status)
	for _, f := range c.head.Fields {
		// The codec takes fields that are listed in Trailer out of the head.
		if !strings.EqualFold(f.Name, fasthttp.HeaderTrailer) {
			h.Add(f.Name, f.Value)
		}
	}
	if c.head.Closes() {
		h.SetConnectionClose()
	}
}
