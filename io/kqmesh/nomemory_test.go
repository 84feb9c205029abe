package kqmesh

import (
	"context"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"kumquatlink/core/kqcall"
	"kumquatlink/io/kqbody"
)

// TestDeadlineDuringAWaitForMemoryIsAShortage ends calls whose answers waited for memory.
func TestDeadlineDuringAWaitForMemoryIsAShortage(t *testing.T) {
	noRoom := errors.Mark(errors.New("no room by the test"), kqbody.ErrNoRoom)
	over, cancel := context.WithDeadline(t.Context(), time.Unix(0, 0))
	defer cancel()
	gone, leave := context.WithCancel(t.Context())
	leave()
	for _, q := range []struct {
		name string
		ctx  context.Context
		want kqcall.Cause
	}{{"time left", t.Context(), kqcall.CauseNoMemory}, {"deadline over", over, kqcall.CauseDeadline}, {"caller gone", gone, kqcall.CauseCallerGone}} {
		got := endOfBackendError(q.ctx, noRoom)
		if want := kqcall.Unknown(q.want); got != want {
			t.Errorf("end with %s: got %+v, want %+v", q.name, got, want)
		}
	}
}
