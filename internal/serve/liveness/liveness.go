// Package liveness checks whether the process that has sent an answer still runs. An answer that only
// its connection ends looks complete if the process has died, since the system then closes its
// connections in order.
package liveness

import (
	"context"
	"errors"
	"io"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/vanillagate/vanillagate/internal/framing"
	"github.com/vanillagate/vanillagate/internal/serve/upstream"
	"github.com/vanillagate/vanillagate/internal/socket"
)

// Verdict is what a check has found out.
type Verdict string

// The verdicts.
const (
	// Alive means that the process has answered.
	Alive Verdict = "alive"
	// Connected means that the process hasn't answered in time, and keeps a connection open that it accepted before
	// its answer. The death of a process closes its connections.
	Connected Verdict = "connected"
	// Silent means that nobody has answered in time on a connection that is open. Its successor at the address may
	// have accepted it.
	Silent Verdict = "silent"
	// Accepting means that the process has accepted a connection and keeps it open. It wasn't asked anything.
	Accepting Verdict = "accepting"
	// Replaced means that another process has answered at the address.
	Replaced Verdict = "replaced"
	// Unidentified means that the target at the address may be a later start under the same ID.
	Unidentified Verdict = "unidentified"
	// Closed means that the connection was refused, or closed without an answer.
	Closed Verdict = "closed"
	// Unreachable means that no connection was established in time.
	Unreachable Verdict = "unreachable"
	// Unchecked means that the context of the request has ended before the check.
	Unchecked Verdict = "unchecked"
)

// Runs reports whether the process is known to have run after the end of the answer.
func (v Verdict) Runs() bool { return v == Alive || v == Connected || v == Accepting }

const (
	// Bound limits the time to connect, and the time until the answer begins if the process keeps another
	// connection open.
	Bound = 300 * time.Millisecond
	// answerBound limits the time until the answer begins if only the answer can show that the process runs. Health
	// checks wait for a slot.
	answerBound = 2 * time.Second
	// settleTime is how long a connection on which nothing is asked has to stay open. The port of a process
	// that has died closes a few milliseconds later at most.
	settleTime = 50 * time.Millisecond
	// maxBodyBytes limits how much of an answer is read to keep its connection.
	maxBodyBytes = 64 << 10
)

// errBound is the cause with which a check ends that has taken too long.
var errBound = errors.New("liveness: check has taken too long")

// Process is one start of a target.
type Process struct {
	ID string
	// Born is when it started, in Unix milliseconds; 0 if each start of the target has an ID of its own.
	Born int64
	// Address is its IP:port.
	Address string
}

// Question is how a process is asked for a sign of life.
type Question struct {
	Process
	// SentAt is when the request began to be written that the process has answered, KnownUntil until when the process is
	// known to have run since then. The zero value means that they aren't known.
	SentAt     time.Time
	KnownUntil time.Time
	// Request is answered without running anything. Its address is that of the process. MatchesRequest
	// counts on connections that were used before.
	Request upstream.Request
	// ConnectOnly opens a connection and sends no request, for processes that take few requests or none. It
	// doesn't tell a process from its successor at the address.
	ConnectOnly bool
	// From reports whether an answer with this header is from a start of the target.
	From func(*fasthttp.ResponseHeader) bool
	// Born returns when the process started that has sent the body of an answer, as in Process; 0 if it doesn't say. It
	// doesn't need the whole body. nil if no answer says it.
	Born func(body io.Reader) int64
}

// acceptedBy is the time before which connections to the address were accepted by the process: it was known to run, and
// the next one can't have started yet. Of a connection that was opened so late the process has to answer a request, since
// the system may accept connections for a process that ends.
func (q *Question) acceptedBy() time.Time {
	if q.KnownUntil.IsZero() {
		return time.Time{}
	}
	return q.KnownUntil.Add(upstream.RestartTime)
}

// afterPause reports whether the process may have ended, and another one started, since it was last known to run.
func (q *Question) afterPause(now time.Time) bool { return !now.Before(q.acceptedBy()) }

// answeredBy is the time before which a connection has to be opened on which a target with the process's ID has answered,
// so that its being open shows that the process runs; zero if all are.
func (q *Question) answeredBy() time.Time {
	if q.Process.Born == 0 {
		return time.Time{}
	}
	return q.KnownUntil
}

// Checker checks processes. One check serves all that ask before its request is written. The zero value is
// ready to use.
type Checker struct {
	mu sync.Mutex // guards the fields below; no other lock is taken while it is held
	// open are the checks whose request hasn't been written yet.
	open map[Process]*check
	// met holds the processes that have said when they started, and from when on each has run at least.
	met map[Process]time.Time
}

// maxMet limits Checker.met.
const maxMet = 4096

// check is a check in progress.
type check struct {
	question   *Question
	afterPause bool
	done       chan struct{} // closed once verdict is set
	verdict    Verdict
}

// answers reports whether the verdict of the check holds for another question about the same process.
func (c *check) answers(q *Question, afterPause bool) bool {
	if c.afterPause != afterPause {
		return false
	}
	later := q.KnownUntil.Sub(c.question.KnownUntil)
	return !afterPause || later >= 0 && later <= upstream.RestartTime
}

// meet records that a process has run since a time, and returns the earliest such time.
func (c *Checker) meet(p Process, since time.Time) time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	if earlier, found := c.met[p]; found && earlier.Before(since) {
		return earlier
	}
	if c.met == nil || len(c.met) >= maxMet {
		c.met = map[Process]time.Time{}
	}
	c.met[p] = since
	return since
}

// Check asks a process for a sign of life, and returns when there is a verdict or ctx has ended. The
// connection that it opens is kept for later requests.
func (c *Checker) Check(ctx context.Context, client *upstream.Client, q *Question) Verdict {
	if ctx.Err() != nil {
		return Unchecked
	}
	joined := c.join(client, q)
	select {
	case <-joined.done:
		return joined.verdict
	case <-ctx.Done():
		return Unchecked
	}
}

// join returns a check of the process whose request hasn't been written yet.
func (c *Checker) join(client *upstream.Client, q *Question) *check {
	c.mu.Lock()
	defer c.mu.Unlock()
	afterPause := q.afterPause(time.Now())
	if running := c.open[q.Process]; running != nil && running.answers(q, afterPause) {
		return running
	}
	started := &check{question: q, afterPause: afterPause, done: make(chan struct{})}
	if c.open == nil {
		c.open = map[Process]*check{}
	}
	c.open[q.Process] = started
	go c.run(client, q, started)
	return started
}

// closeToOthers has later questions start a check of their own.
func (c *Checker) closeToOthers(p Process, current *check) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.open[p] == current {
		delete(c.open, p)
	}
}

// run does a check. Its exchanges are finished after the verdict is known.
func (c *Checker) run(client *upstream.Client, q *Question, current *check) {
	s := &series{
		client: client, question: q, afterPause: current.afterPause, meet: c.meet,
		onSend: func() { c.closeToOthers(q.Process, current) },
	}
	current.verdict = s.run()
	s.onSend()
	close(current.done)
	for _, e := range s.asked {
		e.finish()
	}
}

// series is one check and its exchanges.
type series struct {
	client     *upstream.Client
	question   *Question
	afterPause bool
	// meet is Checker.meet, onSend is called right before a request is written.
	meet   func(Process, time.Time) time.Time
	onSend func()
	asked  []*exchange
}

// run returns the verdict. After a pause, only a process that says when it started is known on a new connection, so a
// kept one is tried first.
func (s *series) run() Verdict {
	began := time.Now()
	if s.afterPause {
		if verdict := s.askOnKept(); verdict.Runs() || verdict == Replaced {
			return verdict
		}
	}
	verdict := s.askOrConnect()
	if verdict == Accepting && s.afterPause {
		verdict = acceptedAfterPause(s.client, s.question)
	}
	if verdict == Unidentified {
		time.Sleep(settleTime) // another check may use the only connection that is old enough
		if s.client.HasHeard(s.question.Address, s.question.acceptedBy(), began) {
			return Alive
		}
		if again := s.askOnKept(); again.Runs() || again == Replaced {
			return again
		}
	}
	return verdict
}

// askOnKept asks on a connection that the process has accepted; Closed if there is none.
func (s *series) askOnKept() Verdict {
	q := s.question
	if q.ConnectOnly || q.acceptedBy().IsZero() {
		return Closed
	}
	return s.try(&exchange{openedBefore: q.acceptedBy()})
}

// try makes one exchange.
func (s *series) try(e *exchange) Verdict {
	e.series = s
	s.asked = append(s.asked, e)
	return e.ask()
}

// askOrConnect asks on a new connection. A target that is overloaded or about to stop may refuse it and still
// answer on one that it has accepted before.
func (s *series) askOrConnect() Verdict {
	q := s.question
	if q.ConnectOnly {
		return connect(s.client, q.Address, s.onSend)
	}
	first := &exchange{newConnection: true}
	verdict := s.try(first)
	if verdict == Closed && s.client.HasIdle(q.Address, 0) {
		verdict = s.try(&exchange{})
	}
	if verdict == Closed && first.isConnected() {
		time.Sleep(settleTime)
		again := &exchange{newConnection: true}
		// A process at its connection limit accepts this connection, too; the port of one that has died refuses it.
		if verdict = s.try(again); verdict == Closed && again.isConnected() {
			verdict = Accepting
		}
	}
	return verdict
}

// acceptedAfterPause returns the verdict on a process after a pause, at whose address connections are accepted and closed
// again or not used. A later process accepts them, too.
func acceptedAfterPause(client *upstream.Client, q *Question) Verdict {
	if keepsConnection(client, q) {
		return Connected
	}
	return Unidentified
}

// keepsConnection reports whether a connection is open that the process has accepted.
func keepsConnection(client *upstream.Client, q *Question) bool {
	return client.HasIdleOf(q.ID, q.Address, q.answeredBy()) || client.HasOpenFrom(q.Address, q.KnownUntil, time.Time{})
}

// connect opens a connection and calls beforeCheck before it checks whether it is still open.
func connect(client *upstream.Client, address string, beforeCheck func()) Verdict {
	ctx, cancel := context.WithTimeout(context.Background(), Bound)
	defer cancel()
	conn, err := client.Connect(ctx, address)
	switch {
	case err != nil && ctx.Err() != nil:
		return Unreachable
	case err != nil:
		return Closed
	}
	defer func() { _ = conn.Close() }() // nothing was sent
	time.Sleep(settleTime)
	beforeCheck()
	if socket.Peek(conn.Conn) == socket.Closed {
		return reconnect(client, address)
	}
	return Accepting
}

// reconnect returns the verdict on a process that has closed a new connection: one at its connection limit accepts
// the next one, too.
func reconnect(client *upstream.Client, address string) Verdict {
	time.Sleep(settleTime)
	ctx, cancel := context.WithTimeout(context.Background(), Bound)
	defer cancel()
	conn, err := client.Connect(ctx, address)
	switch {
	case err != nil && ctx.Err() != nil:
		return Unreachable
	case err != nil:
		return Closed
	}
	_ = conn.Close() // nothing was sent
	return Accepting
}

// exchange is one request for a sign of life.
type exchange struct {
	*series
	// newConnection has the request sent on a new connection, openedBefore, if it isn't zero, on one that was opened before.
	newConnection bool
	openedBefore  time.Time

	cancel context.CancelCauseFunc
	bound  *time.Timer
	// connected is when there was a connection; zero before.
	connected time.Time
	// awaitsAnswer means that Bound has passed and the process keeps no other connection open.
	awaitsAnswer bool
	answer       *upstream.Answer // nil if there is none
}

// ask sends the request and reads the header of the answer.
func (e *exchange) ask() Verdict {
	ctx, cancel := context.WithCancelCause(context.Background())
	e.cancel = cancel
	e.bound = time.AfterFunc(Bound, e.reachBound)
	request := e.question.Request
	request.Allowed, request.OpenedBefore = e.allow, e.openedBefore
	if e.newConnection {
		request.NewConnection, request.MatchesRequest = true, nil
	}
	answer, err := e.client.Send(ctx, &request)
	if err != nil {
		return e.failed(ctx)
	}
	e.answer = answer
	return e.judge()
}

// judge returns the verdict on the sender of the answer.
func (e *exchange) judge() Verdict {
	q := e.question
	if !q.From(&e.answer.Header) {
		return Replaced
	}
	opened := e.answer.ConnOpened()
	born := e.bornOfSender()
	switch {
	case q.Process.Born == 0:
		return Alive
	case born == 0 && opened.Before(q.acceptedBy()):
		return Alive
	case born == 0:
		return Unidentified
	}
	sender := Process{ID: q.ID, Born: born, Address: q.Address}
	since := e.meet(sender, opened)
	// The list may name an earlier start than the one that has got the request.
	if sender == q.Process || since.Before(q.SentAt) {
		return Alive
	}
	return Replaced
}

// bornOfSender returns when the sender of the answer started; 0 if it doesn't say.
func (e *exchange) bornOfSender() int64 {
	if e.question.Born == nil || e.question.Process.Born == 0 {
		return 0
	}
	return e.question.Born(io.LimitReader(e.answer, maxBodyBytes))
}

// isConnected reports whether there was a connection.
func (e *exchange) isConnected() bool { return !e.connected.IsZero() }

// allow begins the time for the answer.
func (e *exchange) allow() bool {
	if !e.bound.Stop() {
		return false
	}
	e.connected = time.Now()
	e.bound.Reset(Bound)
	e.onSend()
	return true
}

// reachBound ends the check, or gives the answer more time if nothing else shows that the process runs.
func (e *exchange) reachBound() {
	if e.isConnected() && !e.awaitsAnswer && !e.processKeepsConnection() {
		e.awaitsAnswer = true
		e.bound.Reset(answerBound - Bound)
		return
	}
	e.cancel(errBound)
}

// processKeepsConnection reports whether a connection is open that the process has accepted. After a pause data have to
// arrive on it: the path may have been interrupted, and the ends of connections arrive at different times then.
func (e *exchange) processKeepsConnection() bool {
	q := e.question
	if e.afterPause {
		return e.client.HasOpenFrom(q.Address, q.KnownUntil, e.connected)
	}
	return keepsConnection(e.client, q)
}

// failed returns the verdict on a request without an answer. If much more time than its bound has passed,
// this process was suspended, and the connection may have been closed meanwhile.
func (e *exchange) failed(ctx context.Context) Verdict {
	switch {
	case ctx.Err() == nil:
		return Closed
	case e.isConnected() && e.awaitsAnswer:
		if !e.openedBefore.IsZero() || e.afterPause && acceptedAfterPause(e.client, e.question) == Connected {
			return Connected
		}
		return Silent
	case !e.isConnected() || time.Since(e.connected) > 2*Bound:
		return Unreachable
	default:
		return Connected
	}
}

// finish reads the rest of the answer, so that its connection can be used again.
func (e *exchange) finish() {
	defer e.cancel(nil)
	defer e.bound.Stop()
	if e.answer == nil {
		return
	}
	if e.answer.Kind != framing.Connection {
		_, _ = io.Copy(io.Discard, io.LimitReader(e.answer, maxBodyBytes)) // without its end, the connection is closed
	}
	e.answer.Close()
}
