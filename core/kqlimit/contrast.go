package kqlimit

import "math"

// comparison compares the service times of two groups of samples: the low group,
// which began far below the limit, and the high group, which began at it. It
// takes the difference within blocks of samples that ended at about the same
// time and combines the blocks. A change of the backend server's speed then
// falls into one block and increases the variance there. If old samples of one
// group were compared with new ones of the other, such a change would look like
// queueing.
type comparison struct {
	// low and high count the samples of the groups.
	low  int
	high int
	// Means over all blocks.
	meanLow      float64
	meanHigh     float64
	inFlightLow  float64
	inFlightHigh float64
	holdLow      float64
	// weight sums the weights of the blocks, and weightedDifference their
	// differences multiplied by their weights.
	weight             float64
	weightedDifference float64
	// squares sums the squared deviations from the block means, with
	// degreesOfFreedom degrees of freedom.
	squares          float64
	degreesOfFreedom float64
}

// add adds the two groups of one block.
func (c *comparison) add(low, high group) {
	c.low, c.meanLow = combine(c.low, c.meanLow, low.count, low.mean)
	_, c.inFlightLow = combine(c.low-low.count, c.inFlightLow, low.count, low.inFlight)
	_, c.holdLow = combine(c.low-low.count, c.holdLow, low.count, low.hold)
	c.high, c.meanHigh = combine(c.high, c.meanHigh, high.count, high.mean)
	_, c.inFlightHigh = combine(c.high-high.count, c.inFlightHigh, high.count, high.inFlight)
	if low.count == 0 || high.count == 0 {
		return
	}
	n, m := float64(low.count), float64(high.count)
	weight := n * m / (n + m)
	c.weight += weight
	c.weightedDifference += weight * (high.mean - low.mean)
	c.squares += low.squares + high.squares
	c.degreesOfFreedom += n + m - 2
}

// combine returns the count and the mean of the union of two sets.
func combine(n int, mean float64, m int, other float64) (int, float64) {
	if n+m == 0 {
		return 0, 0
	}
	return n + m, mean + (other-mean)*float64(m)/float64(n+m)
}

// difference returns by how many nanoseconds the high group took longer than the
// low group.
func (c comparison) difference() float64 {
	if c.weight == 0 {
		return 0
	}
	return c.weightedDifference / c.weight
}

// standardError returns the standard error of the difference, or infinity when
// there is too little data.
func (c comparison) standardError() float64 {
	if c.weight == 0 || c.degreesOfFreedom <= 0 {
		return math.Inf(1)
	}
	return math.Sqrt(c.squares / c.degreesOfFreedom / c.weight)
}

// baseHold returns how many nanoseconds the low group held its slots on average,
// at least 1.
func (c comparison) baseHold() float64 {
	return max(1, c.holdLow)
}
