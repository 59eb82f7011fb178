package shape

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"strconv"

	"github.com/vanillagate/vanillagate/internal/config"
)

// Fleet is the stand-ins' fleet file.
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

// FleetEntry is an entry VM in the VM list.
type FleetEntry struct {
	Address     string `json:"address"`
	PeerAddress string `json:"peer_address"`
	Zone        string `json:"zone"`
	Region      string `json:"region"`
}

// FleetPool is a pool of targets at successive ports.
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

// platformPorts is how many ports the table, object store, VM list and control
// listener take.
const platformPorts = 4

// PortCount is how many successive ports a fleet of this shape needs.
func (s *Shape) PortCount() int {
	count := platformPorts + 2*s.Entries
	for _, p := range s.Pools {
		count += p.Count
	}
	return count
}

// BuildFleet lays the shape out on successive ports of the loopback address.
func (s *Shape) BuildFleet(firstPort int, seed uint64) Fleet {
	next := firstPort
	take := func(count int) string {
		address := net.JoinHostPort(loopback, strconv.Itoa(next))
		next += count
		return address
	}
	f := Fleet{
		Seed: seed, Table: take(1), Objects: take(1), VMList: take(1), Control: take(1),
		VMListLagMS: s.VMListLagMS, StoreLatencyMS: s.StoreLatencyMS,
	}
	for i := range s.Entries {
		f.Entries = append(f.Entries, FleetEntry{
			Address: take(1), PeerAddress: take(1), Zone: s.Zone(i), Region: s.Region,
		})
	}
	for _, p := range s.Pools {
		f.Pools = append(f.Pools, FleetPool{
			Pool: p.Name, Kind: p.Kind, Model: p.Model, Version: p.Version,
			FirstAddress: take(p.Count), Count: p.Count, Zones: s.Zones, Region: s.Region,
			ChecksFencing: p.ChecksFencing, Engine: p.Engine, Service: p.Service,
		})
	}
	return f
}

// TargetAddresses lists the addresses of a pool's targets by place.
func (f Fleet) TargetAddresses(pool string) []string {
	var all []string
	for _, p := range f.Pools {
		if p.Pool != pool {
			continue
		}
		for place := range p.Count {
			all = append(all, p.Address(place))
		}
	}
	return all
}

// Address is that of the target at a place.
func (p FleetPool) Address(place int) string {
	host, port, err := net.SplitHostPort(p.FirstAddress)
	if err != nil {
		panic(err) // Fleet wrote it
	}
	first, err := strconv.Atoi(port)
	if err != nil {
		panic(err) // Fleet wrote it
	}
	return net.JoinHostPort(host, strconv.Itoa(first+place))
}

// Zone is that of the target at a place.
func (p FleetPool) Zone(place int) string { return p.Zones[place%len(p.Zones)] }

// Bounds of the ports that FindFreePorts looks at. They lie below the range from
// which Linux takes the near ends of outgoing connections: a port of that range
// may be taken while an entry VM is being replaced, which then can't listen.
const (
	lowestPort  = 12000
	highestPort = 32000
	portTries   = 200
)

// FindFreePorts finds successive ports on which nothing listens, and gives the
// first.
func FindFreePorts(count int) (int, error) {
	for range portTries {
		first := lowestPort + rand.IntN(highestPort-lowestPort-count)
		if allFree(first, count) {
			return first, nil
		}
	}
	return 0, fmt.Errorf("shape: found no %d successive free ports", count)
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
