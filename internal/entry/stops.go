package entry

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/vanillagate/vanillagate/internal/command/change"
	"github.com/vanillagate/vanillagate/internal/config"
	"github.com/vanillagate/vanillagate/internal/peer"
	"github.com/vanillagate/vanillagate/internal/wait"
)

const (
	// announceTTL is how long an announcement is valid unless it is renewed.
	announceTTL = 10 * time.Minute
	// shutdownTTL is how long peers remember that a process is shutting down.
	shutdownTTL = 2 * time.Minute
	// submitPeriod is how often announced stops are renewed and submitted.
	submitPeriod = 2 * time.Second
)

// stopMessage is the message about a planned stop or a shutdown that peers
// exchange. A planned stop applies until the configuration in force has a newer
// change of it, which takes precedence.
type stopMessage struct {
	Stop *config.Stop `json:"stop,omitempty"`
	// Change is the change that the store still has to accept. Any process can
	// submit it: its ID makes it idempotent.
	Change *change.Request `json:"change,omitempty"`
	// After is the revision of the stop's last change at the time of the
	// announcement. A later change takes precedence.
	After config.Revision `json:"after,omitempty"`
	// Withdrawn is the ID of a change that was refused.
	Withdrawn string `json:"withdrawn,omitempty"`
	// Leave is the caller address of an entry VM that is shutting down.
	Leave string `json:"leave,omitempty"`
}

// stops combines the planned stops in force with those that are only announced.
// While the store is down a stop can't be accepted, but its target must get no
// new work all the same.
type stops struct {
	server *Server

	// applyMu is held while the stops are computed and passed to the directory.
	// Without it, of two concurrent updates the one with the older data could
	// be applied last, and a stop that was announced in between would not take
	// effect. It is taken before mu and before the directory's locks.
	applyMu sync.Mutex

	mu          sync.Mutex // guards the fields below; no other lock is taken under it
	configState *config.State
	// fetched holds the announcements that were fetched from a peer.
	fetched []fetchedItem
}

type fetchedItem struct {
	peer.Item
	until time.Time
}

// methodStops is the peer call that returns the announcements a peer knows of.
const methodStops = "stops"

func (st *stops) handleStops(context.Context, json.RawMessage) (any, error) {
	return st.server.opts.Network.Items(peer.TopicStop), nil
}

// fetchFrom fetches the announcements from a peer. A process that has just
// started, or was frozen, would otherwise receive them only shortly after it
// begins to serve.
func (st *stops) fetchFrom(ctx context.Context, of peer.Incarnation) {
	var items []peer.Item
	if err := st.server.opts.Network.Call(ctx, of, methodStops, nil, &items); err != nil {
		st.server.log.Warn("Fetching announced stops from a peer failed.", zap.Error(err))
		return
	}
	now := time.Now()
	st.mu.Lock()
	st.fetched = nil
	for _, item := range items {
		st.fetched = append(st.fetched, fetchedItem{Item: item, until: now.Add(item.TTL)})
	}
	st.mu.Unlock()
	st.applyToTargets()
}

// items returns the announcements that were received and those that were
// fetched.
func (st *stops) items() []peer.Item {
	all := st.server.opts.Network.Items(peer.TopicStop)
	now := time.Now()
	st.mu.Lock()
	defer st.mu.Unlock()
	for _, f := range st.fetched {
		if left := f.until.Sub(now); left > 0 {
			f.TTL = left
			all = append(all, f.Item)
		}
	}
	return all
}

func newStops(s *Server) *stops {
	st := &stops{server: s, configState: config.NewState()}
	s.opts.Network.Subscribe(peer.TopicStop, func(peer.Item) { st.applyToTargets() })
	return st
}

func (st *stops) onConfigChange(state *config.State) {
	st.mu.Lock()
	st.configState = state
	st.mu.Unlock()
	st.applyToTargets()
}

func (st *stops) state() *config.State {
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.configState
}

// announce publishes a stop before the store accepts it. A request that is
// certain to be refused is not announced, because it would take effect although
// it is refused.
func (st *stops) announce(req change.Request, stop config.Stop) bool {
	state := st.state()
	last := state.LastChanges[config.ItemKey(config.KindStop, req.Name)]
	expected := last.Revision == req.ExpectedRevision || (req.ExpectedRevision == 0 && last.Deleted)
	if !expected || len(change.Validate(state, req)) > 0 {
		return false
	}
	st.publish(stopMessage{Stop: &stop, Change: &req, After: last.Revision})
	return true
}

func (st *stops) publish(a stopMessage) {
	st.server.publish(peer.TopicStop, a.Change.ID, announceTTL, a)
	st.applyToTargets()
}

// withdraw cancels the announcement of a change that was refused after all.
func (st *stops) withdraw(req change.Request) {
	st.server.publish(peer.TopicStop, "withdrawn/"+req.ID, announceTTL, stopMessage{Withdrawn: req.ID})
	st.applyToTargets()
}

// pendingStop is an announcement that still applies, and its origin.
type pendingStop struct {
	stopMessage
	origin    peer.Incarnation
	expiresIn time.Duration // until it expires
}

// pending lists the announcements that are neither withdrawn nor superseded by
// the configuration in force.
func (st *stops) pending() []pendingStop {
	state := st.state()
	var all []pendingStop
	withdrawn := map[string]bool{}
	for _, item := range st.items() {
		a := pendingStop{origin: item.Origin, expiresIn: item.TTL}
		if json.Unmarshal(item.Body, &a.stopMessage) != nil {
			continue
		}
		withdrawn[a.Withdrawn] = true
		if a.Stop != nil && a.Change != nil && state.LastChanges[config.ItemKey(config.KindStop, a.Stop.ID)].Revision <= a.After {
			all = append(all, a)
		}
	}
	kept := all[:0]
	for _, a := range all {
		if !withdrawn[a.Change.ID] {
			kept = append(kept, a)
		}
	}
	return kept
}

// addressesToStop returns the addresses of all stops of a kind, in force or
// announced.
func (st *stops) addressesToStop(kind config.StopKind) map[string]bool {
	addresses := map[string]bool{}
	for _, stop := range st.state().Stops {
		if stop.Subject == kind {
			addresses[stop.Address] = true
		}
	}
	for _, a := range st.pending() {
		if a.Stop.Subject == kind {
			addresses[a.Stop.Address] = true
		}
	}
	return addresses
}

// entryVMs returns the addresses of entry VMs that should no longer be given to
// callers.
func (st *stops) entryVMs() map[string]bool {
	addresses := st.addressesToStop(config.StopVM)
	for _, item := range st.items() {
		var a stopMessage
		if json.Unmarshal(item.Body, &a) == nil && a.Leave != "" && !st.addressReused(item.Origin, a.Leave) {
			addresses[a.Leave] = true
		}
	}
	return addresses
}

// addressReused reports whether a process other than the one that shut down
// uses the address now.
func (st *stops) addressReused(origin peer.Incarnation, address string) bool {
	network := st.server.opts.Network
	for _, m := range append(network.Members(), network.Self()) {
		if m.CallerAddress == address && m.Incarnation != origin && m.State == peer.Alive {
			return true
		}
	}
	return false
}

// applyToTargets passes the current stops of targets to the directory.
func (st *stops) applyToTargets() {
	st.applyMu.Lock()
	defer st.applyMu.Unlock()
	st.server.targets.SetStops(st.addressesToStop(config.StopTarget))
}

// run renews announced stops until they are decided, so that they survive a
// long outage of the store, and submits them until the store has accepted or
// refused them. It also reapplies the stops, because no event signals that an
// announcement has expired.
func (st *stops) run(ctx context.Context) {
	for wait.Jittered(ctx, submitPeriod) {
		for _, a := range st.pending() {
			if st.isResponsibleFor(a.origin) {
				st.renewAndSubmit(ctx, a)
			}
		}
		st.applyToTargets()
	}
}

// isResponsibleFor reports whether this process renews and submits an
// announcement. That is the process that made it or, if that one is gone, the
// live one with the lowest incarnation. Without a successor a stop that was
// announced during an outage would be lost together with the process that
// accepted it.
func (st *stops) isResponsibleFor(origin peer.Incarnation) bool {
	network := st.server.opts.Network
	self := network.Self().Incarnation
	if origin == self {
		return true
	}
	first := true
	for _, m := range network.Members() {
		if m.Incarnation == origin && m.State != peer.Dead {
			return false
		}
		if m.CallerAddress != "" && m.State == peer.Alive && m.Incarnation < self {
			first = false
		}
	}
	return first
}

func (st *stops) renewAndSubmit(ctx context.Context, a pendingStop) {
	self := st.server.opts.Network.Self().Incarnation
	if a.origin != self || a.expiresIn < announceTTL/2 {
		st.publish(a.stopMessage)
	}
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	out := st.server.changes.Submit(ctx, *a.Change)
	switch out.Result {
	case change.Accepted:
		st.server.applyAccepted(*a.Change, out.Revision)
	case change.Conflict, change.Invalid:
		st.server.log.Warn("Announced stop was refused.", zap.String("stop", a.Stop.ID),
			zap.String("by", a.Change.By), zap.String("changed_by", out.Last.By), zap.Strings("faults", out.ValidationErrors))
		st.withdraw(*a.Change)
	}
}
