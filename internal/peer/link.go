package peer

import (
	"context"
	"encoding/json"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/jsonrpc2"

	"github.com/vanillagate/vanillagate/internal/member"
)

const (
	// maxCalls is the number of calls that are served concurrently per link.
	maxCalls = 64
	// maxOutbox is the number of items, or of announcements per topic, that may be queued
	// for a link. Excess ones are dropped: the comparison of views makes up for them.
	maxOutbox = 4096
	// eventsPerPeriod is how many times per period a link sends events when there are many.
	eventsPerPeriod = 4
)

// link is an authenticated connection to one incarnation.
type link struct {
	node   *Node
	id     string
	peer   member.Record // as received in the handshake
	dialed bool          // opened by this process
	key    string        // the shared key it was authenticated with
	conn   *jsonrpc2.Conn
	stream *stream
	calls  chan struct{}
	nextID atomic.Uint64

	// opened is when the link was authenticated. lastReceived is the time of the last message
	// from the other side, in nanoseconds since opened.
	opened       time.Time
	lastReceived atomic.Int64
	// checking is set while checkLink pings over this link, and replacing while replaceLink
	// dials.
	checking  atomic.Bool
	replacing atomic.Bool

	// freezes is the node's count of freezes when the handshake started. If it has grown
	// since, whatever arrives over this link may be outdated.
	freezes uint64
	// used is when this link was last needed for more than maintenance. It is guarded by
	// node.mu, as are the next three fields.
	used time.Time
	// lazy means that items are announced over this link rather than pushed.
	lazy bool
	// closing means that either side is about to close the link.
	closing bool
	// duplicates counts the duplicate items received over this link since the last new
	// one.
	duplicates int

	// wake has room for one signal that the outbox isn't empty.
	wake chan struct{}
	// mu guards the fields below. It is acquired after node.mu.
	mu  sync.Mutex
	out message
	// events are the queued membership changes, kept apart from out and keyed by
	// incarnation: a later record replaces a queued one, so that many changes of
	// few members don't pile up.
	events  map[string]member.Record
	flushed time.Time // when events were last taken
	pings   map[uint64]chan struct{}
}

func newLink(node *Node, agreed *session, s *stream, dialed bool, freezes uint64) *link {
	now := time.Now()
	return &link{
		node:    node,
		id:      agreed.other.ID,
		peer:    agreed.other,
		dialed:  dialed,
		key:     string(agreed.key),
		freezes: freezes,
		stream:  s,
		calls:   make(chan struct{}, maxCalls),
		opened:  now,
		used:    now,
		wake:    make(chan struct{}, 1),
		pings:   map[uint64]chan struct{}{},
		events:  map[string]member.Record{},
	}
}

// start starts the JSON-RPC connection. The caller holds node.mu.
func (l *link) start(ctx context.Context) {
	l.conn = jsonrpc2.NewConn(ctx, l.stream, l,
		jsonrpc2.OnSend(l.onSend), jsonrpc2.OnRecv(l.onReceive), jsonrpc2.SetLogger(discardLogger{}))
}

// discardLogger drops the log output of jsonrpc2 about ended links; the node logs
// these itself.
type discardLogger struct{}

func (discardLogger) Printf(string, ...any) {}

func (l *link) onSend(request *jsonrpc2.Request, answer *jsonrpc2.Response) {
	if request != nil {
		l.stream.sending = messageKind(request.Method)
		return
	}
	l.stream.sending = answerKind(answer.ID.Str)
}

// silentFor returns the time since the other side last sent anything.
func (l *link) silentFor() time.Duration {
	return time.Since(l.opened) - time.Duration(l.lastReceived.Load())
}

// silentSince reports whether the other side has sent nothing since the given time.
func (l *link) silentSince(t time.Time) bool { return l.silentFor() > time.Since(t) }

func (l *link) onReceive(request *jsonrpc2.Request, answer *jsonrpc2.Response) {
	l.lastReceived.Store(int64(time.Since(l.opened)))
	if answer != nil {
		l.node.traffic.received(answerKind(answer.ID.Str), l.stream.read)
		return
	}
	l.node.traffic.received(messageKind(request.Method), l.stream.read)
}

// Handle implements jsonrpc2.Handler.
func (l *link) Handle(ctx context.Context, conn *jsonrpc2.Conn, request *jsonrpc2.Request) {
	if request.Notif {
		l.handleNotification(request)
		return
	}
	select {
	case l.calls <- struct{}{}:
		go func() {
			defer func() { <-l.calls }()
			l.serveCall(ctx, conn, request)
		}()
	default:
		busy := &jsonrpc2.Error{Code: jsonrpc2.CodeInternalError, Message: "too many calls at once"}
		_ = conn.ReplyWithError(ctx, request.ID, busy) // a lost answer ends in the caller's timeout
	}
}

func (l *link) handleNotification(request *jsonrpc2.Request) {
	var m message
	if request.Params == nil || json.Unmarshal(*request.Params, &m) != nil {
		l.node.log.Warn("Message can't be decoded.", memberField(l.peer))
		return
	}
	l.node.receive(l, m)
}

func (l *link) serveCall(ctx context.Context, conn *jsonrpc2.Conn, request *jsonrpc2.Request) {
	var params json.RawMessage
	if request.Params != nil {
		params = *request.Params
	}
	result, err := l.node.serve(ctx, l, request.Method, params)
	if err != nil {
		failure := &jsonrpc2.Error{Code: jsonrpc2.CodeInternalError, Message: err.Error()}
		_ = conn.ReplyWithError(ctx, request.ID, failure) // if the link is lost, the call fails at the caller
		return
	}
	_ = conn.Reply(ctx, request.ID, result) // as above
}

// call sends a request to the other side and waits for its result.
func (l *link) call(ctx context.Context, method string, params, result any) error {
	id := jsonrpc2.ID{Str: callID(method, l.nextID.Add(1)), IsString: true}
	return l.conn.Call(ctx, method, params, result, jsonrpc2.PickID(id))
}

// ping reports whether the other side answers before the context ends. Events are sent
// along with the ping.
func (l *link) ping(ctx context.Context, events []member.Record) bool {
	number := l.nextID.Add(1)
	answered := make(chan struct{})
	l.mu.Lock()
	l.pings[number] = answered
	l.out.Pings = append(l.out.Pings, number)
	l.queueEvents(events)
	l.mu.Unlock()
	l.signal()
	defer func() {
		l.mu.Lock()
		delete(l.pings, number)
		l.mu.Unlock()
	}()
	select {
	case <-answered:
		return true
	case <-ctx.Done():
		return false
	case <-l.conn.DisconnectNotify():
		return false
	}
}

func (l *link) acked(number uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if answered := l.pings[number]; answered != nil {
		close(answered)
		delete(l.pings, number)
	}
}

// post changes the outbox and triggers sending.
func (l *link) post(change func(out *message)) {
	l.mu.Lock()
	change(&l.out)
	l.mu.Unlock()
	l.signal()
}

// postLater changes the outbox without triggering sending: the change goes out with the
// next message, after havePeriods at the latest.
func (l *link) postLater(change func(out *message)) {
	l.mu.Lock()
	change(&l.out)
	l.mu.Unlock()
}

func (l *link) signal() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// write sends the contents of the outbox until the link ends.
func (l *link) write(ctx context.Context) {
	defer l.node.detach(l)
	for {
		select {
		case <-l.wake:
		case <-l.conn.DisconnectNotify():
			return
		}
		for m := l.nextMessage(); !m.empty(); m = l.nextMessage() {
			if l.conn.Notify(ctx, m.method(), m) != nil {
				l.close()
				return
			}
			if m.Closing {
				l.close()
				return
			}
		}
	}
}

// nextMessage removes one message of bounded size from the outbox.
func (l *link) nextMessage() message {
	l.mu.Lock()
	defer l.mu.Unlock()
	m := message{Pings: l.out.Pings, Acks: l.out.Acks, Prune: l.out.Prune, Closing: l.out.Closing}
	l.out.Pings, l.out.Acks, l.out.Prune, l.out.Closing = nil, nil, false, false
	m.Events = l.takeEvents()
	m.Items, l.out.Items = splitItems(l.out.Items)
	m.Have, l.out.Have = splitStamps(l.out.Have)
	m.Want, l.out.Want = splitStamps(l.out.Want)
	return m
}

// takeEvents removes a bounded number of events. The caller holds mu.
func (l *link) takeEvents() []member.Record {
	if len(l.events) == 0 {
		return nil
	}
	l.flushed = time.Now()
	taken := make([]member.Record, 0, min(len(l.events), maxEvents))
	for id, r := range l.events {
		if len(taken) == maxEvents {
			break
		}
		taken = append(taken, r)
		delete(l.events, id)
	}
	return taken
}

// queueEvents queues events for the next message. The caller holds mu.
func (l *link) queueEvents(events []member.Record) {
	for _, r := range events {
		l.events[r.ID] = r
	}
}

// dropKnownEvents removes queued events that the other side has just sent itself.
func (l *link) dropKnownEvents(events []member.Record) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, r := range events {
		if waiting, found := l.events[r.ID]; found && waiting.Seq == r.Seq && waiting.State == r.State {
			delete(l.events, r.ID)
		}
	}
}

// sendEvents sends events at once, unless this link sent some a moment ago: then they
// wait for the next message, at the latest until the next tick. A single change thus
// spreads without delay, while a burst of changes (a zone is lost, a region
// returns) costs each link a few messages per period rather than one per change.
func (l *link) sendEvents(events []member.Record) {
	l.mu.Lock()
	l.queueEvents(events)
	sendNow := time.Since(l.flushed) > l.node.opts.Period/eventsPerPeriod
	l.mu.Unlock()
	if sendNow {
		l.signal()
	}
}

// hasUrgent reports whether the outbox holds more than item announcements. Those only
// repair what a broken tree lost and aren't worth a message of their own.
func (l *link) hasUrgent() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	rest := l.out
	rest.Have = nil
	return !rest.empty() || len(l.events) > 0
}

func (l *link) close() { _ = l.conn.Close() } // it may already be closed

func split[T any](queue []T, limit int) (now, later []T) {
	if len(queue) <= limit {
		return queue, nil
	}
	return queue[:limit:limit], queue[limit:]
}

func splitItems(queue []wireItem) (now, later []wireItem) {
	size := 0
	for i, item := range queue {
		size += item.size()
		if size > maxItemBytes && i > 0 {
			return queue[:i:i], queue[i:]
		}
	}
	return queue, nil
}

func splitStamps(queue map[Topic][]stamp) (now, later map[Topic][]stamp) {
	room := maxStamps
	for topic, stamps := range queue {
		taken, rest := split(stamps, room)
		room -= len(taken)
		now = withStamps(now, topic, taken)
		later = withStamps(later, topic, rest)
	}
	return now, later
}

func withStamps(queue map[Topic][]stamp, topic Topic, stamps []stamp) map[Topic][]stamp {
	if len(stamps) == 0 {
		return queue
	}
	if queue == nil {
		queue = map[Topic][]stamp{}
	}
	queue[topic] = append(queue[topic], stamps...)
	return queue
}

func formatUint(n uint64) string { return strconv.FormatUint(n, 10) }
