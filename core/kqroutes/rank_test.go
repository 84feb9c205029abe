package kqroutes_test

import (
	"fmt"
	"math"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"kumquatlink/core/kqroutes"
)

// ranksOf returns the ranks that requests on routes with these ranks get.
func ranksOf(ranks []int) []int {
	var routes []kqroutes.Route
	for i, rank := range ranks {
		r := route("shop.example", fmt.Sprintf("/%d/", i), "catalog")
		r.Rank = rank
		routes = append(routes, r)
	}
	d := document(routes...)
	table := kqroutes.NewTable(d)
	var got []int
	for i := range ranks {
		r, _ := table.Find("shop.example", fmt.Sprintf("/%d/", i))
		got = append(got, table.Rank(nil, r))
	}
	return got
}

// TestLargeRanksOfRoutes guards against ranks over 255, which operators may write, that
// are refused or that lose their order.
func TestLargeRanksOfRoutes(t *testing.T) {
	for _, c := range []struct{ ranks, want []int }{
		{[]int{0, 2, 255}, []int{0, 2, 255}},
		{[]int{0, 3, 300}, []int{0, 3, 255}},
		{[]int{300, 0, 301, 300, 254}, []int{254, 0, 255, 254, 253}},
		{[]int{math.MaxInt, 1000, -4}, []int{255, 254, 0}},
	} {
		if got := ranksOf(c.ranks); !slices.Equal(got, c.want) {
			t.Errorf("ranks of %v: got %v, want %v", c.ranks, got, c.want)
		}
	}
}

func TestRanksKeepTheirOrder(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		most := rapid.SampledFrom([]int{10, 255, 256, 300, 2000, math.MaxInt}).Draw(r, "most")
		ranks := rapid.SliceOfN(rapid.IntRange(0, most), 1, 600).Draw(r, "ranks")
		got := ranksOf(ranks)
		distinct := slices.Compact(slices.Sorted(slices.Values(ranks)))
		for i := range ranks {
			if got[i] < 0 || got[i] > 255 {
				r.Fatalf("rank %d: got %d, want 0 to 255", ranks[i], got[i])
			}
			if distinct[len(distinct)-1] <= 255 && got[i] != ranks[i] {
				r.Fatalf("rank %d, none over 255: got %d, want it unchanged", ranks[i], got[i])
			}
			for j := range ranks {
				if ranks[i] < ranks[j] && (got[i] > got[j] || len(distinct) <= 256 && got[i] == got[j]) {
					r.Fatalf("ranks %d and %d of %d: got %d and %d, want them in order", ranks[i], ranks[j], len(distinct), got[i], got[j])
				}
			}
		}
	})
}

// TestTableOfFaultyRoutes has routes that can't be used as they are written. Each must be
// found all the same, and requests of one without a service must not go to that of a
// shorter prefix.
func TestTableOfFaultyRoutes(t *testing.T) {
	sound := route("shop.example", "/", "catalog")
	negative := route("shop.example", "/negative/", "orders")
	negative.Timeout, negative.Target, negative.MaxAttempts, negative.Rank = -1, -1, -1, -1
	negative.Parts = append(negative.Parts, kqroutes.Part{Service: "packs", Weight: -5})
	none := route("shop.example", "/none/", "orders")
	none.Parts = nil
	weightless := route("shop.example", "/weightless/", "orders")
	weightless.Parts[0].Weight = 0
	heavy := route("shop.example", "/heavy/", "orders")
	heavy.Parts = []kqroutes.Part{{Service: "orders", Weight: math.MaxInt}, {Service: "orders", Weight: math.MaxInt}, {Service: "orders", Weight: 2}}
	unlisted := route("shop.example", "/unlisted/", "attic")
	d := document(sound, negative, none, weightless, heavy, unlisted, route("shop.example", "/", "packs"))
	d.Limits = kqroutes.Limits{HeaderBytes: -1, BodyBytes: -1, HeaderTime: -1, IdleTime: -1}
	table := kqroutes.NewTable(d)
	for path, want := range map[string]string{"/a": "catalog", "/negative/": "orders", "/none/": "", "/weightless/": "", "/heavy/": "orders", "/unlisted/": "attic"} {
		r, found := table.Find("shop.example", path)
		if !found {
			t.Errorf("route of %s: got none, want one", path)
			continue
		}
		for i := range 100 {
			if got := r.ServiceFor(fmt.Sprint(i)); got != want {
				t.Fatalf("service of %s: got %q, want %q", path, got, want)
			}
		}
		if r.Timeout <= 0 || r.Target < 0 || r.MaxAttempts < 1 || r.Rank < 0 {
			t.Errorf("route of %s: got %+v, want usable values", path, r)
		}
	}
	if got, want := table.Document().Limits, (kqroutes.Limits{}); got != want {
		t.Errorf("limits: got %+v, want none", got)
	}
}
