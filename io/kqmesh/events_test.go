package kqmesh_test

import (
	"encoding/json"
	"slices"
	"strings"
	"testing"

	"github.com/valyala/fasthttp"

	"kumquatlink/core/kqserver"
	"kumquatlink/io/kqlog"
	"kumquatlink/io/kqmesh"
)

func TestEventsAreDescribed(t *testing.T) {
	names := map[string]bool{}
	for i, k := range kqmesh.Events() {
		if k.Name == "" || !strings.HasSuffix(k.Description, ".") {
			t.Errorf("event %d: got %+v, want a name and a sentence", i, k)
		}
		if names[k.Name] {
			t.Errorf("event %s: described twice", k.Name)
		}
		names[k.Name] = true
	}
}

// TestLogLinesHaveTheDocumentedFields runs a small fleet through requests, a
// draining server and the loss of a node, and compares the fields of every log
// line with the tables from which docs/logs.md is generated.
func TestLogLinesHaveTheDocumentedFields(t *testing.T) {
	f := newFleet(t)
	near, far := f.add("catalog-1", "catalog"), f.add("orders-1", "orders")
	f.startServing(near, far, route("/buy/", "orders", true))
	for _, path := range []string{"/buy/", "/nowhere/"} {
		near.request("GET", path, "told"+strings.Trim(path, "/"), "")
	}
	far.reportState(kqserver.Draining)
	near.reportState(kqserver.Ready)
	f.awaitConvergence(1, 1)
	far.node.Stop()
	if got := near.ready(); got != fasthttp.StatusOK {
		t.Errorf("ready: got %d, want 200", got)
	}
	f.awaitLogged(`"Event":"Readiness"`)
	common := fieldNames(kqlog.CommonFields())
	events := map[string]kqlog.EventKind{}
	for _, k := range kqmesh.Events() {
		events[k.Name] = k
	}
	decisions := 0
	for _, text := range strings.Split(strings.TrimSpace(f.logged()), "\n") {
		line := map[string]any{}
		if err := json.Unmarshal([]byte(text), &line); err != nil {
			t.Fatalf("line %s: %v", text, err)
		}
		documented := slices.Concat(common, fieldNames(kqlog.DecisionFields()))
		if name, is := line["Event"].(string); is {
			documented = slices.Concat(common, []string{"Event", "Message", "Error"}, events[name].Fields)
			for _, field := range events[name].Fields {
				if _, found := line[field]; !found {
					t.Errorf("event lacks its documented field %s: %s", field, text)
				}
			}
		} else {
			decisions++
		}
		for field := range line {
			if !slices.Contains(documented, field) {
				t.Errorf("field %s is not documented: %s", field, text)
			}
		}
	}
	if decisions < 4 {
		t.Errorf("decisions of two requests: got %d, want 4 or more", decisions)
	}
}

func fieldNames(fields []kqlog.FieldDescription) []string {
	var names []string
	for _, f := range fields {
		names = append(names, f.Name)
	}
	return names
}
