package kqmeasure

import (
	"context"
	"math/rand/v2"
	"strconv"
	"sync"
	"sync/atomic"
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
		if w.settleRound(ctx, round) {
			return nil
		}
		if !pause(ctx, settlePause) {
			return errors.Wrap(ctx.Err(), "settle keys")
		}
	}
}

// settleRound sends one round and says whether every request completed.
func (w *world) settleRound(ctx context.Context, round int) bool {
	var callers sync.WaitGroup
	var failed atomic.Int64
	for _, k := range w.profile.Kinds {
		for i := range settleRequests {
			if !k.Key {
				continue
			}
			id := settlePrefix + strconv.Itoa(round) + "x" + strconv.Itoa(i)
			callers.Go(func() {
				if !w.settleOne(ctx, k, id, w.profile.Regions[i%len(w.profile.Regions)]) {
					failed.Add(1)
				}
			})
		}
	}
	callers.Wait()
	return failed.Load() == 0
}

func (w *world) settleOne(ctx context.Context, k Kind, id, region string) bool {
	ctx, cancel := context.WithTimeout(ctx, w.profile.within(k.Name)+callerGrace)
	defer cancel()
	c := kqbackend.Call{
		Service: k.Plan.Service, Class: k.Name, RequestID: id, Key: id,
		Path: kqbackend.Position{Kind: k.Name, CallID: id}.Path(),
	}
	random := rand.New(rand.NewPCG(w.seed, uint64(len(id))))
	answer, _ := w.send(ctx, region, c, random)
	return answer.Err == nil && answer.Status == fasthttp.StatusOK
}
