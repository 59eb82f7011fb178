// Package conns keeps connections to targets: dials them, gives out those that
// are unused, and drops those that can't be trusted any more.
package conns

import (
	"bufio"
	"context"
	"net"
	"sync"
	"time"

	"github.com/vanillagate/vanillagate/internal/socket"
)

const (
	// DefaultIdle is how long an unused connection is kept where the target
	// doesn't say. It stays below the idle timeouts that servers usually have.
	DefaultIdleTimeout = 4 * time.Second
	// maxIdle bounds the unused connections kept to one target.
	maxIdle = 64
	// dialTimeout bounds the time until a connection stands.
	dialTimeout = time.Second
	// bufferBytes is the size of each connection's read and write buffer: a
	// request's headers and an event of a stream fit.
	bufferBytes = 4096
)

// keepAlive finds a connection that went silent for good: the other side's VM
// lost power, or the path is cut. Without it a call on such a connection hangs
// until its own deadline. After 1 s of silence three probes 500 ms apart decide.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: 500 * time.Millisecond, Count: 3}

// silenceTimeout is how long what was sent may stay unacknowledged. Keep-alive probes
// are sent on a quiet connection only: a request that was written just after the other
// side went silent would else be sent again and again until its own deadline.
const silenceTimeout = 2500 * time.Millisecond

// Conn is one connection to a target, used for one call at a time.
type Conn struct {
	net.Conn
	R *bufio.Reader
	W *bufio.Writer
	// Idle is how long the connection may stay unused; 0 is DefaultIdle.
	IdleTimeout time.Duration
	// Most is how many unused connections to the same target are kept at most,
	// this one among them; 0 is maxIdle.
	MaxIdle int
	used    time.Time
}

func (c *Conn) most() int {
	if c.MaxIdle > 0 {
		return min(c.MaxIdle, maxIdle)
	}
	return maxIdle
}

func (c *Conn) expired(now time.Time) bool {
	idle := c.IdleTimeout
	if idle == 0 {
		idle = DefaultIdleTimeout
	}
	return now.Sub(c.used) >= idle
}

// Pool keeps unused connections by address. A connection goes back only after
// its answer was read to the end. Before it is used again it is peeked at: a
// closed one would make the outcome of the next call unknown, and one with
// unread bytes would give the next call another's answer. The mutex guards
// byAddress and is held for map operations only. The zero value is empty.
type Pool struct {
	mu        sync.Mutex
	byAddress map[string][]*Conn
}

// Take gives the connection that was used last, if one is sound and has been
// unused for less than maxAge; 0 is no bound. nil means that there is none.
func (p *Pool) Take(address string, now time.Time, maxAge time.Duration) *Conn {
	for {
		c := p.pop(address)
		if c == nil {
			return nil
		}
		young := maxAge == 0 || now.Sub(c.used) < maxAge
		if young && !c.expired(now) && c.R.Buffered() == 0 && socket.Peek(c.Conn) == socket.Quiet {
			return c
		}
		_ = c.Close() // unused: nothing is lost with it
	}
}

func (p *Pool) pop(address string) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.byAddress[address]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	list[len(list)-1] = nil
	p.byAddress[address] = list[:len(list)-1]
	return c
}

// Put takes back a connection whose last answer was read to its end.
func (p *Pool) Put(address string, c *Conn, now time.Time) {
	c.used = now
	_ = c.SetDeadline(time.Time{}) // fails on a closed one only, which Take notices
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.byAddress[address]) >= c.most() {
		_ = c.Close() // unused: nothing is lost with it
		return
	}
	if p.byAddress == nil {
		p.byAddress = map[string][]*Conn{}
	}
	p.byAddress[address] = append(p.byAddress[address], c)
}

// Drop closes the unused connections to an address: another target may get it.
func (p *Pool) CloseIdle(address string) {
	p.mu.Lock()
	list := p.byAddress[address]
	delete(p.byAddress, address)
	p.mu.Unlock()
	for _, c := range list {
		_ = c.Close() // unused: nothing is lost with it
	}
}

// Prune closes connections that stayed unused, so that targets which left
// keep nothing open.
func (p *Pool) Prune(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, list := range p.byAddress {
		kept := list[:0]
		for _, c := range list {
			if !c.expired(now) {
				kept = append(kept, c)
				continue
			}
			_ = c.Close() // unused: nothing is lost with it
		}
		if len(kept) == 0 {
			delete(p.byAddress, address)
			continue
		}
		p.byAddress[address] = kept
	}
}

// Dial opens a connection.
func Dial(ctx context.Context, address string) (*Conn, error) {
	d := net.Dialer{Timeout: dialTimeout, KeepAliveConfig: keepAlive, Control: socket.BoundSilence(silenceTimeout)}
	c, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return &Conn{Conn: c, R: bufio.NewReaderSize(c, bufferBytes), W: bufio.NewWriterSize(c, bufferBytes)}, nil
}
