// Package exposition writes metrics in the Prometheus text format.
package exposition

import (
	"fmt"
	"io"
	"runtime"
	"sort"
	"strings"

	"github.com/rcrowley/go-metrics"
)

// quantiles are the quantiles written for each histogram.
var quantiles = []float64{0.5, 0.95, 0.99}

// Write writes all metrics of a registry, and the memory and goroutines of the
// process. Names in the registry that contain labels are written unchanged.
func Write(w io.Writer, registry metrics.Registry) {
	names := []string{}
	all := map[string]any{}
	registry.Each(func(name string, metric any) {
		names = append(names, name)
		all[name] = metric
	})
	sort.Strings(names)
	for _, name := range names {
		writeMetric(w, seriesName(name), all[name])
	}
	writeRuntime(w)
}

// seriesName converts a dotted name, such as "peer.probe.bytes_sent", into a valid
// metric name. Names with labels are returned unchanged.
func seriesName(name string) string {
	if strings.Contains(name, "{") {
		return name
	}
	return "vanillagate_" + strings.NewReplacer(".", "_", " ", "_").Replace(name)
}

// writeRuntime writes the memory and the number of goroutines of the process.
func writeRuntime(w io.Writer) {
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	fmt.Fprintf(w, "vanillagate_heap_bytes %d\n", stats.HeapAlloc)
	fmt.Fprintf(w, "vanillagate_stack_bytes %d\n", stats.StackInuse)
	fmt.Fprintf(w, "vanillagate_goroutines %d\n", runtime.NumGoroutine())
}

func writeMetric(w io.Writer, name string, metric any) {
	switch m := metric.(type) {
	case metrics.Counter:
		fmt.Fprintf(w, "%s %d\n", name, m.Count())
	case metrics.Gauge:
		fmt.Fprintf(w, "%s %d\n", name, m.Value())
	case metrics.GaugeFloat64:
		fmt.Fprintf(w, "%s %g\n", name, m.Value())
	case metrics.Meter:
		fmt.Fprintf(w, "%s %d\n", name, m.Count())
	case metrics.Histogram:
		writeHistogram(w, name, m.Snapshot())
	}
}

func writeHistogram(w io.Writer, name string, h metrics.Histogram) {
	base, labels, _ := strings.Cut(name, "{")
	labels = strings.TrimSuffix(labels, "}")
	separator := ""
	if labels != "" {
		separator = ","
	}
	for i, value := range h.Percentiles(quantiles) {
		fmt.Fprintf(w, "%s{%s%squantile=\"%g\"} %g\n", base, labels, separator, quantiles[i], value)
	}
	fmt.Fprintf(w, "%s_count{%s} %d\n", base, labels, h.Count())
	fmt.Fprintf(w, "%s_sum{%s} %d\n", base, labels, h.Sum())
}
