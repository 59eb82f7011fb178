package intake

import (
	"github.com/rcrowley/go-metrics"
)

// UpdateGauges writes the state of the limits to a registry.
func UpdateGauges(registry metrics.Registry, memory *Memory) {
	set := func(name string, value int64) { metrics.GetOrRegisterGauge(name, registry).Update(value) }
	m := memory.Stats()
	set("requests.memory_bytes", m.Used)
	set("requests.memory_peak_bytes", m.Peak)
	set("requests.memory_max_bytes", m.Max)
	set("requests.memory_evicted", m.Evicted)
	set("requests.memory_rejected", m.Rejected)
}
