package entry

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"sort"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"github.com/vanillagate/vanillagate/internal/backing"
	"github.com/vanillagate/vanillagate/internal/peer"
	"github.com/vanillagate/vanillagate/internal/wait"
)

// vmView holds the most recent VM list. The stored slice is never
// modified.
type vmView struct{ list atomic.Pointer[[]backing.VM] }

func (v *vmView) loaded() bool { return v.list.Load() != nil }

func (v *vmView) get() []backing.VM {
	if list := v.list.Load(); list != nil {
		return *list
	}
	return nil
}

// methodVMs is the peer call that returns a peer's VM list. A process that
// starts while the platform's VM list is down uses it.
const methodVMs = "vms"

const vmListTimeout = 2 * time.Second

func (s *Server) pollVMList(ctx context.Context) {
	failing := false
	for {
		err := s.readVMList(ctx)
		if err != nil && !failing {
			s.log.Warn("Reading the VM list failed.", zap.Error(err))
		}
		failing = err != nil
		if failing && !s.vms.loaded() {
			s.fetchVMsFromPeers(ctx)
		}
		if !wait.Jittered(ctx, s.opts.VMListPeriod) {
			return
		}
	}
}

func (s *Server) readVMList(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, vmListTimeout)
	defer cancel()
	list, err := s.opts.VMs.List(ctx)
	if err != nil {
		return err
	}
	s.applyVMList(list)
	return nil
}

func (s *Server) applyVMList(list []backing.VM) {
	s.targets.Update(list, time.Now())
	s.vms.list.Store(&list)
	s.rebalance()
}

func (s *Server) fetchVMsFromPeers(ctx context.Context) {
	for _, m := range s.opts.Network.Members() {
		var list []backing.VM
		callCtx, cancel := context.WithTimeout(ctx, vmListTimeout)
		err := s.opts.Network.Call(callCtx, m.Incarnation, methodVMs, nil, &list)
		cancel()
		if err == nil && len(list) > 0 {
			s.applyVMList(list)
			return
		}
	}
}

func (s *Server) handleVMs(context.Context, json.RawMessage) (any, error) { return s.vms.get(), nil }

// Entries is the response to GET /v1/entries.
type Entries struct {
	Entries []Entry `json:"entries"`
	// KeepMS is how long callers may cache the response.
	KeepMS int64 `json:"keep_ms"`
}

// Entry is the address of an entry VM that callers may use.
type Entry struct {
	Address string `json:"address"`
	Zone    string `json:"zone"`
}

func (s *Server) serveEntries(ctx *fasthttp.RequestCtx) {
	zone := string(ctx.QueryArgs().Peek("zone"))
	if zone == "" {
		zone = s.opts.Zone
	}
	writeJSON(ctx, Entries{Entries: s.entries(zone), KeepMS: s.opts.EntriesTTL.Milliseconds()})
}

// entries lists the entry VMs that callers may use: those in the zone first, in
// random order within each group.
func (s *Server) entries(zone string) []Entry {
	list := s.usableEntryVMs()
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	sort.SliceStable(list, func(i, j int) bool { return list[i].Zone == zone && list[j].Zone != zone })
	return list
}

// usableEntryVMs combines the VM list, which lags, with the peers' membership.
// A VM that the peers see as dead or leaving is left out at once, and one that
// has joined is included before the VM list has it.
func (s *Server) usableEntryVMs() []Entry {
	found := map[string]Entry{}
	members := s.opts.Network.Members()
	if len(members) == 0 {
		for _, vm := range s.vms.get() {
			if vm.Role == backing.RoleEntry && vm.State == backing.VMLive {
				found[vm.Address] = Entry{Address: vm.Address, Zone: vm.Zone}
			}
		}
	}
	for _, m := range members {
		if m.CallerAddress != "" && m.State == peer.Alive {
			found[m.CallerAddress] = Entry{Address: m.CallerAddress, Zone: m.Zone}
		}
	}
	self := s.opts.Network.Self()
	found[self.CallerAddress] = Entry{Address: self.CallerAddress, Zone: self.Zone}
	if s.shuttingDown.Load() {
		delete(found, self.CallerAddress)
	}
	stopped := s.stops.entryVMs()
	list := make([]Entry, 0, len(found))
	for address, e := range found {
		if !stopped[address] {
			list = append(list, e)
		}
	}
	return list
}

// announceShutdown tells the peers that this process is shutting down. The peer
// network itself stays up until the end.
func (s *Server) announceShutdown(context.Context) {
	s.publish(peer.TopicStop, "leave/"+s.opts.Network.Self().CallerAddress, shutdownTTL, stopMessage{
		Leave: s.opts.Network.Self().CallerAddress,
	})
}

// publish sends an item to the peers. Its version is the current time, which
// grows within a run of the process.
func (s *Server) publish(topic peer.Topic, key string, ttl time.Duration, body any) {
	err := s.opts.Network.Publish(topic, key, uint64(time.Now().UnixNano()), ttl, body)
	if err != nil {
		s.log.Warn("Publishing to the peers failed.", zap.String("topic", string(topic)), zap.Error(err))
	}
}
