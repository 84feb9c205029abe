package kqbody_test

import (
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/cockroachdb/errors"

	"kumquatlink/io/kqbody"
)

func TestBodiesAreReadUpToTheirBound(t *testing.T) {
	for _, c := range []struct {
		length, announced, most int
		want                    error
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
		allowance := kqbody.NewBudget(1 << 20)
		text := strings.Repeat("b", c.length)
		body, err := allowance.Read(strings.NewReader(text), c.announced, c.most)
		if !errors.Is(err, c.want) || err == nil && string(body) != text {
			t.Errorf("%+v: got %d bytes and %v", c, len(body), err)
		}
		if got := allowance.InUse(); got != 0 {
			t.Errorf("%+v: got %d bytes held afterwards, want none", c, got)
		}
	}
}

// TestBodiesShareTheirRoom reads a body while another one holds the room.
func TestBodiesShareTheirRoom(t *testing.T) {
	allowance := kqbody.NewBudget(256 << 10)
	r, w := io.Pipe()
	first := make(chan error, 1)
	go func() {
		_, err := allowance.Read(r, -1, 1<<20)
		first <- err
	}()
	if _, err := w.Write(make([]byte, 100<<10)); err != nil {
		t.Fatal(err)
	}
	large := strings.NewReader(strings.Repeat("b", 200<<10))
	if _, err := allowance.Read(large, 200<<10, 1<<20); !errors.Is(err, kqbody.ErrNoRoom) {
		t.Errorf("large body beside another one: got %v, want %v", err, kqbody.ErrNoRoom)
	}
	if body, err := allowance.Read(strings.NewReader("small"), -1, 1<<20); err != nil || string(body) != "small" {
		t.Errorf("small body beside a large one: got %q and %v, want it whole", body, err)
	}
	_ = w.Close()
	if err := <-first; err != nil {
		t.Errorf("first body: got %v, want none", err)
	}
}

// TestErrorsOfTheReaderAreKept breaks a body off.
func TestErrorsOfTheReaderAreKept(t *testing.T) {
	want := errors.New("reset")
	_, err := kqbody.NewBudget(1<<20).Read(io.MultiReader(strings.NewReader("some"), iotest.ErrReader(want)), -1, 100)
	if !errors.Is(err, want) {
		t.Errorf("error: got %v, want %v", err, want)
	}
}
