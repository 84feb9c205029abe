package kqroutes_test

import (
	"fmt"
	"math"
	"strings"
	"testing"

	"kumquatlink/core/kqroutes"
)

// withTeams returns a document with two routes of ranks 1 and 3, and the teams.
func withTeams(teams ...kqroutes.Team) kqroutes.Document {
	urgent, usual := route("shop.example", "/orders/", "orders"), route("shop.example", "/", "catalog")
	urgent.Rank, usual.Rank = 1, 3
	d := document(urgent, usual)
	d.Teams = teams
	return d
}

func TestCheckReportsEveryFaultOfTeamsAndNoKey(t *testing.T) {
	tooMany := make([]string, kqroutes.MaxKeysOfTeam+1)
	for i := range tooMany {
		tooMany[i] = fmt.Sprintf("secret-%d", i)
	}
	d := withTeams(
		kqroutes.Team{Name: "north", Keys: []string{"secret-a", "secret-a"}},
		kqroutes.Team{Name: "south", Keys: []string{"secret-b", "secret-a"}},
		kqroutes.Team{Name: "north"},
		kqroutes.Team{Name: "", Rank: -1, Rate: -1, Burst: math.Inf(1)},
		kqroutes.Team{Name: "with blank", Rank: 256, Rate: math.NaN()},
		kqroutes.Team{Name: "keys", Keys: []string{"", "secret with blank", "secret\r\nX-Header: 1", strings.Repeat("s", kqroutes.MaxKeyBytes+1)}},
		kqroutes.Team{Name: "many", Keys: tooMany},
	)
	var text strings.Builder
	for _, f := range d.Check() {
		fmt.Fprintln(&text, f)
	}
	if strings.Contains(text.String(), "secret") {
		t.Errorf("faults contain a key: %s", text.String())
	}
	compareGolden(t, "team-faults.txt", text.String())
	d.Teams = make([]kqroutes.Team, kqroutes.MaxTeams+1)
	if got, want := len(d.Check()), 1; got != want {
		t.Errorf("faults of a document with too many teams: got %d, want %d", got, want)
	}
}

func TestTeamIsFoundByEachOfItsKeys(t *testing.T) {
	table := kqroutes.NewTable(withTeams(
		kqroutes.Team{Name: "north", Keys: []string{"key-1", "key-2"}, Rate: 5},
		kqroutes.Team{Name: "south", Keys: []string{"key-3"}},
	))
	for _, q := range [][2]string{{"key-1", "north"}, {"key-2", "north"}, {"key-3", "south"}, {"KEY-1", ""}, {"key-1 ", ""}, {"key-", ""}, {"", ""}} {
		key, want := q[0], q[1]
		got := ""
		if team, found := table.Team([]byte(key)); found {
			got = team.Name
		}
		if got != want {
			t.Errorf("team of key %q: got %q, want %q", key, got, want)
		}
	}
	north, _ := table.Team([]byte("key-1"))
	south, _ := table.Team([]byte("key-3"))
	if !north.IsLimited() || south.IsLimited() {
		t.Errorf("teams with a quota: got north %t and south %t, want north alone", north.IsLimited(), south.IsLimited())
	}
}

// TestTableHoldsNoKeys keeps keys out of whatever prints a table or its document.
func TestTableHoldsNoKeys(t *testing.T) {
	d := withTeams(kqroutes.Team{Name: "north", Keys: []string{"secret"}})
	table := kqroutes.NewTable(d)
	if got := fmt.Sprintf("%+v %+v", table.Document(), table); strings.Contains(got, "secret") {
		t.Errorf("table: got %s, want no key", got)
	}
	if got, want := len(d.Teams[0].Keys), 1; got != want {
		t.Errorf("keys of the document that the table was made of: got %d, want %d", got, want)
	}
}

// TestRankOfATeamGoesBeforeThatOfARoute orders all pairs of team and route.
func TestRankOfATeamGoesBeforeThatOfARoute(t *testing.T) {
	d := withTeams(kqroutes.Team{Name: "first", Keys: []string{"a"}, Rank: 2}, kqroutes.Team{Name: "second", Keys: []string{"b"}, Rank: 7})
	table := kqroutes.NewTable(d)
	first, _ := table.Team([]byte("a"))
	second, _ := table.Team([]byte("b"))
	urgent, usual := &d.Routes[0], &d.Routes[1]
	for _, q := range []struct {
		name  string
		team  *kqroutes.Team
		route *kqroutes.Route
		want  int
	}{
		{"first team, urgent route", first, urgent, 0},
		{"first team, usual route", first, usual, 1},
		{"second team, urgent route", second, urgent, 2},
		{"second team, usual route", second, usual, 3},
		{"no team, urgent route", nil, urgent, 0},
		{"no team, usual route", nil, usual, 1},
	} {
		if got := table.Rank(q.team, q.route); got != q.want {
			t.Errorf("rank of %s: got %d, want %d", q.name, got, q.want)
		}
	}
	d.Teams = nil
	if got, want := kqroutes.NewTable(d).Rank(nil, usual), 3; got != want {
		t.Errorf("rank without teams: got %d, want that of the route, %d", got, want)
	}
}

// TestRankStaysWithinThoseOfALevel has more pairs of ranks than a level distinguishes.
func TestRankStaysWithinThoseOfALevel(t *testing.T) {
	d := withTeams()
	for i := range 200 {
		d.Teams = append(d.Teams, kqroutes.Team{Name: fmt.Sprint(i), Keys: []string{fmt.Sprint(i)}, Rank: i})
	}
	table := kqroutes.NewTable(d)
	last, _ := table.Team([]byte("199"))
	if got, want := table.Rank(last, &d.Routes[1]), 255; got != want {
		t.Errorf("rank of the last pair: got %d, want %d", got, want)
	}
}
