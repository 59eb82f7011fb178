package gather

import (
	"hash/fnv"
	"slices"
	"time"

	"github.com/vanillagate/vanillagate/internal/serve/pool"
)

// maxCell is the most targets of one cell. A larger service is divided by
// availability zone, so that no process gathers for a whole large pool and
// results stay in their zone. At eight targets a call ends every 40 ms, so a
// larger cell would shorten no wait that matters.
const maxCell = 8

// cells lists the cells of a service's targets.
func cells(service string, views []pool.View) []Cell {
	if len(views) <= maxCell {
		return []Cell{{Service: service}}
	}
	var list []Cell
	for _, v := range views {
		c := Cell{Service: service, Zone: v.Zone}
		if !slices.Contains(list, c) {
			list = append(list, c)
		}
	}
	return list
}

// in tells whether a target belongs to the cell.
func (c Cell) in(v pool.View) bool { return c.Zone == "" || c.Zone == v.Zone }

// score ranks a member for a cell; the highest gathers.
func (c Cell) score(member string) uint64 {
	h := fnv.New64a()
	for _, part := range []string{c.Service, c.Zone, member} {
		_, _ = h.Write([]byte(part)) // a hash.Hash never fails
		_, _ = h.Write([]byte{0})
	}
	// FNV's high bits barely depend on the last bytes; this spreads them.
	x := h.Sum64()
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	return x
}

// pace is how fast one target works, against what its service's settings say.
type pace struct {
	// ratio of the time that calls took to what was expected; 0 is unknown.
	ratio float64
	until time.Time // when a slow target is tried again
}

const (
	// paceWeight is how much the last call counts: a target that turns slow is
	// seen after one call, one that recovers after one or two.
	paceWeight = 0.6
	// slowRatio is how many times slower than the settings say a call is before
	// its target is passed over while others are there. Batches differ by a
	// tenth; a straggler takes three to five times as long.
	slowRatio = 1.8
	// slowPause is how long a slow target is passed over. It costs one call of
	// a slow target to find out that it still is.
	slowPause = 2 * time.Second
)

func (p *pace) took(actual, expected time.Duration, now time.Time) {
	ratio := float64(actual) / float64(expected)
	if p.ratio == 0 {
		p.ratio = ratio
	}
	p.ratio += paceWeight * (ratio - p.ratio)
	if p.ratio > slowRatio {
		p.until = now.Add(slowPause)
	}
}

func (p *pace) slow(now time.Time) bool { return now.Before(p.until) }

// factor is how many times longer than expected calls take, 1 where that isn't
// known or they take less.
func (p *pace) factor() float64 {
	if p == nil {
		return 1
	}
	return max(p.ratio, 1)
}
