package peer

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/vanillagate/vanillagate/internal/member"
)

const (
	// pingPeriods is the time limit of a direct ping, helperPeriods that of a ping
	// through a helper.
	pingPeriods   = 1
	helperPeriods = 2
	// helpers is the number of members asked to probe one that this process can't reach.
	helpers = 3
	// seedsAtOnce is the number of addresses of the VM list that are tried per tick.
	seedsAtOnce = 2
)

// run runs the periodic work. The first tick comes at once.
func (n *Node) run() {
	due := time.Now()
	for n.ctx.Err() == nil {
		now := time.Now()
		n.updateHealth(func(h *health) { h.tick(now.Sub(due), n.opts.Period) })
		n.tick(now)
		// The jitter keeps processes that start together from ticking in lockstep.
		pause := time.Duration((0.9 + 0.2*rand.Float64()) * float64(n.tickInterval()))
		due = time.Now().Add(pause)
		n.pause(pause)
	}
}

const (
	// The first startupTicks ticks come startupSpeedup times as fast. Processes that
	// start together find each other's ports closed at the first try, the first peer
	// that answers knows no more than they do, and while each knows only a few others,
	// they all do work that one should do for all.
	startupTicks   = 15
	startupSpeedup = 6
)

// tickInterval returns the time until the next tick.
func (n *Node) tickInterval() time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.ticks < startupTicks {
		return n.opts.Period / startupSpeedup
	}
	return n.opts.Period
}

func (n *Node) tick(now time.Time) {
	n.mu.Lock()
	n.ticks++
	ticks := n.ticks
	n.notFrozen(now)
	n.detector.tick(instantOf(now))
	if !n.health.overloaded() {
		// If this process is short of CPU, suspected members may already have refuted
		// the suspicion in messages that it hasn't read yet.
		n.broadcast(n.table.Expire(now), nil)
	}
	n.store.sweep(now)
	n.publishDue(now)
	n.requestMissing(now)
	n.logJoins()
	n.planLinks(now)
	addresses := n.addressesToDial()
	n.closeIdle(now)
	n.closeDead()
	for _, l := range n.links {
		if (ticks+n.phase)%havePeriods == 0 || l.hasUrgent() {
			l.signal()
		}
	}
	target := n.nextProbe()
	randomMember := n.randomMember()
	dueLink := n.dueLink(now)
	n.mu.Unlock()

	// The phase keeps processes that start together from reading the list together.
	if ticks == 1 || (ticks+n.phase)%seedPeriods == 0 {
		n.spawn(n.readSeeds)
	}
	for _, address := range addresses {
		n.spawn(func() { n.join(address) })
	}
	if target != "" {
		n.spawn(func() { n.probe(target) })
	}
	if dueLink != nil {
		n.spawn(func() { n.runDueCompare(dueLink) })
	}
	if randomMember != "" && (ticks+n.phase)%randomProbePeriods == 0 {
		n.spawn(func() { n.probeAndCompare(randomMember) })
	}
}

// notFrozen reports whether this process has been running without a freeze until now; if
// not, it resets the view. Everything that uses or sends the view calls this first, because
// messages may be handled between the end of a freeze and the next tick. The caller
// holds mu.
func (n *Node) notFrozen(now time.Time) bool {
	at := instantOf(now)
	if !n.detector.frozen(at) {
		return true
	}
	n.detector.tick(at)
	n.resetView()
	return false
}

// acceptsFrom reports whether this process hasn't been frozen since the handshake of a
// link. Otherwise the messages of the link are older than the process's view and
// must be ignored. The caller holds mu.
func (n *Node) acceptsFrom(l *link, now time.Time) bool {
	return n.notFrozen(now) && l.freezes == n.freezes
}

// resetView drops the view from before a freeze. It may be older than the others'
// tombstones, so that gossiping it would make dead members seem alive again, and its
// suspicions come from the freeze itself. The caller holds mu.
func (n *Node) resetView() {
	n.log.Warn("This process was frozen; resetting its view of the members.")
	n.freezes++
	n.traffic.freezes.Inc(1)
	n.candidates = append(n.candidates, n.table.Reset()...)
	n.stale = true
	clear(n.missing)
	n.order = nil
	for _, l := range n.links {
		n.tasks.Go(l.close)
	}
	clear(n.links)
}

// linkPlan is the set of links that this process should open, and the membership that it
// was computed for.
type linkPlan struct {
	links      []member.Record
	population uint64
	members    int
	at         time.Time
}

// planLinks chooses the links that this process should open, at most once per period while
// the membership of a large system changes gradually. Without this limit, it and its
// neighbours would open new links at every tick while all processes start. The caller
// holds mu.
func (n *Node) planLinks(now time.Time) {
	count := n.table.MemberCount()
	gradual := count > n.opts.LinkCounts.FullMeshSize && count < 2*n.linkPlan.members && n.linkPlan.members < 2*count
	switch {
	case n.table.MembershipVersion() == n.linkPlan.population:
		return
	case gradual && now.Sub(n.linkPlan.at) < n.opts.Period:
		return
	}
	n.linkPlan = linkPlan{
		links:      member.Links(n.table.Self(), n.table.LiveMembers(), n.opts.LinkCounts),
		population: n.table.MembershipVersion(), members: count, at: now,
	}
}

// addressesToDial lists the addresses to dial in this tick. The caller holds mu.
func (n *Node) addressesToDial() []string {
	now := time.Now()
	var addresses []string
	for _, r := range n.linkPlan.links {
		if l := n.links[r.ID]; l != nil {
			l.used = now
			continue
		}
		addresses = n.appendDial(addresses, r.PeerAddress)
	}
	tried := 0
	for _, i := range rand.Perm(len(n.candidates)) {
		if tried == seedsAtOnce {
			break
		}
		if address := n.candidates[i]; address != n.table.Self().PeerAddress && !n.table.HasMemberAt(address) {
			addresses = n.appendDial(addresses, address)
			tried++
		}
	}
	return addresses
}

func (n *Node) appendDial(addresses []string, address string) []string {
	if n.dialing[address] {
		return addresses
	}
	n.dialing[address] = true
	return append(addresses, address)
}

// join opens a link and compares views over it.
func (n *Node) join(address string) {
	defer func() {
		n.mu.Lock()
		delete(n.dialing, address)
		n.mu.Unlock()
	}()
	l, err := n.dial(n.ctx, address)
	if err == nil && n.shouldCompare(time.Now()) {
		err = n.compare(l)
	}
	if err != nil && n.ctx.Err() == nil {
		n.log.Debug("Connecting to a peer failed.", zap.String("address", address), zap.Error(err))
	}
}

// shouldCompare reports whether to compare views over a link that was just opened. If views
// were compared less than a period ago, it schedules a comparison for later instead:
// what has changed meanwhile spreads by itself.
func (n *Node) shouldCompare(now time.Time) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if now.Sub(n.lastCompared) < n.opts.Period {
		n.compareScheduled = true
		return false
	}
	n.lastCompared = now
	return true
}

// compare compares views over a link, with a time limit.
func (n *Node) compare(l *link) error {
	ctx, cancel := context.WithTimeout(n.ctx, max(time.Second, writePeriods*n.opts.Period))
	defer cancel()
	err := n.compareViews(ctx, l)
	n.mu.Lock()
	defer n.mu.Unlock()
	if err != nil {
		n.lastCompared = time.Time{}
		n.compareScheduled = true
	}
	return err
}

// dueLink returns a link to run a scheduled comparison over, nil if none is due.
// The caller holds mu.
func (n *Node) dueLink(now time.Time) *link {
	if !n.compareScheduled || now.Sub(n.lastCompared) < n.opts.Period {
		return nil
	}
	for _, l := range n.links {
		if l.closing {
			continue
		}
		n.compareScheduled = false
		n.lastCompared = now
		return l
	}
	return nil
}

// runDueCompare runs a scheduled comparison.
func (n *Node) runDueCompare(l *link) {
	if err := n.compare(l); err != nil && n.ctx.Err() == nil {
		n.log.Debug("Comparing views failed.", zap.String("member", l.id), zap.Error(err))
	}
}

// closeIdle closes links that this process opened and no longer needs. It tells the other
// side first, because a link that ends unannounced counts as a sign of a crash. The
// caller holds mu.
func (n *Node) closeIdle(now time.Time) {
	for _, l := range n.links {
		if l.dialed && !l.closing && now.Sub(l.used) > idlePeriods*n.opts.Period {
			l.closing = true
			l.post(func(out *message) { out.Closing = true })
		}
	}
}

// closeDead closes the links to members that are considered dead. A member that is alive
// after all is found through the VM list. The caller holds mu.
func (n *Node) closeDead() {
	for id, l := range n.links {
		if held, found := n.table.Get(id); found && held.State == member.Dead && !l.closing {
			l.closing = true
			n.tasks.Go(l.close)
		}
	}
}

// readSeeds reads the VM list.
func (n *Node) readSeeds() {
	if n.opts.Seeds == nil {
		return
	}
	ctx, cancel := context.WithTimeout(n.ctx, max(time.Second, seedPeriods*n.opts.Period))
	defer cancel()
	seeds, err := n.opts.Seeds(ctx)
	if err != nil {
		// Keep the previous addresses: an empty list would leave a process alone just
		// when the platform is in trouble.
		n.log.Warn("Reading the VM list failed.", zap.Error(err))
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.candidates = seeds
}

// nextProbe returns the next linked member to probe, in random rounds. The caller holds mu.
func (n *Node) nextProbe() string {
	for range 2 {
		for len(n.order) > 0 {
			id := n.order[0]
			n.order = n.order[1:]
			if l := n.links[id]; l != nil && !l.closing {
				return id
			}
		}
		for id := range n.links {
			n.order = append(n.order, id)
		}
		rand.Shuffle(len(n.order), func(i, j int) { n.order[i], n.order[j] = n.order[j], n.order[i] })
	}
	return ""
}

// randomMember returns a random member. The caller holds mu.
func (n *Node) randomMember() string {
	r, _ := n.table.AnyMember()
	return r.ID
}

// probeAndCompare probes a member and compares views with it. This detects the death of
// members that nobody keeps a link to, and finds what gossip lost.
func (n *Node) probeAndCompare(id string) {
	if !n.probe(id) {
		return
	}
	ctx, cancel := context.WithTimeout(n.ctx, n.opts.handshakeTime())
	defer cancel()
	l, err := n.linkTo(ctx, id)
	if err != nil {
		return
	}
	if err := n.compare(l); err != nil {
		n.log.Debug("Comparing views failed.", zap.String("member", id), zap.Error(err))
	}
}

// probe reports whether a member answers a direct ping. If neither this process nor its
// helpers reach the member, it becomes suspected.
func (n *Node) probe(id string) bool {
	record, helpers, found := n.probeTarget(id)
	if !found {
		return false
	}
	result := n.pingMember(n.ctx, record)
	if result == pingAnswered {
		n.updateHealth((*health).better)
		return true
	}
	if n.ctx.Err() != nil {
		return false
	}
	n.updateHealth((*health).worse)
	if result == pingTimedOut && n.isOverloaded() {
		return false
	}
	reached, confirmed := n.askHelpers(record, helpers)
	if reached {
		n.traffic.indirect.Inc(1)
		n.dropLink(id)
		return true
	}
	if len(helpers) > 0 && confirmed == 0 {
		// The helpers, although linked to this process, don't answer or are short of
		// CPU themselves: the fault is more likely here. Suspecting them all would
		// cost everybody's CPU.
		return false
	}
	n.suspect(id, time.Now())
	return false
}

func (n *Node) isOverloaded() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.health.overloaded()
}

func (n *Node) updateHealth(change func(*health)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	change(&n.health)
}

// dropLink closes the link to a member that only others reach. The link may be half-open,
// and the next try then starts with a new connection.
func (n *Node) dropLink(id string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if l := n.links[id]; l != nil && !n.closed {
		l.closing = true
		n.tasks.Go(l.close)
	}
}

// suspect announces that a member can't be reached, unless this process itself was frozen
// meanwhile: then the missing answer proves nothing.
func (n *Node) suspect(id string, now time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closed || !n.notFrozen(now) {
		return
	}
	n.broadcast(n.table.MarkSuspect(id, now), nil)
}

func (n *Node) probeTarget(id string) (member.Record, []*link, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	record, found := n.table.Get(id)
	if !n.notFrozen(time.Now()) || !found || record.State == member.Dead {
		return record, nil, false
	}
	var chosen []*link
	for other, l := range n.links {
		if other != id && len(chosen) < helpers {
			chosen = append(chosen, l)
		}
	}
	return record, chosen, true
}

// pingResult is the outcome of a ping.
type pingResult int

const (
	// pingTimedOut: no answer in time, possibly because this process itself is slow.
	pingTimedOut pingResult = iota
	// pingRefused: nothing listens at the member's address.
	pingRefused
	pingAnswered
)

// pingMember pings a member over the existing link or over a new one.
func (n *Node) pingMember(ctx context.Context, r member.Record) pingResult {
	ctx, cancel := context.WithTimeout(ctx, n.scaledTimeout(pingPeriods))
	defer cancel()
	// The existing link may just be closing because it is idle, which says nothing
	// about the member, so a second link is tried.
	for range 2 {
		l, err := n.linkTo(ctx, r.ID)
		if errors.Is(err, syscall.ECONNREFUSED) {
			return pingRefused
		}
		if err != nil {
			return pingTimedOut
		}
		if n.pingOver(ctx, l, n.claimToRefute(r.ID)) {
			return pingAnswered
		}
	}
	return pingTimedOut
}

func (n *Node) scaledTimeout(periods time.Duration) time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.health.scaledTimeout(periods * n.opts.Period)
}

// claimToRefute returns this process's record of a member that it doesn't consider alive,
// so that the member can refute it.
func (n *Node) claimToRefute(id string) []member.Record {
	n.mu.Lock()
	defer n.mu.Unlock()
	if held, found := n.table.Get(id); found && held.State != member.Alive {
		return []member.Record{held}
	}
	return nil
}

var errReached = eris.New("reached")

// askHelpers reports whether any of the given links' peers reached the member, and how many
// of them are sure that it can't be reached.
func (n *Node) askHelpers(r member.Record, others []*link) (reached bool, confirmed int) {
	ctx, cancel := context.WithTimeout(n.ctx, n.scaledTimeout(helperPeriods))
	defer cancel()
	var failures atomic.Int64
	group, ctx := errgroup.WithContext(ctx)
	for _, l := range others {
		group.Go(func() error {
			var answer probeAnswer
			if l.call(ctx, methodProbe, probeRequest{Record: r}, &answer) != nil {
				return nil
			}
			if answer.Reached {
				return errReached // cancels the other calls
			}
			if !answer.Unsure {
				failures.Add(1)
			}
			return nil
		})
	}
	reached = group.Wait() != nil
	return reached, int(failures.Load())
}

func (n *Node) serveProbe(ctx context.Context, params json.RawMessage) (any, error) {
	var request probeRequest
	if err := json.Unmarshal(params, &request); err != nil {
		return nil, eris.Wrap(err, "decode probe")
	}
	// The record isn't merged as a claim: the sender may have been frozen and ask about
	// a member that died long ago.
	result := n.pingMember(ctx, request.Record)
	return probeAnswer{Reached: result == pingAnswered, Unsure: result == pingTimedOut && n.isOverloaded()}, nil
}
