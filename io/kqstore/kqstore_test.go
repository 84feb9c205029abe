package kqstore_test

import (
	"context"
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"kumquatlink/core/kqclass"
	"kumquatlink/core/kqconfig"
	"kumquatlink/io/kqobject"
	"kumquatlink/io/kqstore"
)

func startStore(t *testing.T) (*kqobject.Store, *kqstore.Client, context.Context) {
	t.Helper()
	store := kqobject.New()
	if err := store.Listen("127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := store.Close(); err != nil {
			t.Errorf("close store: %v", err)
		}
	})
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	t.Cleanup(cancel)
	return store, kqstore.NewHTTP(store.Address()), ctx
}

func request(name, changeID string) kqstore.ChangeRequest {
	class := kqclass.Class{Name: name, Target: kqclass.Target{Complete: 99, Within: kqclass.Duration(time.Second)}}
	return kqstore.ChangeRequest{Edit: kqconfig.Edit{Set: &class}, ChangeID: changeID}
}

func TestChangeWithLostAnswerIsWrittenOnce(t *testing.T) {
	store, client, ctx := startStore(t)
	store.SetFaults(kqobject.Faults{LoseAnswers: 1})
	got, err := kqstore.Change(ctx, client, request("browse", "one"))
	if err != nil {
		t.Fatal(err)
	}
	stored, _, err := kqstore.ReadConfiguration(ctx, client)
	if err != nil {
		t.Fatal(err)
	}
	if stored.Version != 1 || got.Version != 1 || stored.ChangeID != "one" {
		t.Errorf("version: got %d and stored %d/%s, want 1/one", got.Version, stored.Version, stored.ChangeID)
	}
	if got, want := store.Counts().Writes, int64(1); got != want {
		t.Errorf("writes: got %d, want %d", got, want)
	}
}

func TestConcurrentChangesHaveOneWinnerReportedToTheOthers(t *testing.T) {
	store, client, ctx := startStore(t)
	const operators = 8
	if _, err := kqstore.Change(ctx, client, request("browse", "first")); err != nil {
		t.Fatal(err)
	}
	store.SetFaults(kqobject.Faults{LoseAnswers: operators / 2})
	results := make([]error, operators)
	var wait sync.WaitGroup
	for i := range operators {
		wait.Go(func() {
			r := request(fmt.Sprintf("class-%d", i), fmt.Sprintf("operator-%d", i))
			r.IfVersion = 1
			_, results[i] = kqstore.Change(ctx, kqstore.NewHTTP(store.Address()), r)
		})
	}
	wait.Wait()
	stored, _, err := kqstore.ReadConfiguration(ctx, client)
	if err != nil {
		t.Fatal(err)
	}
	accepted := 0
	for i, err := range results {
		var superseded *kqstore.SupersededError
		switch {
		case err == nil:
			accepted++
			if got, want := stored.ChangeID, fmt.Sprintf("operator-%d", i); got != want {
				t.Errorf("stored change: got %s, want %s", got, want)
			}
		case !errors.As(err, &superseded):
			t.Errorf("operator %d: got %v, want a SupersededError", i, err)
		case superseded.Winner.ChangeID != stored.ChangeID:
			t.Errorf("accepted change reported to operator %d: got %s, want %s", i, superseded.Winner.ChangeID, stored.ChangeID)
		}
	}
	if got, want := accepted, 1; got != want {
		t.Errorf("accepted changes: got %d, want %d", got, want)
	}
	if got, want := stored.Version, int64(2); got != want {
		t.Errorf("version: got %d, want %d", got, want)
	}
}

func TestChangeAfterRestoreIsBasedOnConfigurationInForce(t *testing.T) {
	store, client, ctx := startStore(t)
	if _, err := kqstore.Change(ctx, client, request("browse", "one")); err != nil {
		t.Fatal(err)
	}
	backup := store.Backup()
	inForce, err := kqstore.Change(ctx, client, request("purchase", "two"))
	if err != nil {
		t.Fatal(err)
	}
	store.Restore(backup)
	r := request("lookup", "three")
	r.InForce = inForce
	got, err := kqstore.Change(ctx, client, r)
	if err != nil {
		t.Fatal(err)
	}
	if got, want := got.Version, int64(3); got != want {
		t.Errorf("version: got %d, want %d", got, want)
	}
	if got, want := len(got.Classes), 3; got != want {
		t.Errorf("classes: got %d, want %d", got, want)
	}
}

// TestChangeNeverEndsWhenTheStoreIsRestoredMeanwhile restores the store between the
// read and the write of a change.
func TestChangeNeverEndsWhenTheStoreIsRestoredMeanwhile(t *testing.T) {
	store, client, ctx := startStore(t)
	first, err := kqstore.Change(ctx, client, request("browse", "one"))
	if err != nil {
		t.Fatal(err)
	}
	backup := store.Backup()
	if _, err := kqstore.Change(ctx, client, request("purchase", "two")); err != nil {
		t.Fatal(err)
	}
	got, err := kqstore.Change(ctx, restoreBeforePut(store, client, backup), request("lookup", "three"))
	if err != nil {
		t.Fatal(err)
	}
	stored, _, err := kqstore.ReadConfiguration(ctx, client)
	if err != nil {
		t.Fatal(err)
	}
	if got, want := stored.ChangeID, got.ChangeID; got != want {
		t.Errorf("stored change: got %s, want %s", got, want)
	}
	if got, want := len(stored.Classes), len(first.Classes)+2; got != want {
		t.Errorf("classes: got %d, want %d", got, want)
	}
}

// TestChangeOverwritesOneThatARestoredStoreAccepted accepts another change after
// the restore, on the base of an older configuration.
func TestChangeOverwritesOneThatARestoredStoreAccepted(t *testing.T) {
	store, client, ctx := startStore(t)
	if _, err := kqstore.Change(ctx, client, request("browse", "one")); err != nil {
		t.Fatal(err)
	}
	backup := store.Backup()
	if _, err := kqstore.Change(ctx, client, request("purchase", "two")); err != nil {
		t.Fatal(err)
	}
	interrupted := restoreBeforePut(store, client, backup)
	restore := interrupted.Put
	interrupted.Put = func(ctx context.Context, kind string, o kqstore.Object) (kqstore.Object, error) {
		if _, err := restore(ctx, kind, o); !errors.Is(err, kqstore.ErrConflict) {
			t.Errorf("write over the restored configuration: got %v, want ErrConflict", err)
		}
		if _, err := kqstore.Change(ctx, client, request("refund", "rival")); err != nil {
			t.Fatal(err)
		}
		interrupted.Put = client.Put
		return kqstore.Object{}, errors.Mark(errors.New("lost answer"), kqstore.ErrUnavailable)
	}
	_, err := kqstore.Change(ctx, interrupted, request("lookup", "three"))
	var superseded *kqstore.SupersededError
	if !errors.As(err, &superseded) || superseded.Winner.ChangeID != "rival" {
		t.Errorf("change after another one was accepted: got %v, want a SupersededError that names it", err)
	}
	stored, _, err := kqstore.ReadConfiguration(ctx, client)
	if err != nil || stored.ChangeID != "rival" {
		t.Errorf("stored change: got %s, %v, want rival", stored.ChangeID, err)
	}
}

// restoreBeforePut returns a client that restores the store before its first
// write.
func restoreBeforePut(store *kqobject.Store, c *kqstore.Client, backup kqobject.Snapshot) *kqstore.Client {
	interrupted := *c
	var once sync.Once
	interrupted.Put = func(ctx context.Context, kind string, o kqstore.Object) (kqstore.Object, error) {
		once.Do(func() { store.Restore(backup) })
		return c.Put(ctx, kind, o)
	}
	return &interrupted
}

func TestWatchReportsChangesAndEndsWithItsContext(t *testing.T) {
	_, client, ctx := startStore(t)
	if _, err := kqstore.Change(ctx, client, request("browse", "one")); err != nil {
		t.Fatal(err)
	}
	watch, cancel := context.WithCancel(ctx)
	changes := make(chan kqstore.Object, 8)
	ended := make(chan error, 1)
	go func() {
		ended <- client.Watch(watch, kqstore.KindConfiguration, kqstore.NameConfiguration, "1", func(o kqstore.Object) error {
			changes <- o
			return nil
		})
	}()
	if _, err := kqstore.Change(ctx, client, request("purchase", "two")); err != nil {
		t.Fatal(err)
	}
	got, err := kqstore.DecodeConfiguration(<-changes)
	if err != nil {
		t.Fatal(err)
	}
	if got, want := got.ChangeID, "two"; got != want {
		t.Errorf("change reported by the watch: got %s, want %s", got, want)
	}
	cancel()
	if err := <-ended; !errors.Is(err, kqstore.ErrUnavailable) {
		t.Errorf("error of the ended watch: got %v, want ErrUnavailable", err)
	}
}

func TestBreakerClientLimitsCallsToAnUnavailableStore(t *testing.T) {
	calls := 0
	inner := &kqstore.Client{Get: func(context.Context, string, string) (kqstore.Object, error) {
		calls++
		return kqstore.Object{}, errors.Mark(errors.New("down"), kqstore.ErrUnavailable)
	}}
	now := time.Unix(0, 0)
	clock := kqstore.WithClock(func() time.Time { return now }, func() float64 { return 0.999 })
	breaker := kqstore.NewBreakerClient(inner, clock)
	for range 36_000 {
		if _, err := breaker.Get(context.Background(), "kind", "name"); !errors.Is(err, kqstore.ErrUnavailable) {
			t.Fatalf("error: got %v, want ErrUnavailable", err)
		}
		now = now.Add(100 * time.Millisecond)
	}
	if got, want := calls, 1900; got > want {
		t.Errorf("calls in an hour of outage: got %d, want at most %d", got, want)
	}
	if calls < 100 {
		t.Errorf("calls in an hour of outage: got %d, want at least 100", calls)
	}
}

// TestWatchWithoutHeartbeatsEnds uses a store that keeps a watch open but, after
// the first line, sends neither events nor the blank lines of an idle watch.
func TestWatchWithoutHeartbeatsEnds(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			defer c.Close()
			_, _ = c.Write([]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n\n\r\n"))
		}
	}()
	err = kqstore.NewHTTP(l.Addr().String()).Watch(context.Background(), "a/v1/b", "", "1", func(kqstore.Object) error { return nil })
	if !errors.Is(err, kqstore.ErrUnavailable) {
		t.Errorf("watch without heartbeats: got %v, want ErrUnavailable", err)
	}
}
