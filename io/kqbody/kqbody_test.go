package kqbody_test

import (
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/cockroachdb/errors"

	"kumquatlink/io/kqbody"
)

func TestReadAcceptsBodiesUpToTheLimit(t *testing.T) {
	for _, c := range []struct {
		length, announced, limit int
		want                     error
	}{
		{0, 0, 10, nil},
		{0, -1, 10, nil},
		{10, 10, 10, nil},
		{10, -1, 10, nil},
		{11, -1, 10, kqbody.ErrTooLarge},
		{11, 11, 10, kqbody.ErrTooLarge},
		{200 << 10, 200 << 10, 1 << 20, nil},
		{200 << 10, -1, 200 << 10, nil},
		{200<<10 + 1, -1, 200 << 10, kqbody.ErrTooLarge},
		{600 << 10, 600 << 10, 1 << 20, kqbody.ErrNoRoom},
	} {
		budget := kqbody.NewBudget(1 << 20)
		text := strings.Repeat("b", c.length)
		body, err := budget.Read(strings.NewReader(text), c.announced, c.limit)
		if !errors.Is(err, c.want) || err == nil && string(body) != text {
			t.Errorf("%+v: got %d bytes and %v", c, len(body), err)
		}
		if got := budget.InUse(); got != 0 {
			t.Errorf("%+v: got %d bytes in use after reading, want 0", c, got)
		}
	}
}

// TestConcurrentBodiesShareTheBudget reads a large and a small body while an
// unfinished body uses most of the budget: the large one has to fail, the small
// one has to be read.
func TestConcurrentBodiesShareTheBudget(t *testing.T) {
	budget := kqbody.NewBudget(256 << 10)
	r, w := io.Pipe()
	first := make(chan error, 1)
	go func() {
		_, err := budget.Read(r, -1, 1<<20)
		first <- err
	}()
	if _, err := w.Write(make([]byte, 100<<10)); err != nil {
		t.Fatal(err)
	}
	large := strings.NewReader(strings.Repeat("b", 200<<10))
	if _, err := budget.Read(large, 200<<10, 1<<20); !errors.Is(err, kqbody.ErrNoRoom) {
		t.Errorf("large body beside an unfinished one: got %v, want %v", err, kqbody.ErrNoRoom)
	}
	if body, err := budget.Read(strings.NewReader("small"), -1, 1<<20); err != nil || string(body) != "small" {
		t.Errorf("small body beside a large one: got %q and %v, want the whole body", body, err)
	}
	_ = w.Close()
	if err := <-first; err != nil {
		t.Errorf("first body: got error %v, want none", err)
	}
}

// TestReadReturnsErrorsOfTheReader has the reader fail in the middle of a body.
func TestReadReturnsErrorsOfTheReader(t *testing.T) {
	want := errors.New("reset")
	_, err := kqbody.NewBudget(1<<20).Read(io.MultiReader(strings.NewReader("some"), iotest.ErrReader(want)), -1, 100)
	if !errors.Is(err, want) {
		t.Errorf("error: got %v, want %v", err, want)
	}
}

// TestHeldBodiesCountUntilTheyAreReleased covers bodies that are read, that come from
// elsewhere, and that can't be refused.
func TestHeldBodiesCountUntilTheyAreReleased(t *testing.T) {
	const bytes = 300 << 10
	budget := kqbody.NewBudget(1 << 20)
	body, release, err := budget.Hold(strings.NewReader(strings.Repeat("b", bytes)), bytes, 1<<20)
	if got := budget.InUse(); err != nil || len(body) != bytes || got < bytes || got > bytes+1 {
		t.Errorf("body read: got %d bytes, %v and %d in use, want %d and no more in use", len(body), err, got, bytes)
	}
	if !budget.HasRoom(bytes) || budget.HasRoom(3*bytes) {
		t.Errorf("room for one more, for three more: got %t, %t, want true, false", budget.HasRoom(bytes), budget.HasRoom(3*bytes))
	}
	if _, err := budget.Reserve(3 * bytes); !errors.Is(err, kqbody.ErrNoRoom) {
		t.Errorf("reserve for three more: got %v, want ErrNoRoom", err)
	}
	releaseSecond, err := budget.Reserve(bytes)
	if err != nil {
		t.Errorf("reserve for one more: got %v, want room", err)
	}
	releaseAnswer := budget.Charge(3 * bytes)
	if budget.HasRoom(bytes) || !budget.HasRoom(kqbody.SmallBytes) {
		t.Errorf("room for a large, for a small body in a spent budget: got %t, %t, want false, true", budget.HasRoom(bytes), budget.HasRoom(kqbody.SmallBytes))
	}
	releaseAnswer()
	releaseSecond()
	release()
	if got := budget.InUse(); got != 0 {
		t.Errorf("in use at the end: got %d, want 0", got)
	}
}
