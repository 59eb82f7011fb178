package peer

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"
	"golang.org/x/sync/singleflight"

	"github.com/vanillagate/vanillagate/internal/logging"
	"github.com/vanillagate/vanillagate/internal/member"
)

// Errors returned by a Node; test with errors.Is.
var (
	ErrUnknownMember   = eris.New("peer: unknown or dead member")
	ErrClosed          = eris.New("peer: node is closed")
	ErrVersionNotNewer = eris.New("peer: the item's version isn't newer than the published one")
	ErrItemTooLarge    = eris.New("peer: the item is too large")
)

type handler = func(ctx context.Context, params json.RawMessage) (any, error)

// Node is this process's endpoint in the network of the system's processes.
type Node struct {
	opts     Options
	log      *zap.Logger
	traffic  *traffic
	inbox    *inbox
	handlers map[string]handler // not changed after Start

	ctx      context.Context
	stop     context.CancelFunc
	tasks    sync.WaitGroup
	listener net.Listener
	// handshakes limits the concurrent handshakes of incoming connections.
	handshakes chan struct{}

	dials singleflight.Group

	// mu guards all fields below. It is acquired before a link's mu and never held
	// during I/O.
	mu       sync.Mutex
	table    *member.Table
	store    *store
	links    map[string]*link // by incarnation
	dialing  map[string]bool  // addresses that are being dialed
	keys     [][]byte
	detector freezeDetector
	freezes  uint64 // number of detected freezes
	health   health
	// candidates are addresses to try: the VM list, and after a freeze those of the
	// members known before.
	candidates       []string
	missing          map[itemID]*missingItem
	pacing           map[itemID]*pacedItem
	order            []string // members still to be probed in this round
	ticks            uint64
	phase            uint64 // random, constant
	linkPlan         linkPlan
	joins            joins
	stale            bool      // the view was reset and not yet compared
	lastCompared     time.Time // when views were last compared
	compareScheduled bool      // a comparison is scheduled
	view             *View
	viewVersion      uint64 // the table's version that view was made from
	closed           bool
	lastPrune        uint64 // the tick of the last prune sent
}

var _ Network = (*Node)(nil)

// New creates a node that isn't connected yet.
func New(opts Options) (*Node, error) {
	opts = opts.withDefaults()
	if err := checkKeys(opts.Keys); err != nil {
		return nil, err
	}
	n := &Node{
		opts:       opts,
		log:        logging.WithComponent(opts.Log, "peer"),
		traffic:    newTraffic(opts.Metrics),
		inbox:      newInbox(),
		handlers:   map[string]handler{},
		handshakes: make(chan struct{}, maxHandshakes),
		store:      newStore(opts.TombstoneTTL),
		links:      map[string]*link{},
		dialing:    map[string]bool{},
		keys:       keyBytes(opts.Keys),
		missing:    map[itemID]*missingItem{},
		pacing:     map[itemID]*pacedItem{},
		phase:      rand.Uint64N(randomProbePeriods * seedPeriods),
	}
	n.table = member.NewTable(n.selfRecord(), opts.memberTimeouts())
	return n, nil
}

// maxHandshakes limits the connections that haven't been authenticated yet.
const maxHandshakes = 64

func keyBytes(keys []string) [][]byte {
	all := make([][]byte, 0, len(keys))
	for _, key := range keys {
		all = append(all, []byte(key))
	}
	return all
}

func (n *Node) selfRecord() member.Record {
	self := n.opts.Self
	return member.Record{
		ID:            string(self.Incarnation),
		Start:         uint64(time.Now().UnixMicro()),
		PeerAddress:   self.PeerAddress,
		CallerAddress: self.CallerAddress,
		Zone:          self.Zone,
		Region:        self.Region,
		CPUPercent:    self.CPUPercent,
	}
}

// Start listens, joins the network and runs the node until Close or the end of the
// context. It doesn't wait for any peer, because a process may be the first.
func (n *Node) Start(ctx context.Context) error {
	listener, err := net.Listen("tcp", n.opts.Listen)
	if err != nil {
		return eris.Wrap(err, "listen for peers")
	}
	n.listener = listener
	n.mu.Lock()
	if n.opts.Self.PeerAddress == "" {
		n.opts.Self.PeerAddress = listener.Addr().String()
	}
	n.table = member.NewTable(n.selfRecord(), n.opts.memberTimeouts())
	n.view = nil
	n.detector = newFreezeDetector(instantOf(time.Now()), max(freezePeriods*n.opts.Period, minFreezeTime))
	n.mu.Unlock()
	n.ctx, n.stop = context.WithCancel(ctx)
	n.tasks.Go(n.accept)
	n.tasks.Go(n.run)
	n.tasks.Go(func() { n.inbox.deliver(n.ctx) })
	n.tasks.Go(func() {
		<-n.ctx.Done()
		n.shutdown()
	})
	return nil
}

// AnnounceLeave tells the peers that this process is leaving. It stays reachable until
// Leave or Close, to hand over its remaining work.
func (n *Node) AnnounceLeave() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.broadcast([]member.Record{n.table.MarkLeaving()}, nil)
}

// Leave announces that this process is leaving, waits until its peers have received that
// or the context ends, and closes the node.
func (n *Node) Leave(ctx context.Context) {
	n.mu.Lock()
	n.broadcast([]member.Record{n.table.MarkLeaving()}, nil)
	links := n.allLinks()
	n.mu.Unlock()
	for _, l := range links {
		n.drain(ctx, l)
	}
	n.Close()
}

// drain waits until the other side has answered a ping that was sent after everything
// queued for the link.
func (n *Node) drain(ctx context.Context, l *link) {
	ctx, cancel := context.WithTimeout(ctx, pingPeriods*n.opts.Period)
	defer cancel()
	l.ping(ctx, nil)
}

// Close ends all links without announcing that this process leaves.
func (n *Node) Close() {
	if n.stop == nil {
		return
	}
	n.stop()
	n.tasks.Wait()
}

func (n *Node) shutdown() {
	_ = n.listener.Close() // an error loses nothing: the listener holds no data
	n.mu.Lock()
	n.closed = true
	links := n.allLinks()
	n.mu.Unlock()
	for _, l := range links {
		l.close()
	}
}

func (n *Node) allLinks() []*link {
	links := make([]*link, 0, len(n.links))
	for _, l := range n.links {
		links = append(links, l)
	}
	return links
}

// SetKeys replaces the shared keys of a running node. Links that were authenticated with
// a key that is no longer accepted are closed and reopened.
func (n *Node) SetKeys(keys []string) error {
	if err := checkKeys(keys); err != nil {
		return err
	}
	kept := map[string]bool{}
	for _, key := range keys {
		kept[key] = true
	}
	n.mu.Lock()
	n.keys = keyBytes(keys)
	links := n.allLinks()
	n.mu.Unlock()
	for _, l := range links {
		if !kept[l.key] {
			l.close()
		}
	}
	return nil
}

// Self implements Network.
func (n *Node) Self() Member { return n.View().Self }

// Members implements Network.
func (n *Node) Members() []Member { return slices.Clone(n.View().Members) }

// Stale implements Network.
func (n *Node) Stale() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.notFrozen(time.Now()) // a standstill may have ended that no tick has detected yet
	return n.stale
}

// Links returns the number of open links, including those opened by peers.
func (n *Node) Links() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.links)
}

// Traffic returns the counters of sent and received messages by kind.
func (n *Node) Traffic() []Traffic { return n.traffic.snapshot() }

func toMember(r member.Record) Member {
	return Member{
		Incarnation:   Incarnation(r.ID),
		PeerAddress:   r.PeerAddress,
		CallerAddress: r.CallerAddress,
		Zone:          r.Zone,
		Region:        r.Region,
		State:         memberStates[r.State],
		CPUPercent:    r.CPUPercent,
	}
}

var memberStates = map[member.State]MemberState{
	member.Alive:   Alive,
	member.Suspect: Suspect,
	member.Leaving: Leaving,
	member.Dead:    Dead,
}

func memberField(r member.Record) zap.Field { return zap.String("member", r.ID+"@"+r.PeerAddress) }

// Handle implements Network.
func (n *Node) Handle(method string, fn func(ctx context.Context, params json.RawMessage) (any, error)) {
	n.handlers[method] = fn
}

// Subscribe implements Network.
func (n *Node) Subscribe(topic Topic, fn func(Item)) { n.inbox.subscribe(topic, fn) }

// Items implements Network. Each item has the TTL that remains.
func (n *Node) Items(topic Topic) []Item {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.store.items(topic, time.Now())
}

// Call implements Network. It uses the existing link to the member or opens one.
func (n *Node) Call(ctx context.Context, to Incarnation, method string, params, result any) error {
	if to == n.Self().Incarnation {
		return n.callSelf(ctx, method, params, result)
	}
	l, err := n.linkTo(ctx, string(to))
	if err != nil {
		return err
	}
	started := time.Now()
	err = l.call(ctx, method, params, result)
	if errors.Is(ctx.Err(), context.DeadlineExceeded) && l.silentSince(started) {
		n.checkLink(l)
	}
	return eris.Wrapf(err, "call %s", method)
}

func (n *Node) callSelf(ctx context.Context, method string, params, result any) error {
	encoded, err := json.Marshal(params)
	if err != nil {
		return eris.Wrap(err, "encode parameters")
	}
	answer, err := n.callHandler(ctx, method, encoded)
	if err != nil {
		return err
	}
	data, err := json.Marshal(answer)
	if err != nil || result == nil {
		return eris.Wrap(err, "encode answer")
	}
	return eris.Wrap(json.Unmarshal(data, result), "decode answer")
}

// serve serves a call that arrived over a link.
func (n *Node) serve(ctx context.Context, l *link, method string, params json.RawMessage) (any, error) {
	switch method {
	case methodProbe:
		return n.serveProbe(ctx, params)
	case methodDigest:
		return n.serveDigest(params)
	case methodExchange:
		return n.serveExchange(l, params)
	default:
		n.markUsed(l)
		return n.callHandler(ctx, method, params)
	}
}

func (n *Node) callHandler(ctx context.Context, method string, params json.RawMessage) (any, error) {
	fn := n.handlers[method]
	if fn == nil {
		return nil, eris.Errorf("no method %q", method)
	}
	return fn(ctx, params)
}

// accept accepts incoming connections.
func (n *Node) accept() {
	for {
		conn, err := n.listener.Accept()
		if n.ctx.Err() != nil {
			return
		}
		if err != nil {
			n.log.Warn("Accepting a connection failed.", zap.Error(err))
			n.pause(n.opts.Period)
			continue
		}
		select {
		case n.handshakes <- struct{}{}:
			n.tasks.Go(func() {
				defer func() { <-n.handshakes }()
				n.acceptHandshake(conn)
			})
		default:
			_ = conn.Close() // too many handshakes; peers try again
		}
	}
}

func (n *Node) pause(d time.Duration) {
	select {
	case <-time.After(d):
	case <-n.ctx.Done():
	}
}

func (n *Node) acceptHandshake(conn net.Conn) {
	if n.opts.TLS != nil {
		conn = tls.Server(conn, n.opts.TLS)
	}
	own := n.credentials()
	agreed, err := withDeadline(conn, n.opts.handshakeTime(), func() (*session, error) { return acceptHandshake(conn, own.keys, own.self) })
	if err != nil {
		n.refused(conn, err)
		return
	}
	n.attach(conn, agreed, false, own.freezes)
}

func (n *Node) refused(conn net.Conn, err error) {
	_ = conn.Close() // the handshake error is logged below
	n.traffic.refused.Inc(1)
	if n.ctx.Err() == nil {
		n.log.Warn("Handshake failed.", zap.Stringer("address", conn.RemoteAddr()), zap.Error(err))
	}
}

// credentials are the inputs of a handshake.
type credentials struct {
	keys    [][]byte
	self    member.Record
	freezes uint64 // n.freezes when the handshake started
}

func (n *Node) credentials() credentials {
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.closed {
		n.notFrozen(time.Now()) // counts a freeze that no tick has detected yet
	}
	return credentials{n.keys, n.table.Self(), n.freezes}
}

// dial opens a link to an address, or returns an existing link to the process there.
// Concurrent callers for one address share one attempt: of two connections opened at
// the same time, the other side could drop each in favour of the other.
func (n *Node) dial(ctx context.Context, address string) (*link, error) {
	dialing := n.dials.DoChan(address, func() (any, error) { return n.dialOnce(address) })
	select {
	case done := <-dialing:
		if done.Err != nil {
			return nil, done.Err
		}
		return done.Val.(*link), nil
	case <-ctx.Done():
		return nil, eris.Wrapf(ctx.Err(), "dial %s", address)
	}
}

func (n *Node) dialOnce(address string) (*link, error) {
	ctx, cancel := context.WithTimeout(n.ctx, n.opts.handshakeTime())
	defer cancel()
	conn, err := n.connect(ctx, address)
	if err != nil {
		return nil, eris.Wrapf(err, "dial %s", address)
	}
	if n.opts.TLS != nil {
		conn = tls.Client(conn, clientTLS(n.opts.TLS, address))
	}
	own := n.credentials()
	agreed, err := withDeadline(conn, n.opts.handshakeTime(), func() (*session, error) { return dialHandshake(conn, own.keys, own.self) })
	if err != nil {
		_ = conn.Close() // the handshake error is returned
		return nil, eris.Wrapf(err, "handshake with %s", address)
	}
	return n.attach(conn, agreed, true, own.freezes)
}

func (n *Node) connect(ctx context.Context, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, connectTime)
	defer cancel()
	return n.opts.Dial(ctx, address)
}

func clientTLS(config *tls.Config, address string) *tls.Config {
	if config.ServerName != "" {
		return config
	}
	named := config.Clone()
	host, _, err := net.SplitHostPort(address)
	if err == nil {
		named.ServerName = host
	}
	return named
}

// attach turns an authenticated connection into a link, or drops it in favour of an
// existing one. It also drops a connection whose handshake started before a freeze
// (freezes is the count at that time): the peer may have died long ago.
func (n *Node) attach(conn net.Conn, agreed *session, dialed bool, freezes uint64) (*link, error) {
	l := newLink(n, agreed, newStream(conn, agreed.secret, dialed, writePeriods*n.opts.Period, n.traffic), dialed, freezes)
	now := time.Now()
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closed || l.id == n.table.Self().ID {
		_ = conn.Close() // nothing was sent on it
		return nil, ErrClosed
	}
	if !n.acceptsFrom(l, now) {
		_ = conn.Close() // nothing was sent on it
		return nil, errStale
	}
	existing := n.links[l.id]
	if existing != nil && !n.replaces(l, existing) {
		_ = conn.Close() // nothing was sent on it
		return existing, nil
	}
	n.links[l.id] = l
	l.start(n.ctx)
	n.tasks.Go(func() { l.write(n.ctx) })
	if existing != nil {
		n.tasks.Go(existing.close)
	}
	n.mergeClaims([]member.Record{agreed.other}, l, now)
	n.sendClaimToRefute(l)
	return l, nil
}

// replaces reports whether a new link replaces the existing one. When two processes dial
// each other at the same time, both must keep the same connection: the one dialed by
// the lower incarnation. A link that the same side dials again replaces its previous
// one, which that side has given up. So does one that comes while the existing one is
// silent: the other side wouldn't dial if it received anything over that.
func (n *Node) replaces(fresh, existing *link) bool {
	if fresh.dialed == existing.dialed || existing.closing || existing.silentFor() >= pingPeriods*n.opts.Period {
		return true
	}
	return fresh.dialed == (n.table.Self().ID < fresh.id)
}

// checkLink pings over a link that didn't answer a call, and replaces it if it is silent.
func (n *Node) checkLink(l *link) {
	if !l.checking.CompareAndSwap(false, true) {
		return
	}
	n.spawn(func() {
		defer l.checking.Store(false)
		ctx, cancel := context.WithTimeout(n.ctx, n.scaledTimeout(pingPeriods))
		defer cancel()
		n.pingOver(ctx, l, nil)
	})
}

// pingOver reports whether the member answers a ping over a link. If nothing at all arrives
// over the link, it is replaced: its connection may be dead without an error at either
// side.
func (n *Node) pingOver(ctx context.Context, l *link, events []member.Record) bool {
	if ctx.Err() != nil {
		return false
	}
	started := time.Now()
	if l.ping(ctx, events) {
		return true
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) && l.silentSince(started) && !n.isOverloaded() {
		n.spawn(func() { n.replaceLink(l) })
	}
	return false
}

// replaceLink opens a new link in place of a silent one. If that fails, the member is
// probably gone, and the old link stays until the member is considered dead.
func (n *Node) replaceLink(l *link) {
	if !l.replacing.CompareAndSwap(false, true) {
		return
	}
	defer l.replacing.Store(false)
	silent := l.silentFor()
	_, err := n.dial(n.ctx, l.peer.PeerAddress)
	if err != nil {
		n.log.Debug("Silent link can't be replaced.", memberField(l.peer), zap.Error(err))
		return
	}
	n.log.Info("Silent link replaced.", memberField(l.peer), zap.Duration("silent", silent))
}

// sendClaimToRefute tells a member that this process considers it other than alive, so
// that it can refute that. The caller holds mu.
func (n *Node) sendClaimToRefute(l *link) {
	if held, found := n.table.Get(l.id); found && held.State != member.Alive {
		l.sendEvents([]member.Record{held})
	}
}

// detach removes a link that ended.
func (n *Node) detach(l *link) {
	l.close()
	n.mu.Lock()
	current := n.links[l.id] == l
	if current {
		delete(n.links, l.id)
	}
	expected := n.closed || l.closing
	n.mu.Unlock()
	if current && !expected {
		// The end of a link is the first sign that the peer has died: probe it now
		// rather than when its turn comes.
		n.spawn(func() { n.probe(l.id) })
	}
}

// spawn runs a task in the background; Close waits for it.
func (n *Node) spawn(task func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.closed {
		n.tasks.Go(task)
	}
}

// linkTo returns a link to a member, opening one if necessary.
func (n *Node) linkTo(ctx context.Context, id string) (*link, error) {
	n.mu.Lock()
	l := n.links[id]
	if l != nil && l.closing {
		l = nil
	}
	if l != nil {
		l.used = time.Now()
	}
	held, found := n.table.Get(id)
	closed := n.closed
	n.mu.Unlock()
	switch {
	case closed:
		return nil, ErrClosed
	case l != nil:
		return l, nil
	case !found || held.State == member.Dead:
		return nil, ErrUnknownMember
	}
	l, err := n.dial(ctx, held.PeerAddress)
	if err != nil {
		return nil, err
	}
	if l.id != id {
		return nil, ErrUnknownMember
	}
	return l, nil
}

func (n *Node) markUsed(l *link) {
	n.mu.Lock()
	defer n.mu.Unlock()
	l.used = time.Now()
}
