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
	// announceTTL is how long an announcement counts that nobody renews.
	announceTTL = 10 * time.Minute
	// leaveTTL is how long a process that left is remembered as leaving.
	leaveTTL = 2 * time.Minute
	// stopPeriod is how often announced stops are looked after.
	stopPeriod = 2 * time.Second
)

// announcedStop is what peers tell each other of a stop. It counts until the
// stop is in the configuration in force, which then decides.
type announcedStop struct {
	Stop *config.Stop `json:"stop,omitempty"`
	// Change is what still has to be accepted for the stop to be in force. Any
	// process can submit it: its own identity makes it safe to do so twice.
	Change *change.Request `json:"change,omitempty"`
	// After is the revision of the stop's last change when it was announced. A
	// later one decides.
	After config.Revision `json:"after,omitempty"`
	// Withdrawn is the ID of a change that was refused.
	Withdrawn string `json:"withdrawn,omitempty"`
	// Leave is the caller address of an entry VM that leaves now.
	Leave string `json:"leave,omitempty"`
}

// stops joins the planned stops in force with those that were only announced:
// while the store is down an announcement can't be accepted, and the target
// must get no new work all the same.
type stops struct {
	server *Server

	// applying is held while stops are worked out and handed to the directory.
	// Of two at once the one that read first could otherwise hand over last,
	// and a stop that was announced in between would not take effect. It is
	// taken before mu and before the directory's locks.
	applying sync.Mutex

	mu       sync.Mutex // guards the rest; a leaf
	recorded *config.State
	// learned are announcements that a peer was asked for.
	learned []learnedItem
}

type learnedItem struct {
	peer.Item
	until time.Time
}

// methodStops gives the announcements that a peer knows of.
const methodStops = "stops"

func (st *stops) answer(context.Context, json.RawMessage) (any, error) {
	return st.server.opts.Network.Items(peer.TopicStop), nil
}

// learn asks a peer for the announcements. A process that has just started, or
// stood still, would hear of them a moment after it began to serve.
func (st *stops) learn(ctx context.Context, of peer.Incarnation) {
	var items []peer.Item
	if err := st.server.opts.Network.Call(ctx, of, methodStops, nil, &items); err != nil {
		st.server.log.Warn("Announced stops not learned.", zap.Error(err))
		return
	}
	now := time.Now()
	st.mu.Lock()
	st.learned = nil
	for _, item := range items {
		st.learned = append(st.learned, learnedItem{Item: item, until: now.Add(item.TTL)})
	}
	st.mu.Unlock()
	st.refresh()
}

// items are the announcements that were heard, and those that were learned.
func (st *stops) items() []peer.Item {
	all := st.server.opts.Network.Items(peer.TopicStop)
	now := time.Now()
	st.mu.Lock()
	defer st.mu.Unlock()
	for _, l := range st.learned {
		if left := l.until.Sub(now); left > 0 {
			l.TTL = left
			all = append(all, l.Item)
		}
	}
	return all
}

func newStops(s *Server) *stops {
	st := &stops{server: s, recorded: config.NewState()}
	s.opts.Network.Subscribe(peer.TopicStop, func(peer.Item) { st.refresh() })
	return st
}

func (st *stops) inForce(state *config.State) {
	st.mu.Lock()
	st.recorded = state
	st.mu.Unlock()
	st.refresh()
}

func (st *stops) state() *config.State {
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.recorded
}

// announce spreads a stop before it is accepted. A request that is certain to
// be refused is not announced: its loser would have half of it applied.
func (st *stops) announce(req change.Request, stop config.Stop) bool {
	state := st.state()
	last := state.LastChanges[config.ItemKey(config.KindStop, req.Name)]
	expected := last.Revision == req.ExpectedRevision || (req.ExpectedRevision == 0 && last.Deleted)
	if !expected || len(change.Validate(state, req)) > 0 {
		return false
	}
	st.publish(announcedStop{Stop: &stop, Change: &req, After: last.Revision})
	return true
}

func (st *stops) publish(a announcedStop) {
	st.server.publish(peer.TopicStop, a.Change.ID, announceTTL, a)
	st.refresh()
}

// withdraw takes back the announcement of a change that was refused after all.
func (st *stops) withdraw(req change.Request) {
	st.server.publish(peer.TopicStop, "withdrawn/"+req.ID, announceTTL, announcedStop{Withdrawn: req.ID})
	st.refresh()
}

// announced is an announcement that counts, and who made it.
type announced struct {
	announcedStop
	origin peer.Incarnation
	left   time.Duration // until it no longer counts
}

// pending lists the announcements that are neither decided nor withdrawn.
func (st *stops) pending() []announced {
	state := st.state()
	var all []announced
	withdrawn := map[string]bool{}
	for _, item := range st.items() {
		a := announced{origin: item.Origin, left: item.TTL}
		if json.Unmarshal(item.Body, &a.announcedStop) != nil {
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

// all lists the addresses to stop by kind.
func (st *stops) all(kind config.StopKind) map[string]bool {
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

// vms lists the entry VMs that callers should no longer be told of.
func (st *stops) vms() map[string]bool {
	addresses := st.all(config.StopVM)
	for _, item := range st.items() {
		var a announcedStop
		if json.Unmarshal(item.Body, &a) == nil && a.Leave != "" && !st.replaced(item.Origin, a.Leave) {
			addresses[a.Leave] = true
		}
	}
	return addresses
}

// replaced says that another process than the one that left has the address by
// now.
func (st *stops) replaced(left peer.Incarnation, address string) bool {
	network := st.server.opts.Network
	for _, m := range append(network.Members(), network.Self()) {
		if m.CallerAddress == address && m.Incarnation != left && m.State == peer.Alive {
			return true
		}
	}
	return false
}

func (st *stops) refresh() {
	st.applying.Lock()
	defer st.applying.Unlock()
	st.server.targets.SetStops(st.all(config.StopTarget))
}

// run looks after announced stops: they are renewed while they are not
// decided, so that an outage of the store may last, and submitted until the
// store has accepted or refused them. It refreshes too, as no message tells
// that an announcement's time is up.
func (st *stops) run(ctx context.Context) {
	for wait.Jittered(ctx, stopPeriod) {
		for _, a := range st.pending() {
			if st.responsible(a.origin) {
				st.lookAfter(ctx, a)
			}
		}
		st.refresh()
	}
}

// responsible says whether this process looks after an announcement: the one
// that made it, or when that one is gone, the first of all. Without a
// successor a stop that was announced during an outage would be forgotten with
// the process that took it in.
func (st *stops) responsible(origin peer.Incarnation) bool {
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

func (st *stops) lookAfter(ctx context.Context, a announced) {
	self := st.server.opts.Network.Self().Incarnation
	if a.origin != self || a.left < announceTTL/2 {
		st.publish(a.announcedStop)
	}
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	out := st.server.changes.Submit(ctx, *a.Change)
	switch out.Result {
	case change.Accepted:
		st.server.putInForce(*a.Change, out.Revision)
	case change.Conflict, change.Invalid:
		st.server.log.Warn("Announced stop was refused.", zap.String("stop", a.Stop.ID),
			zap.String("by", a.Change.By), zap.String("changed_by", out.Last.By), zap.Strings("faults", out.ValidationErrors))
		st.withdraw(*a.Change)
	}
}
