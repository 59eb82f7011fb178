package place

// paceThreshold is the difference in cost, in tokens, up to which a fast or slow engine counts as
// nominal. An engine reads about as many tokens in the wait up to which it counts as idle. Without
// the threshold, short prompts, which gain a few ms, occupy the fast engines, and long ones wait.
const paceThreshold = 2000

// pacedCost returns the cost of a request at an engine that takes pace times as long as a nominal
// one; a pace of 0 is unknown. It addresses pools of uneven engines: long prompts must go to fast
// engines to be in time, short ones are in time at any.
func pacedCost(cost, pace float64) float64 {
	if pace <= 0 {
		return cost
	}
	difference := (pace - 1) * cost
	switch {
	case difference > paceThreshold:
		return cost + difference - paceThreshold
	case difference < -paceThreshold:
		return cost + difference + paceThreshold
	}
	return cost
}
