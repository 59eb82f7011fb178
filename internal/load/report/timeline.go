package report

import (
	"time"

	"github.com/vanillagate/vanillagate/internal/load/caller"
)

// Point summarizes the requests scheduled within one interval of a run.
type Point struct {
	// Second is the middle of the interval, in seconds since the start.
	Second   float64 `json:"second"`
	Requests int     `json:"requests"`
	InTime   int     `json:"in_time"`
	P95      float64 `json:"p95_ms"`
}

// timelineIntervals is the number of intervals that a run's duration is divided
// into.
const timelineIntervals = 20

// Timeline divides a run into intervals of equal length and summarizes the
// requests of each. Poison requests are excluded.
func Timeline(results []caller.Result, duration time.Duration) []Point {
	if len(results) == 0 || duration <= 0 {
		return nil
	}
	start := results[0].Call.Scheduled.Add(-results[0].ScheduledOffset)
	points := make([]Point, timelineIntervals)
	latenciesByInterval := make([][]time.Duration, timelineIntervals)
	for i := range points {
		points[i].Second = duration.Seconds() * (float64(i) + 0.5) / timelineIntervals
	}
	for _, r := range results {
		if r.Call.Poison {
			continue
		}
		interval := int(r.Call.Scheduled.Sub(start) * timelineIntervals / duration)
		interval = min(max(interval, 0), timelineIntervals-1)
		points[interval].Requests++
		if r.InTime() {
			points[interval].InTime++
		}
		latenciesByInterval[interval] = append(latenciesByInterval[interval], r.Latency)
	}
	for i := range points {
		points[i].P95 = Percentiles(latenciesByInterval[i]).P95
	}
	return points
}
