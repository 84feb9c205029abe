package kqmeasure

import (
	"context"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"kumquatlink/io/kqbackend"
)

// Constants of the requests with keys that precede a trial.
const (
	keyCheckRequests = 12
	keyCheckInterval = 200 * time.Millisecond
	// keyCheckPrefix begins the IDs of these requests, which no report counts.
	keyCheckPrefix = "settle"
)

// awaitKeyHomes sends rounds of requests with idempotency keys until all
// requests of one round complete. The nodes of a new fleet first have to agree on
// the home of each key.
func (tb *testbed) awaitKeyHomes(ctx context.Context) error {
	for round := 0; ; round++ {
		causes := tb.sendKeyRound(ctx, round)
		if len(causes) == 0 {
			return nil
		}
		if !sleep(ctx, keyCheckInterval) {
			return errors.Wrapf(ctx.Err(), "wait for key homes: round %d ended with %v, failed onward calls so far: %v", round, causes, tb.failedOnwardCalls())
		}
	}
}

// failedOnwardCalls counts the answered onward calls that did not complete, by
// calling node, called service, outcome and cause.
func (tb *testbed) failedOnwardCalls() map[string]int {
	causes := map[string]int{}
	for _, h := range tb.hosts("") {
		for _, s := range h.backend.Sends() {
			if s.Answer.Err == nil && s.Answer.Status != fasthttp.StatusOK {
				causes[h.place.NodeID+" to "+s.Call.Service+" "+s.Answer.Outcome+" "+s.Answer.Cause]++
			}
		}
	}
	return causes
}

// sendKeyRound sends one round and counts the requests that did not complete, by
// outcome and cause.
func (tb *testbed) sendKeyRound(ctx context.Context, round int) map[string]int {
	var callers sync.WaitGroup
	var mutex sync.Mutex
	causes := map[string]int{}
	for _, k := range tb.profile.Kinds {
		for i := range keyCheckRequests {
			if !k.Key {
				continue
			}
			id := keyCheckPrefix + strconv.Itoa(round) + "x" + strconv.Itoa(i)
			callers.Go(func() {
				a := tb.sendKeyRequest(ctx, k, id, tb.profile.Regions[i%len(tb.profile.Regions)])
				if a.Err == nil && a.Status == fasthttp.StatusOK {
					return
				}
				mutex.Lock()
				defer mutex.Unlock()
				causes[a.Outcome+" "+a.Cause]++
			})
		}
	}
	callers.Wait()
	return causes
}

// sendKeyRequest sends one request with its ID as the idempotency key.
func (tb *testbed) sendKeyRequest(ctx context.Context, k Kind, id, region string) kqbackend.Answer {
	ctx, cancel := context.WithTimeout(ctx, tb.profile.targetTime(k.Name)+callerGrace)
	defer cancel()
	c := kqbackend.Call{
		Service: k.Plan.Service, Class: k.Name, RequestID: id, Key: id,
		Path: kqbackend.Position{Kind: k.Name, CallID: id}.Path(),
	}
	answer, _ := tb.send(ctx, region, c, rand.New(rand.NewPCG(tb.seed, uint64(len(id)))))
	return answer
}
