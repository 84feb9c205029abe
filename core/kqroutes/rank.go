package kqroutes

import "slices"

// maxRank is the largest rank of a request, which is also the largest that kqadmit
// distinguishes.
const maxRank = 255

// ranking maps the ranks of a document, which have no upper bound, to those of requests.
type ranking struct {
	// teams and routes are the distinct ranks in use, in ascending order.
	teams  []int
	routes []int
}

func newRanking(d Document) ranking {
	var x ranking
	for _, t := range d.Teams {
		x.teams = append(x.teams, t.Rank)
	}
	for _, r := range d.Routes {
		x.routes = append(x.routes, r.Rank)
	}
	slices.Sort(x.teams)
	slices.Sort(x.routes)
	x.teams, x.routes = slices.Compact(x.teams), slices.Compact(x.routes)
	return x
}

// ofRoute returns the rank of a request without a team. It is that of the route, unless
// some route of the document has a larger one than requests can have: then the ranks
// move closer together.
func (x ranking) ofRoute(rank int) int {
	if len(x.routes) == 0 || x.routes[len(x.routes)-1] <= maxRank {
		return rank
	}
	at, _ := slices.BinarySearch(x.routes, rank)
	if len(x.routes) > maxRank+1 {
		return spread(at, len(x.routes))
	}
	return min(rank, maxRank-(len(x.routes)-1-at))
}

// ofTeam returns the rank of a request of a team: first by the rank of the team, then by
// that of the route.
func (x ranking) ofTeam(teamRank, routeRank int) int {
	i, _ := slices.BinarySearch(x.teams, teamRank)
	j, _ := slices.BinarySearch(x.routes, routeRank)
	return spread(i*len(x.routes)+j, len(x.teams)*len(x.routes))
}

// spread returns the rank for one of count positions. If there are more positions than
// ranks, neighbours share one.
func spread(at, count int) int {
	if count <= maxRank+1 {
		return at
	}
	return at * (maxRank + 1) / count
}

// Rank returns the importance of a request of a team on a route, 0 to 255: first that of
// the team, then that of the route. The team is nil for a request without one, which
// counts as one of the most important team.
func (t *Table) Rank(team *Team, route *Route) int {
	if !t.HasTeams() {
		return t.ranking.ofRoute(route.Rank)
	}
	teamRank := t.ranking.teams[0]
	if team != nil {
		teamRank = team.Rank
	}
	return t.ranking.ofTeam(teamRank, route.Rank)
}
