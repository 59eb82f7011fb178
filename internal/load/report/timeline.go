package report

import (
	"time"

	"github.com/vanillagate/vanillagate/internal/load/caller"
)

// Point is a part of a run's duration, by the scheduled time of its requests.
type Point struct {
	// Second is the middle of the part, since the start.
	Second   float64 `json:"second"`
	Requests int     `json:"requests"`
	InTime   int     `json:"in_time"`
	P95      float64 `json:"p95_ms"`
}

// timelineParts is into how many parts a duration is cut.
const timelineParts = 20

// Timeline shows how a run went over time. Poison requests are left out.
func Timeline(results []caller.Result, length time.Duration) []Point {
	if len(results) == 0 || length <= 0 {
		return nil
	}
	start := results[0].Call.Scheduled.Add(-results[0].ScheduledOffset)
	points := make([]Point, timelineParts)
	spent := make([][]time.Duration, timelineParts)
	for i := range points {
		points[i].Second = length.Seconds() * (float64(i) + 0.5) / timelineParts
	}
	for _, r := range results {
		if r.Call.Poison {
			continue
		}
		at := int(r.Call.Scheduled.Sub(start) * timelineParts / length)
		at = min(max(at, 0), timelineParts-1)
		points[at].Requests++
		if r.InTime() {
			points[at].InTime++
		}
		spent[at] = append(spent[at], r.Latency)
	}
	for i := range points {
		points[i].P95 = Percentiles(spent[i]).P95
	}
	return points
}
