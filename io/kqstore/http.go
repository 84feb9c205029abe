package kqstore

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"kumquatlink/io/kqhttp"
	"kumquatlink/io/kqjson"
)

// Limits of a call.
const (
	// callTimeout bounds every call but a watch, which has no overall timeout.
	callTimeout = 2 * time.Second
	// maxErrorBodyBytes limits how much of the body of an error answer is read.
	maxErrorBodyBytes = 4 << 10
	// watchIdleTimeout ends a watch that has received no line for this time. The
	// store writes a blank line each second to a watch without events.
	watchIdleTimeout = 4 * time.Second
)

// wireObject is the JSON form of an object.
type wireObject struct {
	Metadata struct {
		Name            string `json:"name"`
		ResourceVersion string `json:"resourceVersion,omitempty"`
	} `json:"metadata"`
	Spec json.RawMessage `json:"spec"`
}

// object returns the object, which an answer of that era contained.
func (w wireObject) object(era int64) Object {
	return Object{Name: w.Metadata.Name, Version: FormatVersion(era, w.Metadata.ResourceVersion), Value: w.Spec}
}

// decodeObject decodes an object. Its spec stays as it is, so that what other
// writers put there does not matter to its name and version.
func decodeObject(text []byte) (wireObject, error) {
	var w wireObject
	fields, err := kqjson.Fields(text)
	if err != nil {
		return w, err
	}
	w.Spec = fields["spec"]
	return w, decodeField(fields, "metadata", &w.Metadata)
}

// decodeField decodes a field if it is there.
func decodeField(fields map[string][]byte, name string, value any) error {
	text, found := fields[name]
	if !found {
		return nil
	}
	return errors.Wrapf(json.Unmarshal(text, value), "field %s", name)
}

// wireList is the JSON answer to a request for all objects of a kind.
type wireList struct {
	Metadata struct {
		ResourceVersion string `json:"resourceVersion"`
	} `json:"metadata"`
	Items []wireObject `json:"items"`
}

// decodeList decodes a list. It leaves out an item without a readable name and
// version, which nobody could use or replace.
func decodeList(text []byte) (wireList, error) {
	var l wireList
	fields, err := kqjson.Fields(text)
	if err != nil {
		return l, err
	}
	items, err := kqjson.Elements(fields["items"])
	if err != nil {
		return l, err
	}
	for _, i := range items {
		if w, err := decodeObject(i); err == nil && w.Metadata.Name != "" {
			l.Items = append(l.Items, w)
		}
	}
	return l, decodeField(fields, "metadata", &l.Metadata)
}

// eventDeleted is the type of the event that reports a removed object.
const eventDeleted = "DELETED"

// wireEvent is the JSON form of one event of a watch, which is one line.
type wireEvent struct {
	Type   string     `json:"type"`
	Object wireObject `json:"object"`
}

func decodeEvent(text []byte) (wireEvent, error) {
	var e wireEvent
	fields, err := kqjson.Fields(text)
	if err != nil {
		return e, err
	}
	if e.Object, err = decodeObject(fields["object"]); err != nil {
		return e, err
	}
	return e, decodeField(fields, "type", &e.Type)
}

// httpClient implements the calls of the object API over HTTP/1.1.
type httpClient struct {
	address string
	pool    *kqhttp.Pool
	eras    *Eras
	// heardAt is when a list was last read or a line of a watch, in Unix nanoseconds.
	heardAt atomic.Int64
}

// NewHTTP returns a client of the object API at a TCP address.
func NewHTTP(address string) *Client {
	h := &httpClient{address: address, pool: kqhttp.NewPool(address, kqhttp.WithMaxIdle(2)), eras: NewEras(time.Now)}
	return &Client{Get: h.get, Put: h.put, Watch: h.watch, List: h.list, Delete: h.delete, Era: h.eras.Newest, HeardAt: h.lastHeard}
}

// recordHeard records that a list was read, or a line of a watch.
func (h *httpClient) recordHeard() {
	h.heardAt.Store(time.Now().UnixNano())
}

// lastHeard returns when a list was last read, or a line of a watch.
func (h *httpClient) lastHeard() time.Time {
	return time.Unix(0, h.heardAt.Load())
}

// do makes a call and returns its JSON answer and the era that the answer states.
func (h *httpClient) do(ctx context.Context, method, path string, body []byte) ([]byte, int64, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	response := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(response)
	h.prepare(request, method, path)
	request.SetBody(body)
	if err := h.pool.Do(ctx, request, response); err != nil {
		return nil, UnknownEra, errors.Mark(err, ErrUnavailable)
	}
	era, err := h.eras.RecordAnswer(response.Header.Peek(HeaderEra), statusError(response.StatusCode(), response.Body()))
	if err != nil {
		return nil, era, err
	}
	return bytes.Clone(response.Body()), era, nil
}

// readObject decodes the object that is the answer to a call.
func readObject(text []byte, era int64) (Object, error) {
	w, err := decodeObject(text)
	return w.object(era), errors.Mark(errors.Wrap(err, "decode object"), ErrMalformed)
}

// write makes a call that changes the object of that version. It fails with a
// conflict if the store was restored since, as far as that is known.
func (h *httpClient) write(ctx context.Context, method, path, version string, body []byte) ([]byte, int64, error) {
	if err := h.eras.CheckWrite(version); err != nil {
		return nil, UnknownEra, err
	}
	answer, era, err := h.do(ctx, method, path, body)
	if err == nil {
		err = CheckWritten(version, era)
	}
	return answer, era, err
}

func (h *httpClient) list(ctx context.Context, kind string) ([]Object, string, error) {
	text, era, err := h.do(ctx, fasthttp.MethodGet, "/apis/"+kind, nil)
	if err != nil {
		return nil, "", err
	}
	l, err := decodeList(text)
	if err != nil {
		return nil, "", errors.Mark(errors.Wrap(err, "decode list"), ErrMalformed)
	}
	objects := make([]Object, 0, len(l.Items))
	for _, w := range l.Items {
		objects = append(objects, w.object(era))
	}
	h.recordHeard()
	return objects, FormatVersion(era, l.Metadata.ResourceVersion), nil
}

func (h *httpClient) delete(ctx context.Context, kind string, o Object) error {
	_, revision := ParseVersion(o.Version)
	_, _, err := h.write(ctx, fasthttp.MethodDelete, "/apis/"+kind+"/"+o.Name+"?resourceVersion="+revision, o.Version, nil)
	return err
}

// prepare sets the method, path and headers of a request.
func (h *httpClient) prepare(request *fasthttp.Request, method, path string) {
	request.Header.SetMethod(method)
	request.SetRequestURI(path)
	request.Header.SetHost(h.address)
	request.Header.SetContentType("application/json")
}

// statusError converts the status and body of an answer to an error, or nil for
// success.
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
	text, era, err := h.do(ctx, fasthttp.MethodGet, "/apis/"+kind+"/"+name, nil)
	if err != nil {
		return Object{}, err
	}
	return readObject(text, era)
}

func (h *httpClient) put(ctx context.Context, kind string, o Object) (Object, error) {
	var w wireObject
	w.Metadata.Name = o.Name
	_, w.Metadata.ResourceVersion = ParseVersion(o.Version)
	w.Spec = o.Value
	body, err := json.Marshal(w)
	if err != nil {
		return Object{}, errors.Mark(errors.Wrap(err, "encode object"), ErrMalformed)
	}
	text, era, err := h.write(ctx, fasthttp.MethodPut, "/apis/"+kind+"/"+o.Name, o.Version, body)
	if err != nil {
		return Object{}, err
	}
	return readObject(text, era)
}

func (h *httpClient) watch(ctx context.Context, kind, name, version string, handle func(Object) error) error {
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	watchedEra, revision := ParseVersion(version)
	h.prepare(request, fasthttp.MethodGet, "/apis/"+kind+"/"+name+"?watch=1&resourceVersion="+revision)
	watchCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	idleTimer := time.AfterFunc(watchIdleTimeout, cancel)
	defer idleTimer.Stop()
	err := h.pool.Stream(watchCtx, request, func(header *fasthttp.ResponseHeader, body io.Reader) error {
		if status := header.StatusCode(); status != fasthttp.StatusOK {
			text, err := io.ReadAll(io.LimitReader(body, maxErrorBodyBytes))
			_, statusErr := h.eras.RecordAnswer(header.Peek(HeaderEra), statusError(status, text))
			return errors.CombineErrors(statusErr, err)
		}
		era, err := h.eras.Record(header.Peek(HeaderEra))
		if err == nil {
			err = CheckEra(watchedEra, era)
		}
		if err != nil {
			return err
		}
		received := func() {
			h.recordHeard()
			idleTimer.Reset(watchIdleTimeout)
		}
		received()
		return readEvents(body, era, received, handle)
	})
	if ctx.Err() == nil && watchCtx.Err() != nil {
		return errors.Mark(errors.Newf("watch received nothing for %s", watchIdleTimeout), ErrUnavailable)
	}
	if errors.Is(err, kqhttp.ErrNotSent) || errors.Is(err, kqhttp.ErrLost) {
		return errors.Mark(err, ErrUnavailable)
	}
	return err
}

// readEvents calls handle for each event of a watch in that era. It calls received for each line,
// including the blank ones.
func readEvents(r io.Reader, era int64, received func(), handle func(Object) error) error {
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, 2<<20)
	for lines.Scan() {
		received()
		if len(lines.Bytes()) == 0 {
			continue
		}
		e, err := decodeEvent(bytes.Clone(lines.Bytes()))
		if err != nil || e.Object.Metadata.Name == "" {
			// Nobody could use or replace an object without a readable name and version.
			continue
		}
		o := e.Object.object(era)
		o.Deleted = e.Type == eventDeleted
		if err := handle(o); err != nil {
			return err
		}
	}
	return errors.Mark(errors.Newf("watch stream ended: %v", lines.Err()), ErrUnavailable)
}
