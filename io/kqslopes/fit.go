package kqslopes

import "math"

// Slope is the line fitted through one figure at all sizes: Intercept plus
// PerMember times the number of members.
type Slope struct {
	Name      string
	Unit      string
	Intercept float64
	PerMember float64
	// Spread is the largest deviation of a figure from the line, as a share of
	// the figure at the largest size.
	Spread float64
}

// figure names one figure of a size and reads it. The figure may not have been
// measured at that size.
type figure struct {
	name, unit string
	value      func(Size) (float64, bool)
}

func ofSize(value func(Size) float64) func(Size) (float64, bool) {
	return func(s Size) (float64, bool) { return value(s), true }
}

func ofRestart(value func(Restart) float64) func(Size) (float64, bool) {
	return func(s Size) (float64, bool) {
		if s.Restart == nil {
			return 0, false
		}
		return value(*s.Restart), true
	}
}

func ofEvent(event func(Size) *Event, value func(Event) float64) func(Size) (float64, bool) {
	return func(s Size) (float64, bool) {
		if event(s) == nil {
			return 0, false
		}
		return value(*event(s)), true
	}
}

var figures = []figure{
	{"Idle.Messages", "messages/s/node", ofSize(func(s Size) float64 { return s.Idle.Messages })},
	{"Idle.WireBytes", "bytes/s/node", ofSize(func(s Size) float64 { return s.Idle.WireBytes })},
	{"Idle.ProcessorPercent", "% of a core", ofSize(func(s Size) float64 { return s.Idle.ProcessorPercent })},
	{"Day.WireBytes", "bytes/s/node", ofSize(func(s Size) float64 { return s.Day.WireBytes })},
	{"Configuration.WireBytes", "bytes/change/node", ofSize(func(s Size) float64 { return s.Configuration.WireBytes })},
	{"Configuration.SecondsToAll", "s, slowest", ofSize(func(s Size) float64 { return maximum(s.Configuration.SecondsToAll) })},
	{"Replacement.WireBytes", "bytes/replacement/node", ofSize(func(s Size) float64 { return s.Replacement.WireBytes })},
	{"Failure.WireBytes", "bytes/failure/node", ofSize(func(s Size) float64 { return s.Failure.WireBytes })},
	{"Memory.BytesPerNode", "bytes", ofSize(func(s Size) float64 { return float64(s.Memory.BytesPerNode) })},
	{"Work.Snapshot", "us", ofSize(func(s Size) float64 { return s.Work.Snapshot })},
	{"Work.JoinBytes", "bytes", ofSize(func(s Size) float64 { return float64(s.Work.JoinBytes) })},
	{"Failure.SecondsToAll", "s, slowest", ofSize(func(s Size) float64 { return maximum(s.Failure.SecondsToAll) })},
	{"Heal.SecondsToAll", "s", ofEvent(func(s Size) *Event { return s.Heal }, func(e Event) float64 { return e.SecondsToAll })},
	{"Heal.EncodedBytesPerNode", "bytes/node", ofEvent(func(s Size) *Event { return s.Heal }, func(e Event) float64 { return e.EncodedBytesPerNode })},
	{"Heal.BusiestEncodedBytes", "bytes/s/node", ofEvent(func(s Size) *Event { return s.Heal }, func(e Event) float64 { return e.BusiestEncodedBytes })},
	{"Split.SecondsToAll", "s", ofEvent(func(s Size) *Event { return s.Split }, func(e Event) float64 { return e.SecondsToAll })},
	{"LostDomain.SecondsToAll", "s", ofEvent(func(s Size) *Event { return s.LostDomain }, func(e Event) float64 { return e.SecondsToAll })},
	{"LostDomain.EncodedBytesPerNode", "bytes/node", ofEvent(func(s Size) *Event { return s.LostDomain }, func(e Event) float64 { return e.EncodedBytesPerNode })},
	{"Restart.SecondsToAll", "s", ofRestart(func(r Restart) float64 { return r.SecondsToAll })},
	{"Restart.EncodedBytesPerNode", "bytes/node", ofRestart(func(r Restart) float64 { return r.EncodedBytesPerNode })},
	{"Restart.StoreReads", "calls", ofRestart(func(r Restart) float64 { return float64(r.StoreReads) })},
	{"Restart.BusiestReads", "calls/s", ofRestart(func(r Restart) float64 { return float64(r.BusiestReads) })},
}

func maximum(values []float64) float64 {
	highest := 0.0
	for _, v := range values {
		highest = max(highest, v)
	}
	return highest
}

func fitAll(sizes []Size) []Slope {
	var slopes []Slope
	for _, f := range figures {
		var x, y []float64
		for _, s := range sizes {
			if value, found := f.value(s); found {
				x, y = append(x, float64(s.Members)), append(y, value)
			}
		}
		if len(x) >= 2 {
			slopes = append(slopes, fit(f, x, y))
		}
	}
	return slopes
}

// fit returns the least-squares line through the points.
func fit(f figure, x, y []float64) Slope {
	n := float64(len(x))
	var sumX, sumY, sumXX, sumXY float64
	for i := range x {
		sumX += x[i]
		sumY += y[i]
		sumXX += x[i] * x[i]
		sumXY += x[i] * y[i]
	}
	s := Slope{Name: f.name, Unit: f.unit}
	s.PerMember = (n*sumXY - sumX*sumY) / (n*sumXX - sumX*sumX)
	s.Intercept = (sumY - s.PerMember*sumX) / n
	for i := range x {
		deviation := math.Abs(y[i] - s.Intercept - s.PerMember*x[i])
		if last := math.Abs(y[len(y)-1]); last > 0 {
			s.Spread = max(s.Spread, deviation/last)
		}
	}
	return s
}
