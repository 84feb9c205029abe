package kqhttp

import (
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
)

// uploadCheckPeriod is the time in which a server that has answered early must have
// received more of its call, or the rest of the call is given up.
const uploadCheckPeriod = 500 * time.Millisecond

// upload is the body of a call that is written while its answer is read.
type upload struct {
	done chan struct{}
	// err is the error of the write. It is valid when done is closed.
	err error
}

// send writes a call. It leaves a large body to a goroutine, since a server may answer
// before it has read the whole call, and stop reading.
func (c *connection) send(request *fasthttp.Request) error {
	body := request.Body()
	if len(body) <= bufferSize {
		if err := request.Write(c.writer); err != nil {
			return err
		}
		return c.writer.Flush()
	}
	request.Header.SetContentLength(len(body))
	if err := request.Header.Write(c.writer); err != nil {
		return err
	}
	u := &upload{done: make(chan struct{})}
	c.upload = u
	go func() {
		defer close(u.done)
		if _, u.err = c.writer.Write(body); u.err == nil {
			u.err = c.writer.Flush()
		}
	}()
	return nil
}

// finishUpload waits until the call is written, as long as the server receives more of it,
// and reports whether it is. Otherwise it closes the connection.
func (c *connection) finishUpload() bool {
	u := c.upload
	if u == nil {
		return true
	}
	c.upload = nil
	t := time.NewTicker(uploadCheckPeriod)
	defer t.Stop()
	for acknowledged := c.probe.acknowledged(); ; {
		select {
		case <-u.done:
			return u.err == nil
		case <-t.C:
		}
		before := acknowledged
		if acknowledged = c.probe.acknowledged(); acknowledged == before {
			_ = c.Close()
			<-u.done
			return false
		}
	}
}

// abortUpload closes the connection and returns the error of the upload, if any, once its
// goroutine has ended.
func (c *connection) abortUpload() error {
	_ = c.Close()
	u := c.upload
	if u == nil {
		return nil
	}
	c.upload = nil
	<-u.done
	return errors.Wrap(u.err, "write call")
}
