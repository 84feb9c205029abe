package kqconfig_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"pgregory.net/rapid"

	"kumquatlink/core/kqclass"
	"kumquatlink/core/kqconfig"
	"kumquatlink/core/kqmember"
)

func class(name string) kqclass.Class {
	return kqclass.Class{Name: name, Target: kqclass.Target{Complete: 99, Within: kqclass.Duration(time.Second)}}
}

// referenceHolder is the reference implementation of a holder: it keeps every
// offer and searches for the newest one without faults.
type referenceHolder struct {
	offers []kqclass.Configuration
}

func (h *referenceHolder) inForce() kqclass.Configuration {
	var newest kqclass.Configuration
	for _, o := range h.offers {
		if len(o.Check()) > 0 {
			continue
		}
		if o.Version > newest.Version || o.Version == newest.Version && o.ChangeID > newest.ChangeID {
			newest = o
		}
	}
	return newest
}

func TestHolderMatchesTheReferenceAndNeverGoesBack(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		holder, reference := kqconfig.NewHolder(), &referenceHolder{}
		for range rapid.IntRange(1, 60).Draw(r, "offers") {
			offer := kqclass.Configuration{
				Version:  rapid.Int64Range(1, 6).Draw(r, "version"),
				ChangeID: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(r, "change"),
			}
			if rapid.IntRange(0, 5).Draw(r, "faulty") == 0 {
				offer.Classes = []kqclass.Class{{Name: "Not a name"}}
			}
			before := holder.InForce()
			holder.Offer(offer)
			reference.offers = append(reference.offers, offer)
			if got := holder.InForce(); kqconfig.Newer(before, got) {
				r.Fatalf("in force: got %d/%s after %d/%s, want no older one", got.Version, got.ChangeID, before.Version, before.ChangeID)
			}
			got, want := holder.InForce(), reference.inForce()
			if got.Version != want.Version || got.ChangeID != want.ChangeID {
				r.Fatalf("in force: got %d/%s, want %d/%s", got.Version, got.ChangeID, want.Version, want.ChangeID)
			}
		}
	})
}

func TestApplyRefusesFaultsAndLeavesTheBaseUnchanged(t *testing.T) {
	base, err := kqconfig.Apply(kqclass.Configuration{}, kqconfig.Edit{Set: ptr(class("browse"))}, "one")
	if err != nil {
		t.Fatal(err)
	}
	bad := class("browse")
	bad.Target = kqclass.Target{Complete: 140}
	_, err = kqconfig.Apply(base, kqconfig.Edit{Set: &bad}, "two")
	var faulty *kqconfig.FaultyError
	if !errors.As(err, &faulty) {
		t.Fatalf("error: got %v, want a FaultyError", err)
	}
	if got, want := len(faulty.Faults), 2; got != want {
		t.Errorf("faults: got %d, want %d: %v", got, want, err)
	}
	if got, want := base.Classes[0].Target.Complete, 99.0; got != want {
		t.Errorf("base: got %v, want %v", got, want)
	}
	if _, err := kqconfig.Apply(base, kqconfig.Edit{Delete: "purchase"}, "three"); !errors.Is(err, kqconfig.ErrNoClass) {
		t.Errorf("delete of a missing class: got %v, want ErrNoClass", err)
	}
}

func ptr[T any](value T) *T { return &value }

// TestResolveWriteMatchesTheStore guards against a write that is wrongly taken as
// accepted or as failed. Writers race, answers are lost, the store is restored from
// copies, and a reference store remembers all changes that it accepted; each result
// is compared with that.
func TestResolveWriteMatchesTheStore(t *testing.T) {
	lostAnswers := 0
	rapid.Check(t, func(r *rapid.T) {
		stored := kqclass.Configuration{}
		accepted := map[string]bool{}
		type write struct{ next, base kqclass.Configuration }
		var writes []write
		copies := []kqclass.Configuration{stored}
		for i := range rapid.IntRange(5, 50).Draw(r, "steps") {
			next, err := kqconfig.Apply(stored, kqconfig.Edit{Set: ptr(class(fmt.Sprintf("class-%d", i%4)))}, fmt.Sprintf("change-%d", i))
			if err != nil {
				r.Fatal(err)
			}
			w := write{next: next, base: stored}
			if rapid.Bool().Draw(r, "raced") {
				rival, _ := kqconfig.Apply(stored, kqconfig.Edit{}, fmt.Sprintf("rival-%d", i))
				stored, accepted[rival.ChangeID] = rival, true
			}
			if stored.ChangeID == w.base.ChangeID && rapid.Bool().Draw(r, "arrives") {
				stored, accepted[next.ChangeID] = next, true
			}
			if rapid.IntRange(0, 9).Draw(r, "restored") == 0 {
				stored = rapid.SampledFrom(copies).Draw(r, "copy")
				accepted = map[string]bool{}
				for _, c := range stored.History {
					accepted[c.ChangeID] = true
				}
			}
			copies = append(copies, stored)
			lostAnswers++
			writes = append(writes, w)
			for _, u := range writes {
				checkResult(r, u.next, stored, accepted[u.next.ChangeID])
			}
		}
	})
	if lostAnswers == 0 {
		t.Error("no answer was lost")
	}
}

func checkResult(r *rapid.T, written, stored kqclass.Configuration, accepted bool) {
	got := kqconfig.ResolveWrite(written, stored)
	switch {
	case accepted && got != kqconfig.WriteAccepted && got != kqconfig.WriteUnknown:
		r.Fatalf("result of an accepted change: got %s, want %s", got, kqconfig.WriteAccepted)
	case !accepted && got == kqconfig.WriteAccepted:
		r.Fatalf("result of a change that was not accepted: got %s", got)
	case got == kqconfig.WriteRetryable && stored.Version >= written.Version:
		r.Fatalf("result: got %s although the store holds version %d or later", got, written.Version)
	}
	for _, c := range stored.History {
		if got == kqconfig.WriteRetryable && !slices.Contains(written.History, c) {
			r.Fatalf("result: got %s although that would lose the accepted change %s", got, c.ChangeID)
		}
	}
}

func TestNodesAgreeOnTheWatchersOfADomain(t *testing.T) {
	view := kqmember.NewView(kqmember.Record{NodeID: "a-0", FailureDomain: "a", Life: kqmember.LifeServing})
	var records []kqmember.Record
	for i := range 30 {
		records = append(records, kqmember.Record{NodeID: fmt.Sprintf("a-%d", i), FailureDomain: "a", Life: kqmember.LifeServing, Version: 1})
		records = append(records, kqmember.Record{NodeID: fmt.Sprintf("b-%d", i), FailureDomain: "b", Life: kqmember.LifeServing, Version: 1})
	}
	mergeAll(view, records)
	watchers := kqconfig.Watchers(view.Snapshot())
	for _, r := range records {
		own := kqmember.NewView(r)
		mergeAll(own, records)
		got := kqconfig.ShouldWatch(own.Snapshot())
		want := slices.Contains(watchers[r.FailureDomain], r.NodeID)
		if got != want {
			t.Errorf("%s watches: got %t, want %t", r.NodeID, got, want)
		}
	}
	if got, want := len(watchers["a"]), kqconfig.WatchersPerDomain; got != want {
		t.Errorf("watchers: got %d, want %d", got, want)
	}
}

func mergeAll(view *kqmember.View, records []kqmember.Record) {
	for _, r := range records {
		view.Merge(0, r, false, 0)
	}
}
