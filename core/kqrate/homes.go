package kqrate

import (
	"cmp"
	"hash/fnv"
	"slices"
)

// hostsPerHome is the number of nodes for which the fleet has one home of quotas.
const hostsPerHome = 100

// Homes are the nodes of a fleet that count what teams use. All nodes that know the
// same hosts choose the same homes, and a host that is added or removed changes the
// home of few teams.
type Homes struct {
	names []string
}

// ChooseHomes returns the homes among the hosts with these node IDs.
func ChooseHomes(hosts []string) Homes {
	names := slices.Clone(hosts)
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Or(cmp.Compare(hashOf(b), hashOf(a)), cmp.Compare(a, b))
	})
	return Homes{names: names[:min(len(names), (len(names)+hostsPerHome-1)/hostsPerHome)]}
}

// Names returns the node IDs of the homes. The caller must not change them.
func (h Homes) Names() []string {
	return h.names
}

// Of returns the node ID of the home of a team, or an empty one without hosts.
func (h Homes) Of(team string) string {
	home, highest := "", uint64(0)
	for _, name := range h.names {
		if weight := hashOf(team, name); home == "" || weight > highest {
			home, highest = name, weight
		}
	}
	return home
}

// hashOf returns a hash of the texts, whose bits are all well mixed.
func hashOf(texts ...string) uint64 {
	h := fnv.New64a()
	for _, t := range texts {
		_, _ = h.Write([]byte(t))
		_, _ = h.Write([]byte{0})
	}
	x := h.Sum64()
	x = (x ^ x>>33) * 0xff51afd7ed558ccd
	x = (x ^ x>>33) * 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}
