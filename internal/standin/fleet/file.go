// Package fleet runs the emulated deployment that a fleet file describes, or parts
// of it, in one process.
package fleet

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math"
	"net/netip"
	"os"
	"strconv"

	"github.com/vanillagate/vanillagate/internal/config"
	"github.com/vanillagate/vanillagate/internal/settings"
	"github.com/vanillagate/vanillagate/internal/standin/engine"
	"github.com/vanillagate/vanillagate/internal/standin/stagepool"
)

// defaultRegion is the region of entries and pools that name none.
const defaultRegion = "r1"

// File describes a deployment. Addresses are IP:port; port 0 is allowed and
// stands for any free port.
type File struct {
	Seed    uint64 `json:"seed"`
	Table   string `json:"table"`
	Objects string `json:"objects"`
	VMList  string `json:"vm_list"`
	// VMListLagMS is the delay after which a change appears in the served VM list.
	VMListLagMS int    `json:"vm_list_lag_ms"`
	Control     string `json:"control"`
	// TableWritesPerSecond and TableReadsPerSecond limit the table's throughput;
	// zero means 400 and 2000.
	TableWritesPerSecond float64 `json:"table_writes_per_second"`
	TableReadsPerSecond  float64 `json:"table_reads_per_second"`
	// TableRateByItem counts each row of a transaction as one write. Otherwise the
	// whole transaction counts as one write.
	TableRateByItem bool `json:"table_rate_by_item"`
	// StoreLatencyMS is the duration of a call to the table or the object store.
	StoreLatencyMS int `json:"store_latency_ms"`
	// WeightLoads is the number of models and adapters that can be loaded from the
	// weight store concurrently; zero means 2.
	WeightLoads int     `json:"weight_loads"`
	Entries     []Entry `json:"entries"`
	Pools       []Pool  `json:"pools"`
}

// Entry is an entry VM that is in the VM list from the start.
type Entry struct {
	Address     string `json:"address"`
	PeerAddress string `json:"peer_address"`
	Zone        string `json:"zone"`
	Region      string `json:"region"`
}

// Pool is a pool of targets on consecutive ports. The zones are assigned round-robin.
type Pool struct {
	Pool         string            `json:"pool"`
	Kind         config.TargetKind `json:"kind"`
	Model        string            `json:"model"`
	Version      string            `json:"version"`
	Role         string            `json:"role"`
	FirstAddress string            `json:"first_address"`
	Count        int               `json:"count"`
	Zones        []string          `json:"zones"`
	Region       string            `json:"region"`
	// ChecksFencing makes the targets refuse outdated fencing tokens.
	ChecksFencing bool            `json:"checks_fencing"`
	Engine        engine.Costs    `json:"engine"`
	Service       stagepool.Costs `json:"service"`
}

// ReadFile reads and validates a fleet file. An unknown field is an error, since a
// misspelled field would otherwise silently keep its default.
func ReadFile(path string) (File, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return File{}, err
	}
	var f File
	decoder := json.NewDecoder(bytes.NewReader(raw))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&f); err != nil {
		return File{}, fmt.Errorf("fleet: %s: %w", path, err)
	}
	return f, f.Check()
}

// maxMillis is the maximum of lags and latencies: one hour.
const maxMillis = 3_600_000

// Check returns an error that lists all invalid fields of the file.
func (f File) Check() error {
	var c settings.Checker
	c.Address("file:table", f.Table)
	c.Address("file:objects", f.Objects)
	c.Address("file:vm_list", f.VMList)
	c.Address("file:control", f.Control)
	c.IntBetween("file:vm_list_lag_ms", f.VMListLagMS, 0, maxMillis)
	c.IntBetween("file:store_latency_ms", f.StoreLatencyMS, 0, maxMillis)
	for i, e := range f.Entries {
		c.Address(fmt.Sprintf("file:entries[%d].address", i), e.Address)
		c.Address(fmt.Sprintf("file:entries[%d].peer_address", i), e.PeerAddress)
	}
	for i, p := range f.Pools {
		p.check(&c, fmt.Sprintf("file:pools[%d].", i))
	}
	return c.Err()
}

const maxTargets = 1000

func (p Pool) check(c *settings.Checker, field string) {
	c.NotEmpty(field+"pool", p.Pool)
	c.Address(field+"first_address", p.FirstAddress)
	c.IntBetween(field+"count", p.Count, 1, maxTargets)
	c.OneOf(field+"kind", string(p.Kind), string(config.TargetEngine), string(config.TargetEncoder),
		string(config.TargetRetriever), string(config.TargetReranker), string(config.TargetService))
	if first, err := netip.ParseAddrPort(p.FirstAddress); err == nil && int(first.Port())+p.Count-1 > math.MaxUint16 {
		c.Reject(field+"count", p.Count, "so many that no port is above 65535")
	}
	p.Engine.Check(c, field+"engine.")
	p.Service.Check(c, field+"service.")
	if len(p.Zones) == 0 {
		c.Reject(field+"zones", "", "at least one zone")
	}
}

// address returns the address of the target with the given index in the pool.
func (p Pool) address(index int) string {
	first, err := netip.ParseAddrPort(p.FirstAddress)
	if err != nil {
		panic(err) // unreachable: Check has validated the address
	}
	if first.Port() == 0 {
		return p.FirstAddress
	}
	return netip.AddrPortFrom(first.Addr(), first.Port()+uint16(index)).String()
}

func (p Pool) zone(index int) string { return p.Zones[index%len(p.Zones)] }

func regionOrDefault(region string) string {
	if region == "" {
		return defaultRegion
	}
	return region
}

// seedFor derives a different random seed for each target.
func (f File) seedFor(pool, index int) uint64 {
	return f.Seed*1_000_003 + uint64(pool)*1_009 + uint64(index)
}

func (p Pool) name(index int) string { return p.Pool + "-" + strconv.Itoa(index) }

const defaultWeightLoads = 2

func (f File) weightLoads() int {
	if f.WeightLoads <= 0 {
		return defaultWeightLoads
	}
	return f.WeightLoads
}
