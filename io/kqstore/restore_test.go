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

// TestWriteMatchesAReissuedRevision writes with a version of before the restore
// while the restored object has that version again.
func TestWriteMatchesAReissuedRevision(t *testing.T) {
	for name, noticed := range map[string]bool{"restore noticed before the write": true, "restore noticed by its answer": false} {
		t.Run(name, func(t *testing.T) {
			store, client, ctx := startStore(t)
			putObject(ctx, t, store, "object", "1")
			backup := store.Backup()
			putObject(ctx, t, store, "object", "2")
			held, err := client.Get(ctx, testKind, "object")
			if err != nil {
				t.Fatal(err)
			}
			store.Restore(backup)
			putObject(ctx, t, store, "object", "3")
			if noticed {
				if _, _, err := client.List(ctx, testKind); err != nil {
					t.Fatal(err)
				}
			}
			if _, err := client.Put(ctx, testKind, held); !errors.Is(err, kqstore.ErrConflict) {
				t.Errorf("write with a version of before the restore: got %v, want ErrConflict", err)
			}
			got, err := client.Get(ctx, testKind, "object")
			if want := "3"; err != nil || noticed && string(got.Value) != want {
				t.Errorf("object: got %s, %v, want %s", got.Value, err, want)
			}
		})
	}
}
