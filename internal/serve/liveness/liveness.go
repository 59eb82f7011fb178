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
	// Address is its IP:port.
	Address string
}

// Question is how a process is asked for a sign of life.
type Question struct {
	Process
	// SentAt is when the request began to be written that the process has answered. The zero value means that it isn't
	// known.
	SentAt time.Time
	// Request is answered without running anything. Its address is that of the process. MatchesRequest
	// counts on connections that were used before.
	Request upstream.Request
	// ConnectOnly opens a connection and sends no request, for processes that take few requests or none. It
	// doesn't tell a process from its successor at the address.
	ConnectOnly bool
	// From reports whether an answer with this header is from the process.
	From func(*fasthttp.ResponseHeader) bool
}

// Checker checks processes. One check serves all that ask before its request is written. The zero value is
// ready to use.
type Checker struct {
	mu sync.Mutex // guards open; no other lock is taken while it is held
	// open are the checks whose request hasn't been written yet.
	open map[Process]*check
}

// check is a check in progress.
type check struct {
	done    chan struct{} // closed once verdict is set
	verdict Verdict
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
	if running := c.open[q.Process]; running != nil {
		return running
	}
	started := &check{done: make(chan struct{})}
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

// run asks on a new connection. A target that is overloaded or about to stop may refuse it and still
// answer on one that it has accepted before.
func (c *Checker) run(client *upstream.Client, q *Question, current *check) {
	onSend := func() { c.closeToOthers(q.Process, current) }
	if q.ConnectOnly {
		current.verdict = connect(client, q.Address, onSend)
		onSend()
		close(current.done)
		return
	}
	asked := []*exchange{{client: client, question: q, newConnection: true, onSend: onSend}}
	verdict := asked[0].ask()
	if verdict == Closed && client.HasIdle(q.Address, 0) {
		asked = append(asked, &exchange{client: client, question: q, onSend: onSend})
		verdict = asked[1].ask()
	}
	if verdict == Closed && asked[0].isConnected() {
		time.Sleep(settleTime)
		again := &exchange{client: client, question: q, newConnection: true, onSend: onSend}
		asked = append(asked, again)
		// A process at its connection limit accepts this connection, too; the port of one that has died refuses it.
		if verdict = again.ask(); verdict == Closed && again.isConnected() {
			verdict = Accepting
		}
	}
	onSend()
	current.verdict = verdict
	close(current.done)
	for _, e := range asked {
		e.finish()
	}
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
	client        *upstream.Client
	question      *Question
	newConnection bool
	// onSend is called right before the request is written.
	onSend func()

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
	request.Allowed = e.allow
	if e.newConnection {
		request.NewConnection, request.MatchesRequest = true, nil
	}
	answer, err := e.client.Send(ctx, &request)
	if err != nil {
		return e.failed(ctx)
	}
	e.answer = answer
	if !e.question.From(&answer.Header) {
		return Replaced
	}
	return Alive
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
	p := e.question.Process
	keepsConnection := e.client.HasIdleOf(p.ID, p.Address) || e.client.HasOpenFrom(p.Address, e.question.SentAt)
	if e.isConnected() && !e.awaitsAnswer && !keepsConnection {
		e.awaitsAnswer = true
		e.bound.Reset(answerBound - Bound)
		return
	}
	e.cancel(errBound)
}

// failed returns the verdict on a request without an answer. If much more time than its bound has passed,
// this process was suspended, and the connection may have been closed meanwhile.
func (e *exchange) failed(ctx context.Context) Verdict {
	switch {
	case ctx.Err() == nil:
		return Closed
	case e.isConnected() && e.awaitsAnswer:
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
