package peer

import (
	"context"
	"crypto/tls"
	"encoding/json"
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

// Errors of a Node; test with errors.Is.
var (
	ErrUnknownMember   = eris.New("peer: no such member, or it is dead")
	ErrClosed          = eris.New("peer: this node is closed")
	ErrVersionNotNewer = eris.New("peer: the version doesn't grow")
	ErrItemTooLarge    = eris.New("peer: the item is too big")
)

type handler = func(ctx context.Context, params json.RawMessage) (any, error)

// Node is this process's side of the network of processes.
type Node struct {
	opts     Options
	log      *zap.Logger
	traffic  *traffic
	inbox    *inbox
	handlers map[string]handler // fixed from Start on

	ctx      context.Context
	stop     context.CancelFunc
	tasks    sync.WaitGroup
	listener net.Listener
	// greeting bounds the handshakes that others have opened.
	greeting chan struct{}

	dials singleflight.Group

	// mu guards all below. It is taken before a link's mu and never held
	// during I/O.
	mu      sync.Mutex
	table   *member.Table
	store   *store
	links   map[string]*link // by incarnation
	dialing map[string]bool  // addresses that are being dialed
	keys    [][]byte
	clock   beatClock
	freezes uint64 // how often this process was found to have stood still
	health  health
	// hints are addresses to try: the VM list, and after a freeze the members
	// known before.
	hints    []string
	missing  map[itemName]*absent
	pacing   map[itemName]*paced
	order    []string // members still to be probed in this round
	beats    uint64
	phase    uint64 // random, fixed
	plan     plan
	joins    joins
	stale    bool      // the view is being refreshed
	compared time.Time // when views were compared last
	behind   bool      // another comparison is due
	view     *View
	viewed   uint64 // the table's version that view shows
	closed   bool
	lastLazy uint64 // the beat of the last prune
}

var _ Network = (*Node)(nil)

// New makes a node that isn't yet connected.
func New(opts Options) (*Node, error) {
	opts = opts.withDefaults()
	if err := checkKeys(opts.Keys); err != nil {
		return nil, err
	}
	n := &Node{
		opts:     opts,
		log:      logging.Part(opts.Log, "peer"),
		traffic:  newTraffic(opts.Metrics),
		inbox:    newInbox(),
		handlers: map[string]handler{},
		greeting: make(chan struct{}, maxGreetings),
		store:    newStore(opts.TombstoneTTL),
		links:    map[string]*link{},
		dialing:  map[string]bool{},
		keys:     keyBytes(opts.Keys),
		missing:  map[itemName]*absent{},
		pacing:   map[itemName]*paced{},
		phase:    rand.Uint64N(strayPeriods * seedPeriods),
	}
	n.table = member.NewTable(n.record(), opts.limits())
	return n, nil
}

// maxGreetings bounds the connections that haven't proved a key.
const maxGreetings = 64

func keyBytes(keys []string) [][]byte {
	all := make([][]byte, 0, len(keys))
	for _, key := range keys {
		all = append(all, []byte(key))
	}
	return all
}

func (n *Node) record() member.Record {
	self := n.opts.Self
	return member.Record{
		ID:         string(self.Incarnation),
		Start:      uint64(time.Now().UnixMicro()),
		PeerAddr:   self.PeerAddress,
		CallerAddr: self.CallerAddress,
		Zone:       self.Zone,
		Region:     self.Region,
		CPUShare:   self.CPUPercent,
	}
}

// Start listens, joins and keeps on until Close or the context's end. It
// doesn't wait for any peer: a process may be the first.
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
	n.table = member.NewTable(n.record(), n.opts.limits())
	n.view = nil
	n.clock = newBeatClock(instantOf(time.Now()), max(stalePeriods*n.opts.Period, leastStale))
	n.mu.Unlock()
	n.ctx, n.stop = context.WithCancel(ctx)
	n.tasks.Go(n.accept)
	n.tasks.Go(n.live)
	n.tasks.Go(func() { n.inbox.deliver(n.ctx) })
	n.tasks.Go(func() {
		<-n.ctx.Done()
		n.shut()
	})
	return nil
}

// AnnounceLeave tells the peers that this process goes. It stays reachable
// until Leave or Close, for what it still has to hand over.
func (n *Node) AnnounceLeave() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.announce([]member.Record{n.table.Leave()}, nil)
}

// Leave announces that this process goes, waits until its peers were told or
// the context ends, and closes.
func (n *Node) Leave(ctx context.Context) {
	n.mu.Lock()
	n.announce([]member.Record{n.table.Leave()}, nil)
	links := n.allLinks()
	n.mu.Unlock()
	for _, l := range links {
		n.drain(ctx, l)
	}
	n.Close()
}

// drain waits until the other side has answered a ping that was sent behind
// all that waited for the link.
func (n *Node) drain(ctx context.Context, l *link) {
	ctx, cancel := context.WithTimeout(ctx, pingPeriods*n.opts.Period)
	defer cancel()
	l.ping(ctx, nil)
}

// Close ends all links without a word.
func (n *Node) Close() {
	if n.stop == nil {
		return
	}
	n.stop()
	n.tasks.Wait()
}

func (n *Node) shut() {
	_ = n.listener.Close() // nothing is lost with a listener
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

// SetKeys changes the shared keys without a stop. Links that were opened with
// a key that is no longer accepted are closed and opened anew.
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

// Self is this process.
func (n *Node) Self() Member { return n.View().Self }

// Members lists the other processes that are not dead.
func (n *Node) Members() []Member { return slices.Clone(n.View().Members) }

// Stale tells that this process was frozen and hasn't yet learned anew who
// its peers are.
func (n *Node) Stale() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.stale
}

// Links is the number of open links, those opened by others too.
func (n *Node) Links() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.links)
}

// Traffic lists what was sent and received by kind.
func (n *Node) Traffic() []Traffic { return n.traffic.table() }

func toMember(r member.Record) Member {
	return Member{
		Incarnation:   Incarnation(r.ID),
		PeerAddress:   r.PeerAddr,
		CallerAddress: r.CallerAddr,
		Zone:          r.Zone,
		Region:        r.Region,
		State:         memberStates[r.State],
		CPUPercent:    r.CPUShare,
	}
}

var memberStates = map[member.State]MemberState{
	member.Alive:   Alive,
	member.Suspect: Suspect,
	member.Leaving: Leaving,
	member.Dead:    Dead,
}

func memberField(r member.Record) zap.Field { return zap.String("member", r.ID+"@"+r.PeerAddr) }

// Handle answers calls of a method. Call before Start.
func (n *Node) Handle(method string, fn func(ctx context.Context, params json.RawMessage) (any, error)) {
	n.handlers[method] = fn
}

// Subscribe has fn called with every new item of a topic. Call before Start.
func (n *Node) Subscribe(topic Topic, fn func(Item)) { n.inbox.subscribe(topic, fn) }

// Items lists the unexpired items of a topic, each with the TTL it has left.
func (n *Node) Items(topic Topic) []Item {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.store.items(topic, time.Now())
}

// Call asks one member, over a link that stands or over a new one.
func (n *Node) Call(ctx context.Context, to Incarnation, method string, params, result any) error {
	if to == n.Self().Incarnation {
		return n.callSelf(ctx, method, params, result)
	}
	l, err := n.reach(ctx, string(to))
	if err != nil {
		return err
	}
	return eris.Wrapf(l.call(ctx, method, params, result), "call %s", method)
}

func (n *Node) callSelf(ctx context.Context, method string, params, result any) error {
	encoded, err := json.Marshal(params)
	if err != nil {
		return eris.Wrap(err, "encode params")
	}
	answer, err := n.serveOthers(ctx, method, encoded)
	if err != nil {
		return err
	}
	data, err := json.Marshal(answer)
	if err != nil || result == nil {
		return eris.Wrap(err, "encode answer")
	}
	return eris.Wrap(json.Unmarshal(data, result), "decode answer")
}

// serve answers a call that came over a link.
func (n *Node) serve(ctx context.Context, l *link, method string, params json.RawMessage) (any, error) {
	switch method {
	case methodProbe:
		return n.serveProbe(ctx, params)
	case methodDigest:
		return n.serveDigest(params)
	case methodExchange:
		return n.serveExchange(l, params)
	default:
		n.touch(l)
		return n.serveOthers(ctx, method, params)
	}
}

func (n *Node) serveOthers(ctx context.Context, method string, params json.RawMessage) (any, error) {
	fn := n.handlers[method]
	if fn == nil {
		return nil, eris.Errorf("no method %q", method)
	}
	return fn(ctx, params)
}

// accept welcomes those who connect.
func (n *Node) accept() {
	for {
		conn, err := n.listener.Accept()
		if n.ctx.Err() != nil {
			return
		}
		if err != nil {
			n.log.Warn("Accepting failed.", zap.Error(err))
			n.pause(n.opts.Period)
			continue
		}
		select {
		case n.greeting <- struct{}{}:
			n.tasks.Go(func() {
				defer func() { <-n.greeting }()
				n.welcome(conn)
			})
		default:
			_ = conn.Close() // too many strangers at once; peers try again
		}
	}
}

func (n *Node) pause(d time.Duration) {
	select {
	case <-time.After(d):
	case <-n.ctx.Done():
	}
}

func (n *Node) welcome(conn net.Conn) {
	if n.opts.TLS != nil {
		conn = tls.Server(conn, n.opts.TLS)
	}
	own := n.credentials()
	agreed, err := within(conn, n.opts.handshakeTime(), func() (*session, error) { return welcome(conn, own.keys, own.self) })
	if err != nil {
		n.refused(conn, err)
		return
	}
	n.attach(conn, agreed, false, own.freezes)
}

func (n *Node) refused(conn net.Conn, err error) {
	_ = conn.Close() // the fault is logged below
	n.traffic.refused.Inc(1)
	if n.ctx.Err() == nil {
		n.log.Warn("Handshake failed.", zap.Stringer("address", conn.RemoteAddr()), zap.Error(err))
	}
}

// credentials is what a handshake starts with.
type credentials struct {
	keys    [][]byte
	self    member.Record
	freezes uint64 // of this process when the handshake started
}

func (n *Node) credentials() credentials {
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.closed {
		n.awake(time.Now()) // counts a freeze before the handshake that no beat has noticed
	}
	return credentials{n.keys, n.table.Self(), n.freezes}
}

// dial opens a link to an address. The link may turn out to be one that
// stands already. Callers that want the same address at once share the work:
// two connections that one side opens at once could each be dropped by the
// other side in favour of the other.
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
	agreed, err := within(conn, n.opts.handshakeTime(), func() (*session, error) { return greet(conn, own.keys, own.self) })
	if err != nil {
		_ = conn.Close() // the error of the handshake tells more
		return nil, eris.Wrapf(err, "greet %s", address)
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

// attach makes an authenticated connection a link, or drops it in favour of
// one that stands. It also drops one whose handshake started before a freeze,
// when freezes was the count of them: the other side may be long dead.
func (n *Node) attach(conn net.Conn, agreed *session, dialed bool, freezes uint64) (*link, error) {
	l := newLink(n, agreed, newStream(conn, agreed.secret, dialed, writePeriods*n.opts.Period, n.traffic), dialed, freezes)
	now := time.Now()
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closed || l.id == n.table.Self().ID {
		_ = conn.Close() // nothing was sent on it
		return nil, ErrClosed
	}
	if !n.hears(l, now) {
		_ = conn.Close() // nothing was sent on it
		return nil, errStale
	}
	standing := n.links[l.id]
	if standing != nil && !n.prefers(l, standing) {
		_ = conn.Close() // nothing was sent on it
		return standing, nil
	}
	n.links[l.id] = l
	l.start(n.ctx)
	n.tasks.Go(func() { l.write(n.ctx) })
	if standing != nil {
		n.tasks.Go(standing.close)
	}
	n.learn([]member.Record{agreed.other}, l, now)
	n.tellOfItself(l)
	return l, nil
}

// prefers tells whether a new link replaces the standing one. When two
// processes dial each other at once both must keep the same connection: the
// one that the lesser incarnation dialed. One that the same side dials again
// replaces its old one, which that side has given up.
func (n *Node) prefers(fresh, standing *link) bool {
	if fresh.dialed == standing.dialed || standing.bye {
		return true
	}
	return fresh.dialed == (n.table.Self().ID < fresh.id)
}

// tellOfItself lets a member know what is wrongly believed of it, so that it
// can contradict. The caller holds mu.
func (n *Node) tellOfItself(l *link) {
	if held, found := n.table.Get(l.id); found && held.State != member.Alive {
		l.tell([]member.Record{held})
	}
}

// detach forgets a link that ended.
func (n *Node) detach(l *link) {
	l.close()
	n.mu.Lock()
	current := n.links[l.id] == l
	if current {
		delete(n.links, l.id)
	}
	expected := n.closed || l.bye
	n.mu.Unlock()
	if current && !expected {
		// The end of a link is the first sign that its process has died:
		// ask at once rather than when its turn comes.
		n.spawn(func() { n.probe(l.id) })
	}
}

// spawn runs a task that Close waits for.
func (n *Node) spawn(task func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.closed {
		n.tasks.Go(task)
	}
}

// reach gives a link to a member, opening one if need be.
func (n *Node) reach(ctx context.Context, id string) (*link, error) {
	n.mu.Lock()
	l := n.links[id]
	if l != nil && l.bye {
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
	l, err := n.dial(ctx, held.PeerAddr)
	if err != nil {
		return nil, err
	}
	if l.id != id {
		return nil, ErrUnknownMember
	}
	return l, nil
}

func (n *Node) touch(l *link) {
	n.mu.Lock()
	defer n.mu.Unlock()
	l.used = time.Now()
}
