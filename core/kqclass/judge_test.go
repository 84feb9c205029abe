package kqclass_test

import (
	"strings"
	"testing"
	"time"

	"kumquatlink/core/kqclass"
)

func class(name string, complete float64, runOnce bool) kqclass.Class {
	return kqclass.Class{Name: name, Target: kqclass.Target{Complete: complete, Within: kqclass.Duration(time.Second)}, RunOnce: runOnce}
}

func TestContradictoryTargetsAreRefused(t *testing.T) {
	tests := []struct {
		name    string
		classes []kqclass.Class
		want    string
	}{
		{"in order", []kqclass.Class{class("buy", 99.9, true), class("browse", 90, false)}, ""},
		{"equal", []kqclass.Class{class("buy", 99, true), class("browse", 99, false)}, ""},
		{
			"repeatable work above",
			[]kqclass.Class{class("browse", 99, false), class("buy", 95, true)},
			"Classes[1].Target.Complete is 95: want at least the 99 of class \"browse\"",
		},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			faults := kqclass.Configuration{Classes: c.classes}.Check()
			got := ""
			if len(faults) > 0 {
				got = faults[0].String()
			}
			if got != c.want && (c.want == "" || !strings.HasPrefix(got, c.want)) {
				t.Errorf("got fault %q, want %q", got, c.want)
			}
		})
	}
}

func TestEvaluateNamesTheClassesThatLoseRequests(t *testing.T) {
	table := kqclass.NewTable(kqclass.Configuration{Classes: []kqclass.Class{
		class("browse", 90, false), class("buy", 99.9, true), class("download", 99, false),
	}})
	evaluations := table.Evaluate([]kqclass.Count{
		{Name: "browse", Offered: 1000, Completed: 400},
		{Name: "download", Offered: 1000, Completed: 995},
		{Name: "buy", Offered: 100, Completed: 100},
		{Name: "gone", Offered: 100},
	})
	want := []struct {
		name      string
		met, pays bool
	}{{"buy", true, false}, {"download", true, true}, {"browse", false, true}}
	if len(evaluations) != len(want) {
		t.Fatalf("got %d evaluations, want %d", len(evaluations), len(want))
	}
	for i, w := range want {
		e := evaluations[i]
		if e.Name != w.name || e.Met != w.met || e.Pays != w.pays {
			t.Errorf("evaluation %d: got %s met %v pays %v, want %s met %v pays %v", i, e.Name, e.Met, e.Pays, w.name, w.met, w.pays)
		}
	}
}
