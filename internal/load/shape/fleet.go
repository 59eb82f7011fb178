package shape

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"strconv"

	"github.com/vanillagate/vanillagate/internal/config"
)

// Fleet is the content of the fleet file, which configures the stand-in processes
// for the platform and the targets.
type Fleet struct {
	Seed           uint64       `json:"seed"`
	Table          string       `json:"table"`
	Objects        string       `json:"objects"`
	VMList         string       `json:"vm_list"`
	VMListLagMS    int          `json:"vm_list_lag_ms"`
	StoreLatencyMS int          `json:"store_latency_ms,omitempty"`
	Control        string       `json:"control"`
	Entries        []FleetEntry `json:"entries"`
	Pools          []FleetPool  `json:"pools"`
}

// FleetEntry is the row of an entry VM in the VM list.
type FleetEntry struct {
	Address     string `json:"address"`
	PeerAddress string `json:"peer_address"`
	Zone        string `json:"zone"`
	Region      string `json:"region"`
}

// FleetPool is a pool of targets at consecutive ports.
type FleetPool struct {
	Pool          string            `json:"pool"`
	Kind          config.TargetKind `json:"kind"`
	Model         string            `json:"model,omitempty"`
	Version       string            `json:"version,omitempty"`
	FirstAddress  string            `json:"first_address"`
	Count         int               `json:"count"`
	Zones         []string          `json:"zones"`
	Region        string            `json:"region,omitempty"`
	ChecksFencing bool              `json:"checks_fencing,omitempty"`
	Engine        json.RawMessage   `json:"engine,omitempty"`
	Service       json.RawMessage   `json:"service,omitempty"`
}

const loopback = "127.0.0.1"

// platformPorts is the number of ports for the table, object store, VM list and
// control listener.
const platformPorts = 4

// PortCount returns the number of consecutive ports that a fleet of this shape needs.
func (s *Shape) PortCount() int {
	count := platformPorts + 2*s.Entries
	for _, p := range s.Pools {
		count += p.Count
	}
	return count
}

// BuildFleet assigns consecutive ports of the loopback address to the shape.
func (s *Shape) BuildFleet(firstPort int, seed uint64) Fleet {
	nextPort := firstPort
	reserve := func(count int) string {
		address := net.JoinHostPort(loopback, strconv.Itoa(nextPort))
		nextPort += count
		return address
	}
	f := Fleet{
		Seed: seed, Table: reserve(1), Objects: reserve(1), VMList: reserve(1), Control: reserve(1),
		VMListLagMS: s.VMListLagMS, StoreLatencyMS: s.StoreLatencyMS,
	}
	for i := range s.Entries {
		f.Entries = append(f.Entries, FleetEntry{
			Address: reserve(1), PeerAddress: reserve(1), Zone: s.Zone(i), Region: s.Region,
		})
	}
	for _, p := range s.Pools {
		f.Pools = append(f.Pools, FleetPool{
			Pool: p.Name, Kind: p.Kind, Model: p.Model, Version: p.Version,
			FirstAddress: reserve(p.Count), Count: p.Count, Zones: s.Zones, Region: s.Region,
			ChecksFencing: p.ChecksFencing, Engine: p.Engine, Service: p.Service,
		})
	}
	return f
}

// TargetAddresses returns the addresses of a pool's targets in order of their index.
func (f Fleet) TargetAddresses(pool string) []string {
	var addresses []string
	for _, p := range f.Pools {
		if p.Pool != pool {
			continue
		}
		for index := range p.Count {
			addresses = append(addresses, p.Address(index))
		}
	}
	return addresses
}

// Address returns the address of the target with the given index.
func (p FleetPool) Address(index int) string {
	host, port, err := net.SplitHostPort(p.FirstAddress)
	if err != nil {
		panic(err) // BuildFleet wrote a valid address
	}
	first, err := strconv.Atoi(port)
	if err != nil {
		panic(err) // BuildFleet wrote a valid address
	}
	return net.JoinHostPort(host, strconv.Itoa(first+index))
}

// Zone returns the availability zone of the target with the given index.
func (p FleetPool) Zone(index int) string { return p.Zones[index%len(p.Zones)] }

// Bounds of the ports that FindFreePorts tries. They are below the range of
// ephemeral ports on Linux: an outgoing connection could take a port of that range
// while an entry VM is being replaced, and the new one couldn't listen.
const (
	minPort      = 12000
	maxPort      = 32000
	maxPortTries = 200
)

// FindFreePorts finds consecutive ports on which nothing listens and returns the
// first.
func FindFreePorts(count int) (int, error) {
	for range maxPortTries {
		first := minPort + rand.IntN(maxPort-minPort-count)
		if allFree(first, count) {
			return first, nil
		}
	}
	return 0, fmt.Errorf("shape: found no %d consecutive free ports", count)
}

func allFree(first, count int) bool {
	for port := first; port < first+count; port++ {
		listener, err := net.Listen("tcp", net.JoinHostPort(loopback, strconv.Itoa(port)))
		if err != nil {
			return false
		}
		_ = listener.Close()
	}
	return true
}
