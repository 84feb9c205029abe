package kqstore_test

import (
	"context"
	"testing"

	"github.com/cockroachdb/errors"

	"kumquatlink/io/kqobject"
	"kumquatlink/io/kqstore"
)

const testKind = "kumquatlink.dev/v1/tests"

// putObject writes an object over its current version.
func putObject(ctx context.Context, t *testing.T, store *kqobject.Store, name, value string) kqstore.Object {
	t.Helper()
	c := kqstore.NewHTTP(store.Address())
	o, err := c.Get(ctx, testKind, name)
	if err != nil && !errors.Is(err, kqstore.ErrNotFound) {
		t.Fatal(err)
	}
	o.Name, o.Value = name, []byte(value)
	written, err := c.Put(ctx, testKind, o)
	if err != nil {
		t.Fatal(err)
	}
	return written
}

// TestWatchMissesChangesOfARestoredStore makes changes until the restored store
// has given out the version again from which the watch starts.
func TestWatchMissesChangesOfARestoredStore(t *testing.T) {
	store, client, ctx := startStore(t)
	putObject(ctx, t, store, "kept", "1")
	backup := store.Backup()
	putObject(ctx, t, store, "lost", "1")
	_, version, err := client.List(ctx, testKind)
	if err != nil {
		t.Fatal(err)
	}
	store.Restore(backup)
	putObject(ctx, t, store, "missed", "1")
	putObject(ctx, t, store, "seen", "1")
	err = client.Watch(ctx, testKind, "", version, func(o kqstore.Object) error {
		return errors.Newf("change of %s", o.Name)
	})
	if !errors.Is(err, kqstore.ErrExpired) {
		t.Errorf("watch from a version of before the restore: got %v, want ErrExpired", err)
	}
}
