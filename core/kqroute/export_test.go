package kqroute

// MaxTrackedClasses returns the largest number of classes that any latency
// baseline of the table holds.
func MaxTrackedClasses(t *Table) int {
	most := len(t.baseline.classes)
	for _, u := range t.upstreams {
		most = max(most, len(u.baseline.classes))
	}
	return most
}
