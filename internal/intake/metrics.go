package intake

import (
	"github.com/rcrowley/go-metrics"

	"github.com/vanillagate/vanillagate/internal/connlimit"
)

// UpdateGauges writes the state of the limits to a registry.
func UpdateGauges(registry metrics.Registry, memory *Memory, connections *connlimit.Limiter) {
	set := func(name string, value int64) { metrics.GetOrRegisterGauge(name, registry).Update(value) }
	m := memory.Stats()
	set("requests.memory_bytes", m.Used)
	set("requests.memory_peak_bytes", m.Peak)
	set("requests.memory_max_bytes", m.Max)
	set("requests.memory_evicted", m.Evicted)
	set("requests.memory_rejected", m.Rejected)
	c := connections.Stats()
	set("callers.connections", int64(c.Open))
	set("callers.connections_peak", int64(c.Peak))
	set("callers.connections_max", int64(c.Max))
	set("callers.connections_closed", c.Closed)
	set("callers.connections_rejected", c.Rejected)
}
