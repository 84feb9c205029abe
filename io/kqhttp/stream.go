package kqhttp

import (
	"bytes"
	"context"
	"io"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
)

// Stream sends the call over a new connection outside the pool and passes the
// header and the body of the answer to handle while the body arrives. When ctx
// ends, the connection is closed and reading the body fails. Stream returns the
// error of handle, or one marked with [ErrNotSent] or [ErrLost].
func (p *Pool) Stream(ctx context.Context, request *fasthttp.Request, handle func(header *fasthttp.ResponseHeader, body io.Reader) error) error {
	raw, err := p.dial(ctx, p.address)
	if err != nil {
		return errors.Mark(errors.Wrapf(err, "connect to %s", p.address), ErrNotSent)
	}
	c := newConnection(raw)
	defer func() { _ = c.Close() }()
	defer context.AfterFunc(ctx, func() { _ = c.Close() })()
	response := &fasthttp.Response{StreamBody: true}
	body, err := p.exchange(ctx, c, request, response)
	if err != nil {
		return errors.Mark(errors.Wrapf(errors.CombineErrors(err, c.abortUpload()), "call %s", p.address), ErrLost)
	}
	if body == nil {
		body = bytes.NewReader(nil)
	}
	if err := handle(&response.Header, body); err != nil {
		_ = c.abortUpload()
		return err
	}
	c.finishUpload()
	return nil
}
