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
	// maxCalls is how many calls of one link are served at once.
	maxCalls = 64
	// maxOutbox is how many events, items or announcements wait for a link.
	// More are dropped: the comparison of views makes up for them.
	maxOutbox = 4096
	// eventsPerPeriod is how often a link carries events in a storm of them.
	eventsPerPeriod = 4
)

// link is an authenticated connection to one incarnation.
type link struct {
	node   *Node
	id     string
	peer   member.Record // as of the handshake
	dialed bool          // by this process
	key    string        // the shared key that it was opened with
	conn   *jsonrpc2.Conn
	stream *stream
	calls  chan struct{}
	nextID atomic.Uint64

	// freezes is how often this process had stood still when the handshake
	// started. If it has since, what still waits in the link was said long ago.
	freezes uint64
	// used is when something other than upkeep needed this link, guarded by
	// node.mu as are the three after it.
	used time.Time
	// lazy means that items are announced here rather than pushed.
	lazy bool
	// bye means that either side has said that it closes the link.
	bye bool
	// duplicates counts the items that came over this link as duplicates since the
	// last one that was news.
	duplicates int

	// wake has a place for one signal that the outbox isn't empty.
	wake chan struct{}
	// mu guards the outbox and the pings. It is taken after node.mu.
	mu  sync.Mutex
	out message
	// events wait apart from out, by incarnation: a claim that waits is
	// replaced by a later one, so that many changes of few members don't
	// add up.
	events  map[string]member.Record
	flushed time.Time // when events were taken last
	pings   map[uint64]chan struct{}
}

func newLink(node *Node, agreed *session, s *stream, dialed bool, freezes uint64) *link {
	return &link{
		node:    node,
		id:      agreed.other.ID,
		peer:    agreed.other,
		dialed:  dialed,
		key:     string(agreed.key),
		freezes: freezes,
		stream:  s,
		calls:   make(chan struct{}, maxCalls),
		used:    time.Now(),
		wake:    make(chan struct{}, 1),
		pings:   map[uint64]chan struct{}{},
		events:  map[string]member.Record{},
	}
}

// start lets messages flow. The caller holds node.mu.
func (l *link) start(ctx context.Context) {
	l.conn = jsonrpc2.NewConn(ctx, l.stream, l,
		jsonrpc2.OnSend(l.onSend), jsonrpc2.OnRecv(l.onReceive), jsonrpc2.SetLogger(quiet{}))
}

// quiet drops what jsonrpc2 says of links that end; the node logs that.
type quiet struct{}

func (quiet) Printf(string, ...any) {}

func (l *link) onSend(request *jsonrpc2.Request, answer *jsonrpc2.Response) {
	if request != nil {
		l.stream.sending = kind(request.Method)
		return
	}
	l.stream.sending = answerKind(answer.ID.Str)
}

func (l *link) onReceive(request *jsonrpc2.Request, answer *jsonrpc2.Response) {
	if answer != nil {
		l.node.traffic.received(answerKind(answer.ID.Str), l.stream.read)
		return
	}
	l.node.traffic.received(kind(request.Method), l.stream.read)
}

// Handle takes in a call or notification.
func (l *link) Handle(ctx context.Context, conn *jsonrpc2.Conn, request *jsonrpc2.Request) {
	if request.Notif {
		l.notified(request)
		return
	}
	select {
	case l.calls <- struct{}{}:
		go func() {
			defer func() { <-l.calls }()
			l.answer(ctx, conn, request)
		}()
	default:
		busy := &jsonrpc2.Error{Code: jsonrpc2.CodeInternalError, Message: "too many calls at once"}
		_ = conn.ReplyWithError(ctx, request.ID, busy) // the caller's time limit covers a lost answer
	}
}

func (l *link) notified(request *jsonrpc2.Request) {
	var m message
	if request.Params == nil || json.Unmarshal(*request.Params, &m) != nil {
		l.node.log.Warn("Message can't be read.", memberField(l.peer))
		return
	}
	l.node.receive(l, m)
}

func (l *link) answer(ctx context.Context, conn *jsonrpc2.Conn, request *jsonrpc2.Request) {
	var params json.RawMessage
	if request.Params != nil {
		params = *request.Params
	}
	result, err := l.node.serve(ctx, l, request.Method, params)
	if err != nil {
		failure := &jsonrpc2.Error{Code: jsonrpc2.CodeInternalError, Message: err.Error()}
		_ = conn.ReplyWithError(ctx, request.ID, failure) // a lost link ends the call at the caller
		return
	}
	_ = conn.Reply(ctx, request.ID, result) // as above
}

// call asks the other side.
func (l *link) call(ctx context.Context, method string, params, result any) error {
	id := jsonrpc2.ID{Str: callID(method, l.nextID.Add(1)), IsString: true}
	return l.conn.Call(ctx, method, params, result, jsonrpc2.PickID(id))
}

// ping waits until the other side answers or the context ends.
func (l *link) ping(ctx context.Context, events []member.Record) bool {
	number := l.nextID.Add(1)
	answered := make(chan struct{})
	l.mu.Lock()
	l.pings[number] = answered
	l.out.Pings = append(l.out.Pings, number)
	l.noteEvents(events)
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

// post changes the outbox and has it sent.
func (l *link) post(change func(out *message)) {
	l.mu.Lock()
	change(&l.out)
	l.mu.Unlock()
	l.signal()
}

// note changes the outbox without hurry: it goes with the next message, at
// the latest after havePeriods.
func (l *link) note(change func(out *message)) {
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

// write sends what waits in the outbox until the link ends.
func (l *link) write(ctx context.Context) {
	defer l.node.detach(l)
	for {
		select {
		case <-l.wake:
		case <-l.conn.DisconnectNotify():
			return
		}
		for m := l.take(); !m.empty(); m = l.take() {
			if l.conn.Notify(ctx, m.method(), m) != nil {
				l.close()
				return
			}
			if m.Bye {
				l.close()
				return
			}
		}
	}
}

// take removes one bounded message from the outbox.
func (l *link) take() message {
	l.mu.Lock()
	defer l.mu.Unlock()
	m := message{Pings: l.out.Pings, Acks: l.out.Acks, Prune: l.out.Prune, Bye: l.out.Bye}
	l.out.Pings, l.out.Acks, l.out.Prune, l.out.Bye = nil, nil, false, false
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

// noteEvents has events go with the next message. The caller holds mu.
func (l *link) noteEvents(events []member.Record) {
	for _, r := range events {
		l.events[r.ID] = r
	}
}

// heard drops the events that wait for the other side and that it has just
// told itself.
func (l *link) heard(events []member.Record) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, r := range events {
		if waiting, found := l.events[r.ID]; found && waiting.Seq == r.Seq && waiting.State == r.State {
			delete(l.events, r.ID)
		}
	}
}

// tell sends events at once, unless some were sent a moment ago: then they
// wait for the next message, at the latest the next beat. A single change
// thus spreads without delay, while a storm of them (a zone is lost, a region
// returns) costs each link a few messages a period and not one for each.
func (l *link) tell(events []member.Record) {
	l.mu.Lock()
	l.noteEvents(events)
	calm := time.Since(l.flushed) > l.node.opts.Period/eventsPerPeriod
	l.mu.Unlock()
	if calm {
		l.signal()
	}
}

// hurried tells whether more waits than announcements of items: those only
// mend what a broken tree lost, and each message costs more than it carries.
func (l *link) hurried() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	rest := l.out
	rest.Have = nil
	return !rest.empty() || len(l.events) > 0
}

func (l *link) close() { _ = l.conn.Close() } // closing twice is no fault

func split[T any](queue []T, most int) (now, later []T) {
	if len(queue) <= most {
		return queue, nil
	}
	return queue[:most:most], queue[most:]
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
