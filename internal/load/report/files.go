package report

import (
	"encoding/csv"
	"encoding/json"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"time"

	"github.com/vanillagate/vanillagate/internal/load/caller"
)

const (
	fileMode = 0o644
	dirMode  = 0o755
)

// WriteJSON writes value as indented JSON to path and creates the directory if
// needed.
func WriteJSON(path string, value any) error {
	raw, err := json.MarshalIndent(value, "", "  ")
	if err != nil {
		return err
	}
	if err := os.MkdirAll(filepath.Dir(path), dirMode); err != nil {
		return err
	}
	return os.WriteFile(path, append(raw, '\n'), fileMode)
}

var csvHeader = []string{
	"ref", "customer", "kind", "outcome", "finding", "execution", "status", "tries",
	"latency_ms", "first_token_ms", "late_ms", "detail",
}

// WriteCSV writes one row for each request to path, in the order of results, and
// creates the directory if needed.
func WriteCSV(path string, results []caller.Result) error {
	if err := os.MkdirAll(filepath.Dir(path), dirMode); err != nil {
		return err
	}
	file, err := os.Create(path)
	if err != nil {
		return err
	}
	defer func() { _ = file.Close() }()
	out := csv.NewWriter(file)
	if err := out.Write(csvHeader); err != nil {
		return err
	}
	for _, r := range results {
		if err := out.Write(csvRow(r)); err != nil {
			return err
		}
	}
	out.Flush()
	return out.Error()
}

func csvRow(r caller.Result) []string {
	return []string{
		r.Call.Ref, r.Call.Customer, string(r.Call.Kind), string(r.Outcome), string(r.Finding), string(r.Execution),
		strconv.Itoa(r.Status), strconv.Itoa(r.Tries),
		millisText(millis(r.Latency)), millisText(millis(r.FirstToken)), millisText(millis(r.SendDelay)),
		r.Detail,
	}
}

func millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

func millisText(ms float64) string { return strconv.FormatFloat(ms, 'f', 3, 64) }

// DetailLines returns the lines printed before ResultLine.
func (s Summary) DetailLines() []string {
	lines := []string{
		fmt.Sprintf("latency p50_ms=%.1f p95_ms=%.1f p99_ms=%.1f max_ms=%.1f", s.Latency.P50, s.Latency.P95, s.Latency.P99, s.Latency.Max),
		fmt.Sprintf("first_token p50_ms=%.1f p95_ms=%.1f p99_ms=%.1f", s.FirstToken.P50, s.FirstToken.P95, s.FirstToken.P99),
		fmt.Sprintf("sent_late p50_ms=%.1f p99_ms=%.1f max_ms=%.1f", s.SendDelay.P50, s.SendDelay.P99, s.SendDelay.Max),
		fmt.Sprintf("executions=%d engine_us=%d unfinished_us=%d cost=%.0f cached_share=%.3f", s.Executions, s.EngineUS, s.UnfinishedUS, s.Cost, s.CachedShare),
		fmt.Sprintf("false_not_run=%d refused=%d", s.FalseNotRun, s.Refused),
	}
	for _, kind := range slices.Sorted(maps.Keys(s.Errors)) {
		lines = append(lines, fmt.Sprintf("error %q count=%d", kind, s.Errors[kind]))
	}
	return lines
}
