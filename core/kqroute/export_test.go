package kqroute

// KnownClasses is the most classes that a pace of the table holds.
func KnownClasses(t *Table) int {
	most := len(t.pace.classes)
	for _, u := range t.upstreams {
		most = max(most, len(u.pace.classes))
	}
	return most
}
