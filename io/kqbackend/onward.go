package kqbackend

import (
	"context"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"kumquatlink/io/kqwire"
)

// Call is a call as its sender makes it.
type Call struct {
	Service   string
	Path      string
	Class     string
	RequestID string
	// Key is the idempotency key of the call.
	Key string
	// Context is the token that the node gave the running call on whose behalf
	// this one is made.
	Context string
	// Attempt identifies one sending of a call that is sent several times
	// unchanged.
	Attempt string
	Body    []byte
}

// Answer is the end of a call as its sender sees it: an answer, or Err if none was
// received.
type Answer struct {
	Status  int
	Outcome string
	Cause   string
	Body    []byte
	Err     error
}

// Matches reports whether the answer is complete and belongs to the call c.
func (a Answer) Matches(c Call) bool {
	return string(a.Body) == Echo(c.Service, fasthttp.MethodPost, c.Path, c.Body)
}

// Echo returns the body of the complete answer to a call. It contains the whole
// call, so that the sender notices an answer that belongs to another call.
func Echo(service, method, path string, body []byte) string {
	return service + " " + method + " " + path + " " + string(body)
}

// SendFunc makes a call. The call is cancelled when ctx ends.
type SendFunc func(ctx context.Context, c Call) Answer

// headerAttempt is the header with Call.Attempt.
const headerAttempt = "Stand-In-Attempt"

func contextWithTimeout(d time.Duration) (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), d)
}

// FillRequest writes a call to a host into an HTTP request. The request refers to
// the body of the call and does not copy it.
func FillRequest(request *fasthttp.Request, host string, c Call) {
	request.Header.SetMethod(fasthttp.MethodPost)
	request.SetRequestURI(c.Path)
	request.Header.SetHost(host)
	for _, f := range [][2]string{
		{kqwire.HeaderService, c.Service},
		{kqwire.HeaderClass, c.Class},
		{kqwire.HeaderRequestID, c.RequestID},
		{kqwire.HeaderContext, c.Context},
		{kqwire.HeaderIdempotencyKey, c.Key},
		{headerAttempt, c.Attempt},
	} {
		if f[1] != "" {
			request.Header.Set(f[0], f[1])
		}
	}
	request.SetBodyRaw(c.Body)
}

// ReadAnswer copies the answer out of an HTTP response, which may be reused
// afterwards.
func ReadAnswer(response *fasthttp.Response) Answer {
	return Answer{
		Status:  response.StatusCode(),
		Outcome: string(response.Header.Peek(kqwire.HeaderOutcome)),
		Cause:   string(response.Header.Peek(kqwire.HeaderCause)),
		Body:    append([]byte(nil), response.Body()...),
	}
}

// sendToNode makes an onward call through the node on this host.
func (b *Backend) sendToNode(ctx context.Context, c Call) Answer {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	FillRequest(request, b.settings.NodeAddress, c)
	if err := b.node.Do(ctx, request, response); err != nil {
		return Answer{Err: err}
	}
	return ReadAnswer(response)
}

// onwardCalls returns the onward calls of a running call, and whether they are
// made at once.
func (b *Backend) onwardCalls(w *work) (calls []Call, parallel bool) {
	base := Call{Class: w.run.Class, RequestID: w.run.RequestID, Context: w.context}
	p, planned := ParsePosition(w.run.Path)
	if !planned {
		for _, s := range b.settings.Onward {
			c := base
			c.Service, c.Path = s, w.run.Path
			calls = append(calls, c)
		}
		return calls, false
	}
	step, found := b.settings.Plans[p.Kind].Find(p)
	if !found {
		return nil, false
	}
	serial := b.settings.Service + strconv.FormatInt(b.serial.Add(1), 36)
	for i, s := range step.Steps {
		c := base
		c.Service = s.Service
		c.Path = p.Onward(i, serial).Path()
		if w.run.Key != "" {
			c.Key = w.run.Key + "." + strconv.Itoa(i)
		}
		calls = append(calls, c)
	}
	return calls, step.Parallel
}

// callOnward makes the onward calls of a running call. It reports whether all of
// them succeeded. After a failure it makes no further calls, unless all are made
// at once.
func (b *Backend) callOnward(w *work) bool {
	calls, parallel := b.onwardCalls(w)
	if !parallel {
		for _, c := range calls {
			if !b.callOne(w, c) {
				return false
			}
		}
		return true
	}
	var group sync.WaitGroup
	var failed atomic.Bool
	for _, c := range calls {
		group.Go(func() {
			if !b.callOne(w, c) {
				failed.Store(true)
			}
		})
	}
	group.Wait()
	return !failed.Load()
}

// callOne makes one onward call and reports whether it succeeded. Calls of a plan
// are recorded, without the body of the answer.
func (b *Backend) callOne(w *work, c Call) bool {
	begun := time.Now()
	answer := b.settings.Send(w.ctx, c)
	succeeded := answer.Err == nil && answer.Status == fasthttp.StatusOK
	if _, planned := ParsePosition(c.Path); planned {
		s := Send{Call: c, Answer: answer, At: begun, Ended: time.Now(), Wrong: succeeded && !answer.Matches(c)}
		s.Answer.Body = nil
		b.record.update(func() { b.record.sends = append(b.record.sends, s) })
	}
	return succeeded
}
