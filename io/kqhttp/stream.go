package kqhttp

import (
	"bytes"
	"context"
	"io"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
)

// Stream sends the call over a connection of its own and hands the answer's
// body to take while it arrives. The end of ctx closes the connection, which
// ends the body with an error.
func (p *Pool) Stream(ctx context.Context, request *fasthttp.Request, take func(status int, body io.Reader) error) error {
	raw, err := p.dial(ctx, p.address)
	if err != nil {
		return errors.Mark(errors.Wrapf(err, "connect to %s", p.address), ErrNotSent)
	}
	c := newConnection(raw)
	defer func() { _ = c.Close() }()
	defer context.AfterFunc(ctx, func() { _ = c.Close() })()
	response := &fasthttp.Response{StreamBody: true}
	if err := p.exchange(c, request, response); err != nil {
		return errors.Mark(errors.Wrapf(err, "call %s", p.address), ErrLost)
	}
	if body := response.BodyStream(); body != nil {
		return take(response.StatusCode(), body)
	}
	return take(response.StatusCode(), bytes.NewReader(response.Body()))
}
