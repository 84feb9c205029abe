package kqroutes_test

import (
	"flag"
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"kumquatlink/core/kqclass"
	"kumquatlink/core/kqroutes"
)

var update = flag.Bool("update", false, "rewrite the golden files")

// compareGolden compares got with a golden file, or rewrites the file with
// -update.
func compareGolden(t *testing.T, name, got string) {
	t.Helper()
	path := "testdata/" + name
	if *update {
		if err := os.WriteFile(path, []byte(got), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if got != string(want) {
		t.Errorf("%s: got\n%s\nwant\n%s", name, got, want)
	}
}

func route(host, prefix, service string) kqroutes.Route {
	return kqroutes.Route{
		Name: host + prefix, Host: host, Prefix: prefix, Parts: []kqroutes.Part{{Service: service, Weight: 1}},
		Timeout: kqclass.Duration(time.Second), MaxAttempts: 2,
	}
}

func document(routes ...kqroutes.Route) kqroutes.Document {
	return kqroutes.Document{
		Version: 3, Routes: routes,
		Services: []kqroutes.Service{{Name: "catalog"}, {Name: "orders"}, {Name: "packs"}},
	}
}

func TestCheckReportsEveryFault(t *testing.T) {
	bad := kqroutes.Route{Host: "", Prefix: "voices", Parts: []kqroutes.Part{{Service: "attic", Weight: -1}}, Rank: -300, Target: -1}
	withoutParts := route("shop.example", "/none/", "catalog")
	withoutParts.Parts = nil
	weightless := route("shop.example", "/weightless/", "catalog")
	weightless.Parts[0].Weight = 0
	d := document(route("shop.example", "/voices/", "catalog"), route("Shop.example", "/voices/", "orders"), bad, withoutParts, weightless)
	var text strings.Builder
	for _, f := range d.Check() {
		fmt.Fprintln(&text, f)
	}
	compareGolden(t, "faults.txt", text.String())
}

func TestFindReturnsLongestPrefixOfHost(t *testing.T) {
	table := kqroutes.NewTable(document(
		route("shop.example", "/", "catalog"),
		route("shop.example", "/voices/", "orders"),
		route("shop.example", "/voices/new/", "packs"),
		route("other.example", "/voices/", "packs"),
	))
	var text strings.Builder
	for _, q := range [][2]string{
		{"shop.example", "/voices/12"},
		{"shop.example", "/voices/new/12?all=1"},
		{"shop.example", "/voices/new"},
		{"shop.example", "/voices"},
		{"SHOP.example:8080", "/voices/?next=/voices/new/"},
		{"other.example", "/voices/12"},
		{"other.example", "/else/"},
		{"third.example", "/"},
		{"", "/"},
		{"shop.example", ""},
		{"shop.example", "*"},
	} {
		r, found := table.Find(q[0], q[1])
		if !found {
			fmt.Fprintf(&text, "%q %q: none\n", q[0], q[1])
			continue
		}
		fmt.Fprintf(&text, "%q %q: %s\n", q[0], q[1], r.Parts[0].Service)
	}
	compareGolden(t, "find.txt", text.String())
}

func TestServiceForFollowsWeights(t *testing.T) {
	r := route("shop.example", "/", "catalog")
	r.Parts = []kqroutes.Part{{Service: "catalog", Weight: 90}, {Service: "orders", Weight: 10}, {Service: "packs", Weight: 0}}
	counts := map[string]int{}
	const requests = 10000
	for i := range requests {
		id := fmt.Sprintf("%016x", i*7919)
		service := r.ServiceFor(id)
		if again := r.ServiceFor(id); again != service {
			t.Fatalf("service for request %s: got %s, then %s", id, service, again)
		}
		counts[service]++
	}
	if got := counts["orders"]; got < 850 || got > 1150 {
		t.Errorf("requests of a part with weight 10 of 100: got %d of %d, want 850 to 1150", got, requests)
	}
	if got := counts["packs"]; got != 0 {
		t.Errorf("requests of a part with weight 0: got %d, want 0", got)
	}
}

func FuzzFind(f *testing.F) {
	f.Add("shop.example", "/voices/12")
	f.Add("[::1]:80", "//")
	f.Add(":", "?")
	table := kqroutes.NewTable(document(route("shop.example", "/voices/", "orders"), route("[::1]", "/", "packs")))
	f.Fuzz(func(t *testing.T, host, path string) {
		if r, found := table.Find(host, path); found && !strings.HasPrefix(path, r.Prefix) {
			t.Errorf("route of path %q: got prefix %q, want a prefix of the path", path, r.Prefix)
		}
	})
}
