package kqmesh_test

import (
	"encoding/json"
	"testing"

	"kumquatlink/core/kqroutes"
	"kumquatlink/io/kqmesh"
)

// TestAcknowledgedRoutesAreNotInForce guards against a document that a node refuses after
// the store has acknowledged it: one value that the node could not use kept all its
// changes from being in force.
func TestAcknowledgedRoutesAreNotInForce(t *testing.T) {
	f := newFleet(t)
	version := int64(1)
	f.startServing(f.add("packs-1", "packs"), f.add("orders-1", "orders"), route("/moved/", "packs", true), route("/", "packs", true))
	for name, change := range map[string]func(d *kqroutes.Document){
		"rank of a route":        func(d *kqroutes.Document) { d.Routes[1].Rank = 300 },
		"rank of a team":         func(d *kqroutes.Document) { d.Teams[1].Rank = 300 },
		"name with blank":        func(d *kqroutes.Document) { d.Teams[1].Name = "Čakovec north" },
		"name of a team":         func(d *kqroutes.Document) { d.Teams[1].Name = "x\r\nKumquatlink-Team: north" },
		"key of two teams":       func(d *kqroutes.Document) { d.Teams[1].Keys = []string{"key"} },
		"no attempts":            func(d *kqroutes.Document) { d.Routes[1].MaxAttempts = 0 },
		"no timeout":             func(d *kqroutes.Document) { d.Routes[0].Timeout = 0 },
		"no service":             func(d *kqroutes.Document) { d.Routes[2].Parts = nil },
		"weights of 0":           func(d *kqroutes.Document) { d.Routes[2].Parts[0].Weight = 0 },
		"unlisted service":       func(d *kqroutes.Document) { d.Services = d.Services[:1] },
		"same prefix":            func(d *kqroutes.Document) { d.Routes = append(d.Routes, route("/moved/", "packs", false)) },
		"prefix without slash":   func(d *kqroutes.Document) { d.Routes[2].Prefix = "/odd" },
		"negative limit":         func(d *kqroutes.Document) { d.Limits.BodyBytes = -1 },
		"route without a host":   func(d *kqroutes.Document) { d.Routes[2].Host = "" },
		"everything is in order": func(*kqroutes.Document) {},
	} {
		version++
		// The routes move from one service to the other with each version.
		services := []string{"packs", "orders"}
		former, current := f.hosts[services[version%2]+"-1"], f.hosts[services[(version+1)%2]+"-1"]
		service := current.settings.Service
		d := kqroutes.Document{
			Version:  version,
			Routes:   []kqroutes.Route{route("/moved/", service, true), route("/new/", service, true), route("/odd/", service, true), route("/", former.settings.Service, true)},
			Services: []kqroutes.Service{{Name: former.settings.Service}, {Name: service}},
			Teams:    []kqroutes.Team{{Name: "north", Keys: []string{"key"}}, {Name: "south", Keys: []string{"other"}}},
		}
		change(&d)
		value, err := json.Marshal(d)
		if err != nil {
			t.Fatal(err)
		}
		f.putRoutes(value)
		f.awaitState(former, "acknowledged routes, "+name, func(s *kqmesh.State) bool { return s.Routes.Document().Version == version })
		ask := func(key, path, id string) result {
			return former.requestWithHeaders(path, id, kqmesh.HeaderTeamKey+": "+key)
		}
		for _, path := range []string{"/moved/", "/new/"} {
			id := name + path
			if got := ask("key", path, id); got.status != 200 || current.runCount(id) != 1 {
				t.Errorf("%s: request for %s: got %+v and %d runs at the service of the new routes, want 200 and 1", name, path, got, current.runCount(id))
			}
		}
		// A request whose route has no service must not go to that of a shorter prefix.
		id := name + " odd"
		ask("key", "/odd/", id)
		if got, want := former.runCount(id), 0; got != want && d.Routes[2].Host != "" {
			t.Errorf("%s: runs of a request for /odd/ by the service of /: got %d, want %d", name, got, want)
		}
		// Nothing that a team is called may reach servers as another field.
		id = name + " other"
		got := ask("other", "/moved/", id)
		if ran := current.runCount(id) > 0; ran != (got.status == 200) || ran && d.Teams[1].Keys[0] == "other" && current.header("Kumquatlink-Team") != d.Teams[1].Name {
			t.Errorf("%s: request of the other team: got %+v, run %t, as %q", name, got, ran, current.header("Kumquatlink-Team"))
		}
	}
}
