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

// Settling of keys.
const (
	settleRequests = 12
	settlePause    = 200 * time.Millisecond
	// settlePrefix begins the IDs of requests that no report counts.
	settlePrefix = "settle"
)

// settleKeys sends requests with keys, a round at a time, until a whole round
// completes: a fresh fleet first agrees on which node is the home of which key.
func (w *world) settleKeys(ctx context.Context) error {
	for round := 0; ; round++ {
		causes := w.settleRound(ctx, round)
		if len(causes) == 0 {
			return nil
		}
		if !pause(ctx, settlePause) {
			return errors.Wrapf(ctx.Err(), "settle keys, round %d ended with %v, onward calls so far with %v", round, causes, w.settleRefusals())
		}
	}
}

// settleRefusals counts the onward calls of these requests that did not
// complete, by service, place of the maker and cause.
func (w *world) settleRefusals() map[string]int {
	causes := map[string]int{}
	for _, h := range w.hosts("") {
		for _, s := range h.backend.Sends() {
			if s.Answer.Err == nil && s.Answer.Status != fasthttp.StatusOK {
				causes[h.place.NodeID+" to "+s.Call.Service+" "+s.Answer.Outcome+" "+s.Answer.Cause]++
			}
		}
	}
	return causes
}

// settleRound sends one round and counts the causes of requests that did not
// complete.
func (w *world) settleRound(ctx context.Context, round int) map[string]int {
	var callers sync.WaitGroup
	var mutex sync.Mutex
	causes := map[string]int{}
	for _, k := range w.profile.Kinds {
		for i := range settleRequests {
			if !k.Key {
				continue
			}
			id := settlePrefix + strconv.Itoa(round) + "x" + strconv.Itoa(i)
			callers.Go(func() {
				a := w.settleOne(ctx, k, id, w.profile.Regions[i%len(w.profile.Regions)])
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

func (w *world) settleOne(ctx context.Context, k Kind, id, region string) kqbackend.Answer {
	ctx, cancel := context.WithTimeout(ctx, w.profile.within(k.Name)+callerGrace)
	defer cancel()
	c := kqbackend.Call{
		Service: k.Plan.Service, Class: k.Name, RequestID: id, Key: id,
		Path: kqbackend.Position{Kind: k.Name, CallID: id}.Path(),
	}
	answer, _ := w.send(ctx, region, c, rand.New(rand.NewPCG(w.seed, uint64(len(id)))))
	return answer
}
