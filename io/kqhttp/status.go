package kqhttp

import (
	"bufio"
	"bytes"
	"io"
	"strconv"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
)

// maxInterimAnswers is the number of interim answers, such as 103 Early Hints,
// after which a call fails.
const maxInterimAnswers = 100

// Statuses of answers.
const (
	minStatus      = 100
	minFinalStatus = 200
	maxStatus      = 599
	statusDigits   = 3
)

// IsFinalStatus reports whether the status is one of a final answer.
func IsFinalStatus(status int) bool {
	return status >= minFinalStatus && status <= maxStatus
}

// maxHeadBytes bounds the status line and the headers of an answer. Heads that do
// not fit into the connection's buffer are read with one of this size.
const maxHeadBytes = 64 << 10

// readAnswerHead reads the status line and the headers of a final answer, after
// any interim ones. It fails if the status is none of HTTP, or if the server
// wants to switch protocols, which no call asks for.
func (c *connection) readAnswerHead(response *fasthttp.Response) error {
	response.ResetBody()
	for range maxInterimAnswers {
		// The codec reports the status 000 as 200.
		status, err := peekStatus(c.reader)
		if err != nil {
			return err
		}
		err = response.Header.Read(c.reader)
		var small *fasthttp.ErrSmallBuffer
		if errors.As(err, &small) && c.reader.Size() < maxHeadBytes {
			c.growReader()
			err = response.Header.Read(c.reader)
		}
		if err != nil {
			return err
		}
		switch {
		case IsFinalStatus(status) && status == response.StatusCode():
			return nil
		case status < minStatus || status > maxStatus || status == fasthttp.StatusSwitchingProtocols:
			return errors.Newf("server sent an answer with the status %03d", status)
		}
	}
	return errors.Newf("server sent %d interim answers", maxInterimAnswers)
}

// growReader replaces the connection's reader by one with a buffer of maxHeadBytes.
func (c *connection) growReader() {
	buffered, _ := c.reader.Peek(c.reader.Buffered())
	c.reader = bufio.NewReaderSize(io.MultiReader(bytes.NewReader(bytes.Clone(buffered)), c), maxHeadBytes)
}

// peekStatus returns the status of the answer that reader is at, and consumes
// nothing.
func peekStatus(reader *bufio.Reader) (int, error) {
	for size := 1; ; size = reader.Buffered() + 1 {
		if _, err := reader.Peek(size); err != nil {
			return 0, errors.Wrap(err, "read status line")
		}
		buffered, err := reader.Peek(reader.Buffered())
		if err != nil {
			return 0, errors.Wrap(err, "read status line")
		}
		line, _, isWhole := bytes.Cut(bytes.TrimLeft(buffered, "\r\n"), []byte("\n"))
		_, text, _ := bytes.Cut(line, []byte(" "))
		text = bytes.TrimLeft(text, " ")
		if len(text) >= statusDigits {
			status, err := strconv.ParseUint(string(text[:statusDigits]), 10, 16)
			return int(status), errors.Wrap(err, "parse status line")
		}
		if isWhole {
			return 0, errors.Newf("server sent the status line %q", line)
		}
	}
}

// hasBody reports whether a body follows the headers of the answer.
func hasBody(response *fasthttp.Response) bool {
	status := response.StatusCode()
	return !response.SkipBody && status != fasthttp.StatusNoContent && status != fasthttp.StatusNotModified
}
