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
	// demandPeriod is how often demands are exchanged. demandTTL is how long a
	// peer's last demand counts.
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

// runDemands exchanges the demand per contract with the peers and recomputes
// this VM's share of each contract's limits from it.
func (s *Server) runDemands(ctx context.Context) {
	published := false
	for wait.Jittered(ctx, demandPeriod) {
		own := s.customers.Demands(time.Now())
		if len(own) > 0 || published {
			s.publish(peer.TopicDemand, demandKey, demandTTL, own)
		}
		published = len(own) > 0
		s.rebalance()
	}
}

// rebalance recomputes this VM's share of each contract's limits.
func (s *Server) rebalance() {
	peers, rank := s.peerDemands()
	s.customers.Rebalance(limit.PeerView{Peers: peers, Rank: rank, Unknown: s.unseenEntryVMs(len(peers))}, time.Now())
}

// peerDemands returns the demands that the other entry VMs published, ordered
// by incarnation, and this VM's rank in that order.
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

// unseenEntryVMs counts the live entry VMs in the VM list beyond this one and
// the visible peers. They may be serving on the other side of a network
// partition.
func (s *Server) unseenEntryVMs(visible int) int {
	listed := 0
	for _, vm := range s.vms.get() {
		if vm.Role == backing.RoleEntry && vm.State == backing.VMLive {
			listed++
		}
	}
	return max(0, listed-1-visible)
}
