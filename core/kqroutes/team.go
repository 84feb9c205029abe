package kqroutes

import (
	"crypto/sha256"
	"fmt"
	"math"
	"slices"
	"strings"

	"kumquatlink/core/kqclass"
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

// CanBeNamed reports whether backend servers can be told the name of the team in a
// header field. Otherwise its requests must not be sent to them.
func (t *Team) CanBeNamed() bool {
	return t.Name != "" && isFieldValue(t.Name)
}

// check returns the faults of a team, without those of its keys.
func (t *Team) check(field string) []kqclass.Fault {
	var faults []kqclass.Fault
	if !t.CanBeNamed() {
		faults = append(faults, fault(field+".Name", t.Name, "a name without control characters"))
	}
	if t.Rank < 0 {
		faults = append(faults, fault(field+".Rank", t.Rank, "at least 0"))
	}
	if !isQuantity(t.Rate) {
		faults = append(faults, fault(field+".Rate", t.Rate, "a number of at least 0"))
	}
	if !isQuantity(t.Burst) {
		faults = append(faults, fault(field+".Burst", t.Burst, "a number of at least 0"))
	}
	return faults
}

// checkTeams returns the faults of the document's teams. A fault of a key shows its
// position, never the key.
func (d Document) checkTeams() []kqclass.Fault {
	var faults []kqclass.Fault
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
			if trimBlanks(key) == "" || !isFieldValue(key) {
				faults = append(faults, fault(keyField, fmt.Sprintf("%d bytes", len(key)), "a key without control characters"))
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

// isFieldValue reports whether a text can be the value of a header field, blanks around
// it aside (RFC 9110, section 5.5).
func isFieldValue(text string) bool {
	return !slices.ContainsFunc([]byte(text), func(b byte) bool { return b < ' ' && b != '\t' || b == 0x7f })
}

// trimBlanks returns a key as readers of header fields return it.
func trimBlanks(key string) string {
	return strings.Trim(key, " \t")
}

// isQuantity reports whether a number is finite and not negative.
func isQuantity(x float64) bool {
	return x >= 0 && !math.IsInf(x, 1)
}

// keyDigest is a hash of a key. The table looks keys up by their digests, so that the
// time that takes tells nothing about the keys that exist.
type keyDigest [sha256.Size]byte

// indexTeams returns the teams without their keys, and the teams by key. Entries with the
// same name are one team, the first of them, and a key belongs to the first team that
// lists it.
func indexTeams(teams []Team) ([]Team, map[keyDigest]*Team) {
	teams = slices.Clone(teams)
	byName, byKey := map[string]*Team{}, map[keyDigest]*Team{}
	for i := range teams {
		t := &teams[i]
		keys := t.Keys
		t.Keys, t.Rank = nil, max(t.Rank, 0)
		if !isQuantity(t.Rate) {
			t.Rate = 0
		}
		if !isQuantity(t.Burst) {
			t.Burst = 0
		}
		if first, found := byName[t.Name]; found {
			t = first
		}
		byName[t.Name] = t
		for _, key := range keys {
			digest := keyDigest(sha256.Sum256([]byte(trimBlanks(key))))
			if _, taken := byKey[digest]; !taken && trimBlanks(key) != "" {
				byKey[digest] = t
			}
		}
	}
	return teams, byKey
}

// HasTeams reports whether the document has teams, so that requests of routes that
// are not public need a key.
func (t *Table) HasTeams() bool {
	return len(t.document.Teams) > 0
}

// Team returns the team that holds a key, and whether there is one. The team has no
// keys; the caller must not change it.
func (t *Table) Team(key []byte) (*Team, bool) {
	team, found := t.teams[sha256.Sum256(key)]
	return team, found
}
