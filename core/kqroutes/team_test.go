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
	d := withTeams(
		kqroutes.Team{Name: "north", Keys: []string{"secret-a", "secret-a"}},
		kqroutes.Team{Name: "south", Keys: []string{"secret-b", "secret-a"}},
		kqroutes.Team{Name: "north"},
		kqroutes.Team{Name: "", Rank: -1, Rate: -1, Burst: math.Inf(1)},
		kqroutes.Team{Name: "with\r\nX-Header: 1", Rank: 256, Rate: math.NaN()},
		kqroutes.Team{Name: "keys", Keys: []string{"", " \t", "secret\r\nX-Header: 1", "secret\x7f"}},
	)
	var text strings.Builder
	for _, f := range d.Check() {
		fmt.Fprintln(&text, f)
	}
	if strings.Contains(text.String(), "secret") {
		t.Errorf("faults contain a key: %s", text.String())
	}
	compareGolden(t, "team-faults.txt", text.String())
}

// TestCheckFaultsWhatOperatorsMayWrite guards against bounds of our own on what a team
// may be: their pages set none.
func TestCheckFaultsWhatOperatorsMayWrite(t *testing.T) {
	d := withTeams(
		kqroutes.Team{Name: "Čakovec north", Keys: []string{"key with blanks", "ключ", strings.Repeat("k", 4000)}, Rank: 1 << 40},
		kqroutes.Team{Name: strings.Repeat("n", 4000), Rank: 256},
		kqroutes.Team{Name: "many"},
	)
	for i := range 5000 {
		d.Teams[2].Keys = append(d.Teams[2].Keys, fmt.Sprint("key-", i))
	}
	for i := range 25_000 {
		d.Teams = append(d.Teams, kqroutes.Team{Name: fmt.Sprint("team-", i)})
	}
	d.Routes[0].Rank = 1 << 40
	if got := d.Check(); len(got) > 0 {
		t.Errorf("faults: got %d, the first %s, want none", len(got), got[0])
	}
	table := kqroutes.NewTable(d)
	for key, want := range map[string]string{"key with blanks": "Čakovec north", "ключ": "Čakovec north", strings.Repeat("k", 4000): "Čakovec north", "key-4999": "many"} {
		if team, found := table.Team([]byte(key)); !found || team.Name != want || !team.CanBeNamed() {
			t.Errorf("team of key %.20q: got %+v, want %s, which can be named", key, team, want)
		}
	}
}

// TestFaultyTeamsAreLeftOut has teams that share names and keys, or can't be named. The
// others must be found, and a request without a key must not be of any team.
func TestFaultyTeamsAreLeftOut(t *testing.T) {
	table := kqroutes.NewTable(withTeams(
		kqroutes.Team{Name: "north", Keys: []string{"a", "shared"}, Rate: 5, Rank: -7},
		kqroutes.Team{Name: "south", Keys: []string{"shared", " b "}, Rate: math.NaN(), Burst: math.Inf(1)},
		kqroutes.Team{Name: "north", Keys: []string{"c"}, Rate: 900},
		kqroutes.Team{Name: "x\r\ny", Keys: []string{"d", "", " "}},
	))
	for key, want := range map[string]string{"a": "north 5", "shared": "north 5", "b": "south 0", "c": "north 5", "": "none", " ": "none", "d": "unnamed"} {
		got := "none"
		if team, found := table.Team([]byte(key)); found && !team.CanBeNamed() {
			got = "unnamed"
		} else if found {
			got = fmt.Sprintf("%s %g", team.Name, team.Rate)
		}
		if got != want {
			t.Errorf("team of key %q: got %s, want %s", key, got, want)
		}
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
// They must keep their order, and the first and the last ones must differ.
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
	ranks := map[int]bool{}
	former := 0
	for i := range 200 {
		team, _ := table.Team([]byte(fmt.Sprint(i)))
		for j := range d.Routes {
			got := table.Rank(team, &d.Routes[j])
			if got < former {
				t.Errorf("rank of team %d on route %d: got %d, want at least that of the pair before, %d", i, j, got, former)
			}
			former = got
			ranks[got] = true
		}
	}
	if got, want := len(ranks), 256; got != want {
		t.Errorf("ranks in use by 400 pairs: got %d, want %d", got, want)
	}
}
