package bench

import (
	"cmp"
	"encoding/json"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"
)

// Spread is the median, minimum and maximum of a figure over several runs.
type Spread struct {
	Median, Low, High float64
}

// NewSpread returns the Spread of values; without values it is zero.
func NewSpread(values []float64) Spread {
	if len(values) == 0 {
		return Spread{}
	}
	sorted := slices.Sorted(slices.Values(values))
	middle := len(sorted) / 2
	median := sorted[middle]
	if len(sorted)%2 == 0 {
		median = (sorted[middle-1] + sorted[middle]) / 2
	}
	return Spread{Median: median, Low: sorted[0], High: sorted[len(sorted)-1]}
}

// Row holds the merged results of one policy in one scenario over all seeds.
type Row struct {
	Scenario, Policy string
	Runs             []Result
	Attainment       Spread
	P50, P95         Spread
	Cost             Spread
	// SendDelay is how long after schedule vgload itself sent requests, at the
	// 99th percentile. High values mean that the machine was overloaded and the
	// row is not reliable.
	SendDelay Spread
	// CachedShare is the share of prompt tokens found in prefix caches.
	CachedShare Spread
	// AttainmentRatio and CostRatio are the figure of PresentPolicy divided by
	// that of this policy, for each seed. They are zero if PresentPolicy has no
	// run with the same seed.
	AttainmentRatio, CostRatio Spread
	// ByCustomer maps each customer to its attainment.
	ByCustomer map[string]Spread
	// Lost, Doubled, Crossed and FalseNotRun are sums over all seeds.
	Lost, Doubled, Crossed, FalseNotRun int
}

// ReadResults reads all results in a directory.
func ReadResults(dir string) ([]Result, error) {
	files, err := filepath.Glob(filepath.Join(dir, "*.json"))
	if err != nil {
		return nil, err
	}
	var all []Result
	for _, file := range files {
		raw, err := os.ReadFile(file)
		if err != nil {
			return nil, err
		}
		var r Result
		if err := json.Unmarshal(raw, &r); err != nil {
			return nil, fmt.Errorf("%s: %w", file, err)
		}
		all = append(all, r)
	}
	if len(all) == 0 {
		return nil, fmt.Errorf("bench: no results in %s: %w", dir, os.ErrNotExist)
	}
	return all, nil
}

type rowKey struct{ scenario, policy string }

// Merge combines results into one row for each scenario and policy, sorted by
// scenario and then by the order of Policies.
func Merge(results []Result) []Row {
	groups := map[rowKey][]Result{}
	for _, r := range results {
		key := rowKey{r.Scenario, r.Policy}
		groups[key] = append(groups[key], r)
	}
	var rows []Row
	for key, runs := range groups {
		slices.SortFunc(runs, func(a, b Result) int { return cmp.Compare(a.Seed, b.Seed) })
		rows = append(rows, newRow(key, runs, groups[rowKey{key.scenario, PresentPolicy}]))
	}
	slices.SortFunc(rows, func(a, b Row) int {
		return cmp.Or(
			cmp.Compare(a.Scenario, b.Scenario),
			cmp.Compare(slices.Index(Policies, a.Policy), slices.Index(Policies, b.Policy)),
		)
	})
	return rows
}

func newRow(key rowKey, runs, present []Result) Row {
	row := Row{Scenario: key.scenario, Policy: key.policy, Runs: runs}
	row.Attainment = spreadOver(runs, func(r Result) float64 { return r.Summary.Attainment })
	row.P50 = spreadOver(runs, func(r Result) float64 { return r.Summary.Latency.P50 })
	row.P95 = spreadOver(runs, func(r Result) float64 { return r.Summary.Latency.P95 })
	row.Cost = spreadOver(runs, func(r Result) float64 { return r.Summary.Cost })
	row.SendDelay = spreadOver(runs, func(r Result) float64 { return r.Summary.SendDelay.P99 })
	row.CachedShare = spreadOver(runs, func(r Result) float64 { return r.Summary.CachedShare })
	row.ByCustomer = byCustomer(runs)
	row.AttainmentRatio = ratios(present, runs, func(r Result) float64 { return r.Summary.Attainment })
	row.CostRatio = ratios(present, runs, func(r Result) float64 { return r.Summary.Cost })
	for _, r := range runs {
		row.Lost += r.Summary.Lost
		row.Doubled += r.Summary.RanTwice
		row.Crossed += r.Summary.WrongAnswers
		row.FalseNotRun += r.Summary.FalseNotRun
	}
	return row
}

func spreadOver(runs []Result, metric func(Result) float64) Spread {
	var values []float64
	for _, r := range runs {
		values = append(values, metric(r))
	}
	return NewSpread(values)
}

// ratios divides the metric of each run in numerators by that of the run with
// the same seed in denominators. Runs whose denominator is zero are skipped.
func ratios(numerators, denominators []Result, metric func(Result) float64) Spread {
	var values []float64
	for _, b := range denominators {
		match := slices.IndexFunc(numerators, func(a Result) bool { return a.Seed == b.Seed })
		if match >= 0 && metric(b) > 0 {
			values = append(values, metric(numerators[match])/metric(b))
		}
	}
	return NewSpread(values)
}

func byCustomer(runs []Result) map[string]Spread {
	values := map[string][]float64{}
	for _, r := range runs {
		for _, c := range r.Summary.ByCustomer {
			values[c.Customer] = append(values[c.Customer], c.Attainment)
		}
	}
	spreads := map[string]Spread{}
	for name, list := range values {
		spreads[name] = NewSpread(list)
	}
	return spreads
}

// CustomerLine returns the median attainment of each customer as one line of
// key=value pairs.
func (r Row) CustomerLine() string {
	var line strings.Builder
	fmt.Fprintf(&line, "by_customer policy=%s scenario=%s", r.Policy, r.Scenario)
	for _, name := range slices.Sorted(maps.Keys(r.ByCustomer)) {
		fmt.Fprintf(&line, " %s=%.4f", name, r.ByCustomer[name].Median)
	}
	return line.String()
}

// Line returns the row as one line of key=value pairs.
func (r Row) Line() string {
	return fmt.Sprintf("policy=%s scenario=%s attainment=%.4f p50_ms=%.1f p95_ms=%.1f cost=%.0f"+
		" attainment_low=%.4f attainment_high=%.4f seeds=%d present_to_this_attainment=%.3f present_to_this_cost=%.3f"+
		" lost=%d doubled=%d crossed=%d false_not_run=%d cached_share=%.3f sent_late_p99_ms=%.1f",
		r.Policy, r.Scenario, r.Attainment.Median, r.P50.Median, r.P95.Median, r.Cost.Median,
		r.Attainment.Low, r.Attainment.High, len(r.Runs), r.AttainmentRatio.Median, r.CostRatio.Median,
		r.Lost, r.Doubled, r.Crossed, r.FalseNotRun, r.CachedShare.Median, r.SendDelay.High)
}
