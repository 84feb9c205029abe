package kqroutes

import (
	"crypto/sha256"
	"fmt"
	"math"
	"slices"

	"kumquatlink/core/kqclass"
)

// Bounds of what a document may say about teams.
const (
	MaxTeams         = 20_000
	MaxKeysOfTeam    = 1024
	MaxKeyBytes      = 512
	MaxTeamNameBytes = 128
)

// Team is a group of callers that share keys, an importance and a quota.
type Team struct {
	Name string
	// Keys are the secrets by which callers of the team identify themselves. A key
	// belongs to one team.
	Keys []string
	// Rank is the importance of the team's requests, which goes before that of
	// their routes; 0 is the most important.
	Rank int
	// Rate is how many requests a second the team may send, over all nodes
	// together, and Burst how many more after a pause. A rate of 0 means no limit.
	Rate  float64
	Burst float64
}

// IsLimited reports whether the team has a quota.
func (t *Team) IsLimited() bool {
	return t.Rate > 0
}

// check returns the faults of a team, without those of its keys.
func (t *Team) check(field string) []kqclass.Fault {
	var faults []kqclass.Fault
	if t.Name == "" || len(t.Name) > MaxTeamNameBytes || !isVisible(t.Name) {
		faults = append(faults, fault(field+".Name", t.Name, fmt.Sprintf("1 to %d visible characters", MaxTeamNameBytes)))
	}
	if t.Rank < 0 || t.Rank > maxRank {
		faults = append(faults, fault(field+".Rank", t.Rank, fmt.Sprintf("0 to %d", maxRank)))
	}
	if !isQuantity(t.Rate) {
		faults = append(faults, fault(field+".Rate", t.Rate, "a number of at least 0"))
	}
	if !isQuantity(t.Burst) {
		faults = append(faults, fault(field+".Burst", t.Burst, "a number of at least 0"))
	}
	if len(t.Keys) > MaxKeysOfTeam {
		faults = append(faults, fault(field+".Keys", len(t.Keys), fmt.Sprintf("at most %d", MaxKeysOfTeam)))
	}
	return faults
}

// checkTeams returns the faults of the document's teams. A fault of a key shows its
// position, never the key.
func (d Document) checkTeams() []kqclass.Fault {
	var faults []kqclass.Fault
	if len(d.Teams) > MaxTeams {
		return []kqclass.Fault{fault("Teams", len(d.Teams), fmt.Sprintf("at most %d", MaxTeams))}
	}
	names, holders := map[string]int{}, map[string]int{}
	for i := range d.Teams {
		t := &d.Teams[i]
		field := fmt.Sprintf("Teams[%d]", i)
		faults = append(faults, t.check(field)...)
		if first, taken := names[t.Name]; taken {
			faults = append(faults, fault(field+".Name", t.Name, fmt.Sprintf("a name other than that of Teams[%d]", first)))
		}
		names[t.Name] = i
		for j, key := range t.Keys {
			keyField := fmt.Sprintf("%s.Keys[%d]", field, j)
			if key == "" || len(key) > MaxKeyBytes || !isVisible(key) {
				faults = append(faults, fault(keyField, fmt.Sprintf("%d bytes", len(key)), fmt.Sprintf("1 to %d visible characters", MaxKeyBytes)))
				continue
			}
			if holder, taken := holders[key]; taken && holder != i {
				faults = append(faults, fault(keyField, "a key", fmt.Sprintf("a key that Teams[%d] does not hold", holder)))
			}
			holders[key] = i
		}
	}
	return faults
}

// isVisible reports whether a text consists of visible ASCII characters, as the value
// of a header field may.
func isVisible(text string) bool {
	return !slices.ContainsFunc([]byte(text), func(b byte) bool { return b <= ' ' || b > '~' })
}

// isQuantity reports whether a number is finite and not negative.
func isQuantity(x float64) bool {
	return x >= 0 && !math.IsInf(x, 1)
}

// keyDigest is a hash of a key. The table looks keys up by their digests, so that the
// time that takes tells nothing about the keys that exist.
type keyDigest [sha256.Size]byte

// teamIndex finds teams by key, and ranks by team and route.
type teamIndex struct {
	byKey map[keyDigest]*Team
	// teamRanks and routeRanks are the distinct ranks in use, in ascending order.
	teamRanks  []int
	routeRanks []int
}

// newTeamIndex indexes the teams of a document, and removes the keys from them.
func newTeamIndex(d *Document) teamIndex {
	x := teamIndex{byKey: map[keyDigest]*Team{}}
	d.Teams = slices.Clone(d.Teams)
	for i := range d.Teams {
		t := &d.Teams[i]
		for _, key := range t.Keys {
			x.byKey[sha256.Sum256([]byte(key))] = t
		}
		t.Keys = nil
		x.teamRanks = append(x.teamRanks, t.Rank)
	}
	for _, r := range d.Routes {
		x.routeRanks = append(x.routeRanks, r.Rank)
	}
	slices.Sort(x.teamRanks)
	slices.Sort(x.routeRanks)
	x.teamRanks, x.routeRanks = slices.Compact(x.teamRanks), slices.Compact(x.routeRanks)
	return x
}

// HasTeams reports whether the document has teams, so that requests of routes that
// are not public need a key.
func (t *Table) HasTeams() bool {
	return len(t.document.Teams) > 0
}

// Team returns the team that holds a key, and whether there is one. The team has no
// keys; the caller must not change it.
func (t *Table) Team(key []byte) (*Team, bool) {
	team, found := t.teams.byKey[sha256.Sum256(key)]
	return team, found
}

// Rank returns the importance of a request of a team on a route: first that of the
// team, then that of the route. The team is nil for a request without one, which
// counts as one of the most important team.
func (t *Table) Rank(team *Team, route *Route) int {
	if !t.HasTeams() {
		return route.Rank
	}
	teamRank := t.teams.teamRanks[0]
	if team != nil {
		teamRank = team.Rank
	}
	i, _ := slices.BinarySearch(t.teams.teamRanks, teamRank)
	j, _ := slices.BinarySearch(t.teams.routeRanks, route.Rank)
	return min(i*len(t.teams.routeRanks)+j, maxRank)
}
