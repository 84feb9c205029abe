package kqobject_test

import (
	"context"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"kumquatlink/io/kqobject"
	"kumquatlink/io/kqstore"
)

const kind = "kumquatlink.dev/v1/tests"

func put(ctx context.Context, t *testing.T, c *kqstore.Client, name, version, value string) kqstore.Object {
	t.Helper()
	o, err := c.Put(ctx, kind, kqstore.Object{Name: name, Version: version, Value: []byte(value)})
	if err != nil {
		t.Fatal(err)
	}
	return o
}

// TestRestoreAgeBringsBackFormerObjects also checks that a watch from a version
// that the copy does not have is refused, and that a late write is made.
func TestRestoreAgeBringsBackFormerObjects(t *testing.T) {
	store := kqobject.New()
	if err := store.Listen("127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	defer store.Close()
	ctx, c := t.Context(), kqstore.NewHTTP(store.Address())
	first := put(ctx, t, c, "kept", "", "1")
	between := time.Now()
	put(ctx, t, c, "kept", first.Version, "2")
	put(ctx, t, c, "lost", "", "3")
	_, version, err := c.List(ctx, kind)
	if err != nil {
		t.Fatal(err)
	}
	store.SetFaults(kqobject.Faults{RestoreAge: time.Since(between)})
	if got, err := c.Get(ctx, kind, "kept"); err != nil || string(got.Value) != "1" {
		t.Errorf("object of the copy: got %s, %v, want its value when the copy was taken", got.Value, err)
	}
	if _, err := c.Get(ctx, kind, "lost"); !errors.Is(err, kqstore.ErrNotFound) {
		t.Errorf("object that was created after the copy: got %v, want ErrNotFound", err)
	}
	err = c.Watch(ctx, kind, "", version, func(kqstore.Object) error { return nil })
	if !errors.Is(err, kqstore.ErrExpired) {
		t.Errorf("watch from a version that was lost: got %v, want ErrExpired", err)
	}
	store.SetFaults(kqobject.Faults{LateWrites: 1})
	if _, err := c.Put(ctx, kind, kqstore.Object{Name: "late", Value: []byte("4")}); !errors.Is(err, kqstore.ErrUnavailable) {
		t.Errorf("late write: got %v, want ErrUnavailable", err)
	}
	for {
		if _, err := c.Get(ctx, kind, "late"); err == nil {
			return
		}
	}
}
