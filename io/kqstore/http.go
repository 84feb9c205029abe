package kqstore

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"kumquatlink/io/kqhttp"
)

// Bounds of a call; a watch is not bounded in time.
const (
	callTimeout     = 2 * time.Second
	maxRefusalBytes = 4 << 10
	// silentTime is how long a watch may pass no byte. The store writes a blank
	// line each second to one that has nothing to tell.
	silentTime = 4 * time.Second
)

// wireObject is an object as the API writes it.
type wireObject struct {
	Metadata struct {
		Name            string `json:"name"`
		ResourceVersion string `json:"resourceVersion,omitempty"`
	} `json:"metadata"`
	Spec json.RawMessage `json:"spec"`
}

func (w wireObject) object() Object {
	return Object{Name: w.Metadata.Name, Version: w.Metadata.ResourceVersion, Value: w.Spec}
}

// wireList is the answer to a list of a kind.
type wireList struct {
	Metadata struct {
		ResourceVersion string `json:"resourceVersion"`
	} `json:"metadata"`
	Items []wireObject `json:"items"`
}

// eventDeleted is the type of the event of an object that was removed.
const eventDeleted = "DELETED"

// wireEvent is one line of a watch.
type wireEvent struct {
	Type   string     `json:"type"`
	Object wireObject `json:"object"`
}

// httpClient speaks the object API over HTTP/1.1.
type httpClient struct {
	address string
	pool    *kqhttp.Pool
}

// NewHTTP makes a client of the object API at a TCP address.
func NewHTTP(address string) *Client {
	h := &httpClient{address: address, pool: kqhttp.NewPool(address, kqhttp.WithMaxIdle(2))}
	return &Client{Get: h.get, Put: h.put, Watch: h.watch, List: h.list, Delete: h.delete}
}

func (h *httpClient) do(ctx context.Context, method, path string, body []byte, into any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	response := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(response)
	h.fill(request, method, path)
	request.SetBody(body)
	if err := h.pool.Do(ctx, request, response); err != nil {
		return errors.Mark(err, ErrUnavailable)
	}
	if err := statusError(response.StatusCode(), response.Body()); err != nil {
		return err
	}
	if into == nil {
		return nil
	}
	if err := json.Unmarshal(response.Body(), into); err != nil {
		return errors.Mark(errors.Wrap(err, "read object"), ErrMalformed)
	}
	return nil
}

func (h *httpClient) list(ctx context.Context, kind string) ([]Object, string, error) {
	var l wireList
	if err := h.do(ctx, fasthttp.MethodGet, "/apis/"+kind, nil, &l); err != nil {
		return nil, "", err
	}
	objects := make([]Object, 0, len(l.Items))
	for _, w := range l.Items {
		objects = append(objects, w.object())
	}
	return objects, l.Metadata.ResourceVersion, nil
}

func (h *httpClient) delete(ctx context.Context, kind string, o Object) error {
	return h.do(ctx, fasthttp.MethodDelete, "/apis/"+kind+"/"+o.Name+"?resourceVersion="+o.Version, nil, nil)
}

func (h *httpClient) fill(request *fasthttp.Request, method, path string) {
	request.Header.SetMethod(method)
	request.SetRequestURI(path)
	request.Header.SetHost(h.address)
	request.Header.SetContentType("application/json")
}

func statusError(code int, body []byte) error {
	switch code {
	case fasthttp.StatusOK, fasthttp.StatusCreated:
		return nil
	case fasthttp.StatusNotFound:
		return errors.Mark(errors.Newf("store: %s", body), ErrNotFound)
	case fasthttp.StatusConflict:
		return errors.Mark(errors.Newf("store: %s", body), ErrConflict)
	case fasthttp.StatusGone:
		return errors.Mark(errors.Newf("store: %s", body), ErrExpired)
	default:
		return errors.Mark(errors.Newf("store: status %d: %s", code, body), ErrUnavailable)
	}
}

func (h *httpClient) get(ctx context.Context, kind, name string) (Object, error) {
	var w wireObject
	err := h.do(ctx, fasthttp.MethodGet, "/apis/"+kind+"/"+name, nil, &w)
	return w.object(), err
}

func (h *httpClient) put(ctx context.Context, kind string, o Object) (Object, error) {
	var w wireObject
	w.Metadata.Name = o.Name
	w.Metadata.ResourceVersion = o.Version
	w.Spec = o.Value
	body, err := json.Marshal(w)
	if err != nil {
		return Object{}, errors.Mark(errors.Wrap(err, "write object"), ErrMalformed)
	}
	var written wireObject
	err = h.do(ctx, fasthttp.MethodPut, "/apis/"+kind+"/"+o.Name, body, &written)
	return written.object(), err
}

func (h *httpClient) watch(ctx context.Context, kind, name, version string, take func(Object) error) error {
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	h.fill(request, fasthttp.MethodGet, "/apis/"+kind+"/"+name+"?watch=1&resourceVersion="+version)
	watching, cancel := context.WithCancel(ctx)
	defer cancel()
	silence := time.AfterFunc(silentTime, cancel)
	defer silence.Stop()
	err := h.pool.Stream(watching, request, func(status int, body io.Reader) error {
		if status == fasthttp.StatusOK {
			return readEvents(body, func() { silence.Reset(silentTime) }, take)
		}
		text, err := io.ReadAll(io.LimitReader(body, maxRefusalBytes))
		return errors.CombineErrors(statusError(status, text), err)
	})
	if ctx.Err() == nil && watching.Err() != nil {
		return errors.Mark(errors.Newf("watch passed no byte for %s", silentTime), ErrUnavailable)
	}
	if errors.Is(err, kqhttp.ErrNotSent) || errors.Is(err, kqhttp.ErrLost) {
		return errors.Mark(err, ErrUnavailable)
	}
	return err
}

func readEvents(r io.Reader, heard func(), take func(Object) error) error {
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, 2<<20)
	for lines.Scan() {
		heard()
		if len(lines.Bytes()) == 0 {
			continue
		}
		var e wireEvent
		if err := json.Unmarshal(lines.Bytes(), &e); err != nil {
			return errors.Mark(errors.Wrap(err, "read event"), ErrMalformed)
		}
		o := e.Object.object()
		o.Deleted = e.Type == eventDeleted
		if err := take(o); err != nil {
			return err
		}
	}
	return errors.Mark(errors.Newf("watch ended: %v", lines.Err()), ErrUnavailable)
}
