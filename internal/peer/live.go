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
	// pingPeriods is how long a ping may take, helperPeriods a ping by way of
	// a helper.
	pingPeriods   = 1
	helperPeriods = 2
	// helpers is how many others are asked to reach a member that we can't.
	helpers = 3
	// seedsAtOnce is how many addresses of the VM list are tried in a beat.
	seedsAtOnce = 2
)

// live does what is done regularly. The first beat comes at once.
func (n *Node) live() {
	due := time.Now()
	for n.ctx.Err() == nil {
		now := time.Now()
		n.feel(func(h *health) { h.beat(now.Sub(due), n.opts.Period) })
		n.beat(now)
		// Processes that start together would otherwise beat together.
		pause := time.Duration((0.9 + 0.2*rand.Float64()) * float64(n.beatPause()))
		due = time.Now().Add(pause)
		n.pause(pause)
	}
}

const (
	// eagerBeats is how many beats after its start come eagerTimes as fast.
	// Processes that start together find each other's ports closed at the first
	// try, the first peer that answers knows no more than they do, and while each
	// knows few it does for itself what one should do for all.
	eagerBeats = 15
	eagerTimes = 6
)

// beatPause is how long to the next beat.
func (n *Node) beatPause() time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.beats < eagerBeats {
		return n.opts.Period / eagerTimes
	}
	return n.opts.Period
}

func (n *Node) beat(now time.Time) {
	n.mu.Lock()
	n.beats++
	beats := n.beats
	n.awake(now)
	n.clock.beat(instantOf(now))
	if !n.health.busy() {
		// Suspects may have contradicted, and this process not yet have read it.
		n.announce(n.table.Expire(now), nil)
	}
	n.store.sweep(now)
	n.publishPaced(now)
	n.wantMissing(now)
	n.logJoins()
	n.planLinks(now)
	open := n.unlinked()
	n.closeIdle(now)
	n.closeDead()
	for _, l := range n.links {
		if (beats+n.phase)%havePeriods == 0 || l.hurried() {
			l.signal()
		}
	}
	target := n.nextProbe()
	stray := n.stray()
	overdue := n.overdue(now)
	n.mu.Unlock()

	// The phase keeps processes that start together from asking together.
	if beats == 1 || (beats+n.phase)%seedPeriods == 0 {
		n.spawn(n.readSeeds)
	}
	for _, address := range open {
		n.spawn(func() { n.join(address) })
	}
	if target != "" {
		n.spawn(func() { n.probe(target) })
	}
	if overdue != nil {
		n.spawn(func() { n.catchUp(overdue) })
	}
	if stray != "" && (beats+n.phase)%strayPeriods == 0 {
		n.spawn(func() { n.visit(stray) })
	}
}

// awake tells whether this process was running until now. All that speaks of
// its beliefs asks this first: between the end of a freeze and the next beat
// there is time for a message. The caller holds mu.
func (n *Node) awake(now time.Time) bool {
	at := instantOf(now)
	if !n.clock.jumped(at) {
		return true
	}
	n.clock.beat(at)
	n.refresh()
	return false
}

// hears tells whether this process was running until now and since the
// handshake of a link. If not, what comes by the link is older than what this
// process believes. The caller holds mu.
func (n *Node) hears(l *link, now time.Time) bool {
	return n.awake(now) && l.freezes == n.freezes
}

// refresh forgets what a process believed before it was frozen. Its beliefs
// may be older than the others' memory of the dead, so that spreading them
// would bring the dead back; its suspicions are of its own making. The caller
// holds mu.
func (n *Node) refresh() {
	n.log.Warn("This process stood still; it learns anew who its peers are.")
	n.freezes++
	n.traffic.freezes.Inc(1)
	n.hints = append(n.hints, n.table.Reset()...)
	n.stale = true
	clear(n.missing)
	n.order = nil
	for _, l := range n.links {
		n.tasks.Go(l.close)
	}
	clear(n.links)
}

// plan is the links that this process should open, and the members that it was made for.
type plan struct {
	links      []member.Record
	population uint64
	members    int
	at         time.Time
}

// planLinks chooses the links that this process should open, at most once a period while
// others come and go. In a start of all it would else open links to new neighbours at each
// beat, and so would those to it. The caller holds mu.
func (n *Node) planLinks(now time.Time) {
	count := n.table.MemberCount()
	crowd := count > n.opts.LinkBounds.All && count < 2*n.plan.members && n.plan.members < 2*count
	switch {
	case n.table.MembershipVersion() == n.plan.population:
		return
	case crowd && now.Sub(n.plan.at) < n.opts.Period:
		return
	}
	n.plan = plan{
		links:      member.Links(n.table.Self(), n.table.LiveMembers(), n.opts.LinkBounds),
		population: n.table.MembershipVersion(), members: count, at: now,
	}
}

// unlinked lists the addresses to dial in this beat. The caller holds mu.
func (n *Node) unlinked() []string {
	now := time.Now()
	var open []string
	for _, r := range n.plan.links {
		if l := n.links[r.ID]; l != nil {
			l.used = now
			continue
		}
		open = n.wantDial(open, r.PeerAddr)
	}
	tried := 0
	for _, i := range rand.Perm(len(n.hints)) {
		if tried == seedsAtOnce {
			break
		}
		if address := n.hints[i]; address != n.table.Self().PeerAddr && !n.table.HasMemberAt(address) {
			open = n.wantDial(open, address)
			tried++
		}
	}
	return open
}

func (n *Node) wantDial(open []string, address string) []string {
	if n.dialing[address] {
		return open
	}
	n.dialing[address] = true
	return append(open, address)
}

// join opens a link and compares the views.
func (n *Node) join(address string) {
	defer func() {
		n.mu.Lock()
		delete(n.dialing, address)
		n.mu.Unlock()
	}()
	l, err := n.dial(n.ctx, address)
	if err == nil && n.comparesNow(time.Now()) {
		err = n.compare(l)
	}
	if err != nil && n.ctx.Err() == nil {
		n.log.Debug("Joining a peer failed.", zap.String("address", address), zap.Error(err))
	}
}

// comparesNow tells whether views are compared over a link that was just opened: not
// if they were a moment ago, since what has changed meanwhile spreads by itself. Then
// it is made up for at the next beat.
func (n *Node) comparesNow(now time.Time) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if now.Sub(n.compared) < n.opts.Period {
		n.behind = true
		return false
	}
	n.compared = now
	return true
}

// compare compares views over a link.
func (n *Node) compare(l *link) error {
	ctx, cancel := context.WithTimeout(n.ctx, max(time.Second, writePeriods*n.opts.Period))
	defer cancel()
	err := n.compareViews(ctx, l)
	n.mu.Lock()
	defer n.mu.Unlock()
	if err != nil {
		n.compared = time.Time{}
		n.behind = true
	}
	return err
}

// overdue is a link over which a comparison that was put off is made up for; nil
// where there is none. The caller holds mu.
func (n *Node) overdue(now time.Time) *link {
	if !n.behind || now.Sub(n.compared) < n.opts.Period {
		return nil
	}
	for _, l := range n.links {
		if l.bye {
			continue
		}
		n.behind = false
		n.compared = now
		return l
	}
	return nil
}

// catchUp makes up for a comparison.
func (n *Node) catchUp(l *link) {
	if err := n.compare(l); err != nil && n.ctx.Err() == nil {
		n.log.Debug("Comparing views failed.", zap.String("member", l.id), zap.Error(err))
	}
}

// closeIdle closes links that this process opened and needs no longer. The
// other side is told, since the unannounced end of a link is taken for the
// sign of a crash. The caller holds mu.
func (n *Node) closeIdle(now time.Time) {
	for _, l := range n.links {
		if l.dialed && !l.bye && now.Sub(l.used) > idlePeriods*n.opts.Period {
			l.bye = true
			l.post(func(out *message) { out.Bye = true })
		}
	}
}

// closeDead closes the links to members that are held dead; one that lives
// after all is found by the VM list. The caller holds mu.
func (n *Node) closeDead() {
	for id, l := range n.links {
		if held, found := n.table.Get(id); found && held.State == member.Dead && !l.bye {
			l.bye = true
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
		// What was known before stays in use: an empty list here would leave
		// a process alone just when the platform is in trouble.
		n.log.Warn("Reading the VM list failed.", zap.Error(err))
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.hints = seeds
}

// nextProbe is the linked member whose turn it is. The caller holds mu.
func (n *Node) nextProbe() string {
	for range 2 {
		for len(n.order) > 0 {
			id := n.order[0]
			n.order = n.order[1:]
			if l := n.links[id]; l != nil && !l.bye {
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

// stray is a random member. The caller holds mu.
func (n *Node) stray() string {
	r, _ := n.table.AnyMember()
	return r.ID
}

// visit probes a member and compares views with it. A member to which nobody
// keeps a link is noticed dead this way, and what spreading lost is found.
func (n *Node) visit(id string) {
	if !n.probe(id) {
		return
	}
	ctx, cancel := context.WithTimeout(n.ctx, n.opts.handshakeTime())
	defer cancel()
	l, err := n.reach(ctx, id)
	if err != nil {
		return
	}
	if err := n.compare(l); err != nil {
		n.log.Debug("Comparing views failed.", zap.String("member", id), zap.Error(err))
	}
}

// probe finds out whether a member lives, by itself and by way of others, and
// suspects it if none can reach it.
func (n *Node) probe(id string) bool {
	record, helpers, found := n.probeTarget(id)
	if !found {
		return false
	}
	sign := n.pingMember(n.ctx, record)
	if sign == answered {
		n.feel((*health).better)
		return true
	}
	if n.ctx.Err() != nil {
		return false
	}
	n.feel((*health).worse)
	if sign == silent && n.isBusy() {
		return false
	}
	reached, sure := n.askHelpers(record, helpers)
	if reached {
		n.traffic.indirect.Inc(1)
		n.giveUpLink(id)
		return true
	}
	if len(helpers) > 0 && sure == 0 {
		// Not even those answer who are linked to us, or they are short of CPU: the fault
		// is more likely here. Suspecting all of them would cost everybody's CPU.
		return false
	}
	n.suspect(id, time.Now())
	return false
}

func (n *Node) isBusy() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.health.busy()
}

func (n *Node) feel(change func(*health)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	change(&n.health)
}

// giveUpLink closes the link to a member that only others reach: the link may
// be half dead, and the next try then starts from a new connection.
func (n *Node) giveUpLink(id string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if l := n.links[id]; l != nil && !n.closed {
		l.bye = true
		n.tasks.Go(l.close)
	}
}

// suspect spreads that a member can't be reached, unless this process itself
// stood still meanwhile: then the silence was its own.
func (n *Node) suspect(id string, now time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closed || !n.awake(now) {
		return
	}
	n.announce(n.table.Suspect(id, now), nil)
}

func (n *Node) probeTarget(id string) (member.Record, []*link, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	record, found := n.table.Get(id)
	if !n.awake(time.Now()) || !found || record.State == member.Dead {
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

// sign is what a ping shows of a member.
type sign int

const (
	// silent: nothing came in time, which may be this process's own slowness.
	silent sign = iota
	// refused: nothing listens at its address.
	refused
	answered
)

// pingMember pings over the link that stands or over a new one.
func (n *Node) pingMember(ctx context.Context, r member.Record) sign {
	ctx, cancel := context.WithTimeout(ctx, n.patience(pingPeriods))
	defer cancel()
	// The link may just be closing because it isn't needed any more; that says
	// nothing of the member, so a second link is tried.
	for range 2 {
		l, err := n.reach(ctx, r.ID)
		if errors.Is(err, syscall.ECONNREFUSED) {
			return refused
		}
		if err != nil {
			return silent
		}
		if l.ping(ctx, n.doubt(r.ID)) {
			return answered
		}
	}
	return silent
}

func (n *Node) patience(periods time.Duration) time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.health.patience(periods * n.opts.Period)
}

// doubt is what a member should hear of itself.
func (n *Node) doubt(id string) []member.Record {
	n.mu.Lock()
	defer n.mu.Unlock()
	if held, found := n.table.Get(id); found && held.State != member.Alive {
		return []member.Record{held}
	}
	return nil
}

var errReached = eris.New("reached")

// askHelpers tells whether any of the others reached the member, and how many
// of them are sure that they can't.
func (n *Node) askHelpers(r member.Record, others []*link) (reached bool, sure int) {
	ctx, cancel := context.WithTimeout(n.ctx, n.patience(helperPeriods))
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
				return errReached // ends the waiting for the others
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
	// The record isn't taken as a claim: who asks may have been frozen and ask
	// for one that died long ago.
	sign := n.pingMember(ctx, request.Record)
	return probeAnswer{Reached: sign == answered, Unsure: sign == silent && n.isBusy()}, nil
}
