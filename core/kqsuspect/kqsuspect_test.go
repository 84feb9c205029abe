package kqsuspect_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"kumquatlink/core/kqsuspect"
)

func fingerprint(name string) kqsuspect.Fingerprint {
	return kqsuspect.FingerprintOf([]byte(name))
}

// runs returns runs of requests of these names, each of which took d.
func runs(d time.Duration, names ...string) []kqsuspect.Run {
	var list []kqsuspect.Run
	for _, n := range names {
		list = append(list, kqsuspect.Run{Fingerprint: fingerprint(n), Ran: d})
	}
	return list
}

func TestFingerprintsTellPartsApart(t *testing.T) {
	seen := map[kqsuspect.Fingerprint]string{}
	for _, parts := range [][]string{{"a", "b"}, {"ab"}, {"ab", ""}, {"", "ab"}, {"b", "a"}, {}} {
		var list [][]byte
		for _, p := range parts {
			list = append(list, []byte(p))
		}
		f := kqsuspect.FingerprintOf(list...)
		if former, found := seen[f]; found {
			t.Errorf("fingerprint of %q: got that of %s, want another one", parts, former)
		}
		seen[f] = fmt.Sprintf("%q", parts)
	}
}

func TestRequestIsConvictedAfterThreeCrashes(t *testing.T) {
	table := kqsuspect.New()
	for i := range kqsuspect.ConvictingCrashes {
		if got := table.Judge(at(i), fingerprint("deadly")).Verdict; got == kqsuspect.Convicted {
			t.Fatalf("verdict after %d crashes: got %s, want no conviction", i, got)
		}
		table.RecordCrash(at(i)+time.Second, runs(100*time.Millisecond, "deadly", fmt.Sprintf("other-%d", i)))
	}
	if got := table.Judge(at(9), fingerprint("deadly")); got.Verdict != kqsuspect.Convicted || got.Crashes != 3 {
		t.Errorf("judgement after three crashes: got %+v, want Convicted", got)
	}
	if got := table.Judge(at(9), fingerprint("other-1")).Verdict; got != kqsuspect.Suspected {
		t.Errorf("verdict on a request that was lost once: got %s, want Suspected", got)
	}
}

func at(seconds int) time.Duration { return time.Duration(seconds) * 10 * time.Second }

func TestAnsweredRequestIsCleared(t *testing.T) {
	table := kqsuspect.New()
	for i := range 10 {
		table.RecordCrash(at(i), runs(0, "popular"))
		if len(table.RecordAnswer(fingerprint("popular"))) == 0 {
			t.Errorf("answer after crash %d: got no suspect cleared, want one", i)
		}
	}
	if got := table.Judge(at(20), fingerprint("popular")).Verdict; got != kqsuspect.Cleared || !table.Empty() {
		t.Errorf("verdict on a request that is answered between crashes: got %s, want Cleared and an empty table", got)
	}
}

// TestServersThatEndTogetherConvictNoRequest has a request run on many servers that
// lose power in the same moment.
func TestServersThatEndTogetherConvictNoRequest(t *testing.T) {
	table := kqsuspect.New()
	for i := range 10 {
		table.RecordCrash(at(1)+time.Duration(i)*time.Millisecond, runs(100*time.Millisecond, "popular", "popular"))
	}
	if got := table.Judge(at(2), fingerprint("popular")); got.Verdict != kqsuspect.Suspected || got.Crashes != 1 {
		t.Errorf("judgement after ten crashes in a moment: got %+v, want Suspected after 1", got)
	}
	// A repeat is sent after the server before has crashed, whenever this gate hears
	// of that.
	table.RecordCrash(at(1)+20*time.Millisecond, []kqsuspect.Run{{Fingerprint: fingerprint("popular"), Ran: 100 * time.Millisecond, Repeat: true}})
	if got := table.Judge(at(2), fingerprint("popular")).Crashes; got != 2 {
		t.Errorf("crashes after one under a repeat: got %d, want 2", got)
	}
}

func TestConvictionLastsWhileTheRequestComes(t *testing.T) {
	table := kqsuspect.New()
	now := time.Duration(0)
	for range kqsuspect.ConvictingCrashes {
		now += time.Second
		table.RecordCrash(now, runs(0, "deadly"))
	}
	for range 5 {
		now += kqsuspect.ConvictionTime - 1
		if got := table.Judge(now, fingerprint("deadly")).Verdict; got != kqsuspect.Convicted {
			t.Fatalf("verdict at %s while the request comes: got %s, want Convicted", now, got)
		}
	}
	now += kqsuspect.ConvictionTime
	if got := table.Judge(now, fingerprint("deadly")).Verdict; got != kqsuspect.Suspected {
		t.Errorf("verdict after the request has not come for long: got %s, want Suspected", got)
	}
	table.RecordCrash(now+time.Second, runs(0, "deadly"))
	if got := table.Judge(now+2*time.Second, fingerprint("deadly")).Verdict; got != kqsuspect.Convicted {
		t.Errorf("verdict after one more crash: got %s, want Convicted", got)
	}
}

func TestTableIsBounded(t *testing.T) {
	table := kqsuspect.New()
	for i := range kqsuspect.ConvictingCrashes {
		table.RecordCrash(at(i), runs(0, "deadly"))
	}
	for i := range 3 * kqsuspect.MaxRequests {
		table.RecordCrash(at(5)+time.Duration(i), runs(0, fmt.Sprint(i)))
	}
	if got := len(table.Records(at(6))); got > kqsuspect.MaxRequests {
		t.Errorf("requests in the table: got %d, want at most %d", got, kqsuspect.MaxRequests)
	}
	if got := table.Judge(at(6), fingerprint("deadly")).Verdict; got != kqsuspect.Convicted {
		t.Errorf("verdict on a convicted request in a full table: got %s, want Convicted", got)
	}
}

func TestMergedTableKnowsTheSame(t *testing.T) {
	table, other := kqsuspect.New(), kqsuspect.New()
	for i := range kqsuspect.ConvictingCrashes {
		table.RecordCrash(at(i), runs(0, "deadly"))
	}
	table.RecordCrash(at(4), runs(0, "suspect"))
	other.Merge(0, table.Records(at(5)))
	for name, want := range map[string]kqsuspect.Verdict{"deadly": kqsuspect.Convicted, "suspect": kqsuspect.Suspected, "unknown": kqsuspect.Cleared} {
		if got := other.Judge(time.Second, fingerprint(name)).Verdict; got != want {
			t.Errorf("verdict of the other table on %s: got %s, want %s", name, got, want)
		}
	}
}

// TestAnswersToAnotherCallerClearADeadlyRequest has a request come from one caller, with
// a wide fingerprint that another caller's request shares and that its answers clear.
func TestAnswersToAnotherCallerClearADeadlyRequest(t *testing.T) {
	wide, deadly, other := fingerprint("wide"), fingerprint("deadly"), fingerprint("other")
	table := kqsuspect.New()
	for i := range kqsuspect.ConvictingCrashes {
		now := time.Duration(i+1) * time.Second
		if got := table.Judge(now, wide, deadly).Verdict; got == kqsuspect.Convicted {
			t.Errorf("deadly request before crash %d: got %s, want it not convicted", i+1, got)
		}
		table.RecordCrash(now, []kqsuspect.Run{{Fingerprint: wide, Narrower: []kqsuspect.Fingerprint{deadly}, Ran: time.Millisecond}})
		if got, want := table.RecordAnswer(wide, other), []kqsuspect.Fingerprint{wide}; !slices.Equal(got, want) {
			t.Errorf("cleared by an answer to the other caller: got %v, want the wide fingerprint alone", got)
		}
	}
	now := 10 * time.Second
	if got := table.Judge(now, wide, deadly); got.Verdict != kqsuspect.Convicted || got.Crashes != kqsuspect.ConvictingCrashes {
		t.Errorf("deadly request: got %+v, want it convicted", got)
	}
	if got := table.Judge(now, wide, other).Verdict; got != kqsuspect.Cleared {
		t.Errorf("request of the other caller: got %s, want Cleared", got)
	}
}

// TestDeadlyRequestInOneNameConvictsOthers guards against the refusal of other callers'
// requests, which share a wide fingerprint with a deadly one. In another name the deadly
// request may crash one more server for each wider fingerprint.
func TestDeadlyRequestInOneNameConvictsOthers(t *testing.T) {
	wide, byService, deadly := fingerprint("wide"), fingerprint("by service"), fingerprint("deadly")
	otherFields, otherService := fingerprint("other fields"), fingerprint("other service")
	table := kqsuspect.New()
	crashUnder := func(second int, fingerprints ...kqsuspect.Fingerprint) []kqsuspect.Fingerprint {
		run := kqsuspect.Run{Fingerprint: fingerprints[0], Narrower: fingerprints[1:], Ran: time.Millisecond}
		return table.RecordCrash(time.Duration(second)*time.Second, []kqsuspect.Run{run})
	}
	var got []kqsuspect.Fingerprint
	for i := range kqsuspect.ConvictingCrashes {
		got = crashUnder(i+1, wide, byService, deadly)
	}
	if want := []kqsuspect.Fingerprint{deadly}; !slices.Equal(got, want) {
		t.Errorf("convicted by crashes in one name: got %v, want the narrowest fingerprint", got)
	}
	now := 5 * time.Second
	for name, c := range map[string]struct {
		fingerprints []kqsuspect.Fingerprint
		want         kqsuspect.Verdict
	}{
		"the deadly request": {[]kqsuspect.Fingerprint{wide, byService, deadly}, kqsuspect.Convicted},
		"other fields":       {[]kqsuspect.Fingerprint{wide, byService, otherFields}, kqsuspect.Suspected},
		"other service":      {[]kqsuspect.Fingerprint{wide, otherService}, kqsuspect.Suspected},
	} {
		if got := table.Judge(now, c.fingerprints...).Verdict; got != c.want {
			t.Errorf("%s: got %s, want %s", name, got, c.want)
		}
	}
	if got, want := crashUnder(6, wide, byService, otherFields), []kqsuspect.Fingerprint{byService}; !slices.Equal(got, want) {
		t.Errorf("convicted by a crash with other fields: got %v, want the fingerprint by service", got)
	}
	if got, want := crashUnder(7, wide, otherService), []kqsuspect.Fingerprint{wide}; !slices.Equal(got, want) {
		t.Errorf("convicted by a crash for another service: got %v, want the wide fingerprint", got)
	}
	if got := table.Judge(now, wide, fingerprint("third service")).Verdict; got != kqsuspect.Convicted {
		t.Errorf("in a third name: got %s, want Convicted", got)
	}
}
