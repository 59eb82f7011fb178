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

// vmView is the VM list as last read. The list it holds is never changed.
type vmView struct{ list atomic.Pointer[[]backing.VM] }

func (v *vmView) known() bool { return v.list.Load() != nil }

func (v *vmView) get() []backing.VM {
	if list := v.list.Load(); list != nil {
		return *list
	}
	return nil
}

// methodVMs gives a peer's VM list, for a process that starts while the
// platform's own is down.
const methodVMs = "vms"

const vmListTimeout = 2 * time.Second

func (s *Server) runVMList(ctx context.Context) {
	failing := false
	for {
		err := s.readVMList(ctx)
		if err != nil && !failing {
			s.log.Warn("VM list can't be read.", zap.Error(err))
		}
		failing = err != nil
		if failing && !s.vms.known() {
			s.askForVMs(ctx)
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
	s.takeVMs(list)
	return nil
}

func (s *Server) takeVMs(list []backing.VM) {
	s.targets.Update(list, time.Now())
	s.vms.list.Store(&list)
	s.rebalance()
}

func (s *Server) askForVMs(ctx context.Context) {
	for _, m := range s.opts.Network.Members() {
		var list []backing.VM
		callCtx, cancel := context.WithTimeout(ctx, vmListTimeout)
		err := s.opts.Network.Call(callCtx, m.Incarnation, methodVMs, nil, &list)
		cancel()
		if err == nil && len(list) > 0 {
			s.takeVMs(list)
			return
		}
	}
}

func (s *Server) answerVMs(context.Context, json.RawMessage) (any, error) { return s.vms.get(), nil }

// Entries answers GET /v1/entries.
type Entries struct {
	Entries []Entry `json:"entries"`
	// KeepMS is how long to keep the answer.
	KeepMS int64 `json:"keep_ms"`
}

// Entry is an address that callers may use.
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

// entries lists the entry VMs to use: the zone's first, by lot within a zone.
func (s *Server) entries(zone string) []Entry {
	list := s.usableEntries()
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	sort.SliceStable(list, func(i, j int) bool { return list[i].Zone == zone && list[j].Zone != zone })
	return list
}

// usableEntries joins the lagging VM list with what peers see: a VM that peers
// hold for dead or leaving is left out at once, one that joined is in before
// the list has it.
func (s *Server) usableEntries() []Entry {
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
	if s.leaving.Load() {
		delete(found, self.CallerAddress)
	}
	stopped := s.stops.vms()
	list := make([]Entry, 0, len(found))
	for address, e := range found {
		if !stopped[address] {
			list = append(list, e)
		}
	}
	return list
}

// announceLeave tells the peers. The network itself stays up until the end.
func (s *Server) announceLeave(context.Context) {
	s.publish(peer.TopicStop, "leave/"+s.opts.Network.Self().CallerAddress, leaveTTL, announcedStop{
		Leave: s.opts.Network.Self().CallerAddress,
	})
}

// publish tells the peers; the version is the time, which grows within a run.
func (s *Server) publish(topic peer.Topic, key string, ttl time.Duration, body any) {
	err := s.opts.Network.Publish(topic, key, uint64(time.Now().UnixNano()), ttl, body)
	if err != nil {
		s.log.Warn("Peers not told.", zap.String("topic", string(topic)), zap.Error(err))
	}
}
