package entry

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
	"time"

	"github.com/vanillagate/vanillagate/internal/backing"
	"github.com/vanillagate/vanillagate/internal/limit"
	"github.com/vanillagate/vanillagate/internal/peer"
	"github.com/vanillagate/vanillagate/internal/wait"
)

const (
	probePeriod = 500 * time.Millisecond
	// demandPeriod is how often demands are exchanged; demandTTL how long a
	// peer's counts when no newer one comes.
	demandPeriod = time.Second
	demandTTL    = 3 * time.Second
	demandKey    = "all"
)

func (s *Server) runProbes(ctx context.Context) {
	for wait.Jittered(ctx, probePeriod) {
		s.targets.Probe(ctx, s.client)
		s.client.Prune(time.Now())
	}
}

// runDemands exchanges the demands per contract with the peers and takes this
// VM's parts of the contracts' limits from them.
func (s *Server) runDemands(ctx context.Context) {
	told := false
	for wait.Jittered(ctx, demandPeriod) {
		own := s.customers.Demands(time.Now())
		if len(own) > 0 || told {
			s.publish(peer.TopicDemand, demandKey, demandTTL, own)
		}
		told = len(own) > 0
		s.rebalance()
	}
}

// rebalance takes this VM's parts of the contracts' limits anew.
func (s *Server) rebalance() {
	peers, rank := s.peerDemands()
	s.customers.Rebalance(limit.PeerView{Peers: peers, Rank: rank, Unknown: s.silentEntries(len(peers))}, time.Now())
}

// peerDemands gives what the other entry VMs told, by incarnation, and how many
// of them stand before this one.
func (s *Server) peerDemands() (demands []limit.PeerDemand, rank int) {
	self := s.opts.Network.Self().Incarnation
	entries := map[peer.Incarnation]bool{}
	for _, m := range s.opts.Network.Members() {
		if m.CallerAddress != "" {
			entries[m.Incarnation] = true
		}
	}
	byOrigin := map[peer.Incarnation]limit.PeerDemand{}
	for _, item := range s.opts.Network.Items(peer.TopicDemand) {
		var d limit.PeerDemand
		if item.Origin != self && json.Unmarshal(item.Body, &d) == nil {
			byOrigin[item.Origin] = d
			entries[item.Origin] = true
		}
	}
	delete(entries, self)
	for _, origin := range slices.Sorted(maps.Keys(entries)) {
		demands = append(demands, byOrigin[origin])
		if origin < self {
			rank++
		}
	}
	return demands, rank
}

// silentEntries is how many live entry VMs are listed beyond those that peers
// see: they may be serving on the other side of a cut.
func (s *Server) silentEntries(seen int) int {
	listed := 0
	for _, vm := range s.vms.get() {
		if vm.Role == backing.RoleEntry && vm.State == backing.VMLive {
			listed++
		}
	}
	return max(0, listed-1-seen)
}
