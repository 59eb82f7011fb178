package quota

import "time"

const (
	// settlePeriod is how long the reserve isn't used after the number of processes has risen: before
	// that, this process may know too few of those that start at the same time.
	settlePeriod = 2 * time.Second
	// processCountHold is how long the highest number of processes holds after it was last seen. A
	// process can't tell a partition from the loss of the others, who may still spend their parts; it
	// is longer than partitions between regions last.
	processCountHold = 2 * time.Hour
)

// processCount estimates how many processes share a bound, including those that this one doesn't see. The
// zero value knows of none.
type processCount struct {
	// highest is 0 while the number is unknown.
	highest int
	// seenAt is when that many processes were last seen, by this one or by the one that told it.
	seenAt time.Time
	// raisedAt is when the number last rose.
	raisedAt time.Time
	// awaitsPeers means that other processes exist, but none has been seen yet.
	awaitsPeers bool
}

// see records that n processes are seen, including this one.
func (c *processCount) see(n int, now time.Time) {
	if n <= 1 && c.awaitsPeers {
		return
	}
	c.awaitsPeers = false
	if n < c.highest && now.Sub(c.seenAt) > processCountHold {
		c.highest = n
	}
	c.learn(n, now, now)
}

// learn records that n processes were seen at a moment, by this one or by another.
func (c *processCount) learn(n int, seenAt, now time.Time) {
	switch {
	case n > c.highest:
		c.highest, c.seenAt, c.raisedAt = n, seenAt, now
	case n == c.highest && seenAt.After(c.seenAt):
		c.seenAt = seenAt
	}
}

// settled reports whether the number is known and hasn't risen lately.
func (c *processCount) settled(now time.Time) bool {
	return c.highest > 0 && now.Sub(c.raisedAt) >= settlePeriod
}
