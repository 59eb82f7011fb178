// Package conns keeps connections to targets: it dials them, hands out unused
// ones and closes those that may no longer be usable.
package conns

import (
	"bufio"
	"context"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/vanillagate/vanillagate/internal/socket"
)

const (
	// DefaultIdleTimeout is how long an unused connection is kept if the target
	// doesn't specify a time. It is below the usual idle timeouts of servers.
	DefaultIdleTimeout = 4 * time.Second
	// maxIdleConns bounds the unused connections to one target.
	maxIdleConns = 64
	// dialTimeout bounds the time to establish a connection.
	dialTimeout = time.Second
	// bufferBytes is the size of each connection's read and write buffer. It
	// holds the headers of a request or one event of a stream.
	bufferBytes = 4096
	// spareIdleTimeout is how long a spare connection is kept unused. A call on one that its target has closed may fail.
	spareIdleTimeout = 30 * time.Second
)

// keepAlive detects a connection whose other side is gone without closing it:
// its VM lost power, or the network path is cut. Without it a call on such a
// connection hangs until its own deadline. After 1 s of silence two probes are
// sent, a second apart, the shortest interval that there is; the connection
// fails a second after the last one. A target may fall silent for a second and
// go on.
//
// On Linux unackedTimeout decides for the probes, too, whatever their count: the
// connection fails at the first one that is due after it.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 2}

// unackedTimeout is how long sent data may stay unacknowledged. Keep-alive
// probes are sent on an idle connection only: without this limit, a request
// written just after the other side went silent would be retransmitted until
// its own deadline.
const unackedTimeout = 2500 * time.Millisecond

// Conn is one connection to a target, used for one call at a time.
type Conn struct {
	net.Conn
	R *bufio.Reader
	W *bufio.Writer
	// IdleTimeout is how long the connection may stay unused; 0 means
	// DefaultIdleTimeout.
	IdleTimeout time.Duration
	// MaxIdleConns is the maximum number of unused connections to the same target,
	// this one included; 0 means maxIdleConns.
	MaxIdleConns int
	// Process is the ID of the process that has answered on the connection; empty if it isn't known.
	Process string
	// Opened is when the connection was opened.
	Opened   time.Time
	lastUsed time.Time
	hadCall  bool
	// spare connections are handed out by TakeOpenedBefore only.
	spare bool
}

// Reused reports whether the connection had another call before the current one.
func (c *Conn) Reused() bool { return c.hadCall }

// ReceivedSince reports whether data was received after a time.
func (c *Conn) ReceivedSince(at time.Time) bool {
	r, ok := c.Conn.(*resetConn)
	if !ok {
		return false
	}
	after := time.Duration(r.receivedAfter.Load())
	return after > 0 && r.opened.Add(after).After(at)
}

func (c *Conn) maxUnused() int {
	if c.MaxIdleConns > 0 {
		return min(c.MaxIdleConns, maxIdleConns)
	}
	return maxIdleConns
}

func (c *Conn) expired(now time.Time) bool {
	idle := c.IdleTimeout
	if idle == 0 {
		idle = DefaultIdleTimeout
	}
	return now.Sub(c.lastUsed) >= idle
}

// reusable reports whether the connection is still open, and was used less than maxIdleTime ago; 0 means
// no limit.
func (c *Conn) reusable(now time.Time, maxIdleTime time.Duration) bool {
	recent := maxIdleTime == 0 || now.Sub(c.lastUsed) < maxIdleTime
	return recent && !c.expired(now) && c.R.Buffered() == 0 && socket.Peek(c.Conn) == socket.Idle
}

// Pool keeps unused connections by address. A connection may be put back only
// after its answer was read to the end. Before reuse it is checked without
// reading from it: on a closed one the outcome of the next call would be
// unknown, and unread bytes would be taken for the answer to the next call. The
// mutex guards byAddress and is held for map operations only. The zero value is
// empty.
type Pool struct {
	mu        sync.Mutex
	byAddress map[string][]*Conn
}

// Take returns the most recently used connection that is still usable and has
// been unused for less than maxIdleTime; 0 means no bound. It returns nil if
// there is none, and closes those that it rejects.
func (p *Pool) Take(address string, now time.Time, maxIdleTime time.Duration) *Conn {
	return p.take(address, now, maxIdleTime, func(c *Conn) bool { return !c.spare })
}

// TakeOpenedBefore returns the most recently used connection that is still usable and was opened before a
// time; nil if there is none.
func (p *Pool) TakeOpenedBefore(before time.Time, address string, now time.Time) *Conn {
	return p.take(address, now, 0, func(c *Conn) bool { return c.Opened.Before(before) })
}

func (p *Pool) take(address string, now time.Time, maxIdleTime time.Duration, fits func(*Conn) bool) *Conn {
	for {
		c := p.pop(address, fits)
		if c == nil {
			return nil
		}
		if c.reusable(now, maxIdleTime) {
			return c
		}
		_ = c.Close() // unused, so the error does not matter
	}
}

// Has reports whether a connection to an address is kept that was used less than maxIdleTime ago; 0
// means no limit.
func (p *Pool) Has(address string, now time.Time, maxIdleTime time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.ContainsFunc(p.byAddress[address], func(c *Conn) bool { return !c.spare && c.reusable(now, maxIdleTime) })
}

// HasSpare reports whether a spare connection to an address is kept.
func (p *Pool) HasSpare(address string, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.ContainsFunc(p.byAddress[address], func(c *Conn) bool { return c.spare && c.reusable(now, 0) })
}

// HasHeard reports whether a connection is kept that was opened before a time, on which data were received since another.
func (p *Pool) HasHeard(address string, openedBefore, since, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.ContainsFunc(p.byAddress[address], func(c *Conn) bool {
		return c.Opened.Before(openedBefore) && c.ReceivedSince(since) && c.reusable(now, 0)
	})
}

// HasOf reports whether a connection is kept on which a process has answered, and which is still open. If before isn't
// zero, only connections count that were opened before that time.
func (p *Pool) HasOf(process, address string, before, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.ContainsFunc(p.byAddress[address], func(c *Conn) bool {
		return c.Process == process && (before.IsZero() || c.Opened.Before(before)) && c.reusable(now, 0)
	})
}

// pop removes the most recently used connection that fits.
func (p *Pool) pop(address string, fits func(*Conn) bool) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.byAddress[address]
	for i, c := range slices.Backward(list) {
		if fits(c) {
			p.byAddress[address] = slices.Delete(list, i, i+1)
			return c
		}
	}
	return nil
}

// Put keeps a connection for reuse. Its last answer must have been read to the
// end.
func (p *Pool) Put(address string, c *Conn, now time.Time) {
	c.hadCall = true
	p.put(address, c, now)
}

// PutSpare keeps a connection that had no call yet, apart from those that Take hands out.
func (p *Pool) PutSpare(address string, c *Conn, now time.Time) {
	c.spare = true
	p.put(address, c, now)
}

func (p *Pool) put(address string, c *Conn, now time.Time) {
	c.lastUsed = now
	if c.spare {
		c.IdleTimeout = spareIdleTimeout
	}
	_ = c.SetDeadline(time.Time{}) // fails only on a closed connection, which Take detects
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.byAddress[address]) >= c.maxUnused() {
		_ = c.Close() // unused, so the error does not matter
		return
	}
	if p.byAddress == nil {
		p.byAddress = map[string][]*Conn{}
	}
	p.byAddress[address] = append(p.byAddress[address], c)
}

// CloseIdle closes the unused connections to an address, as another target may
// get that address.
func (p *Pool) CloseIdle(address string) {
	p.mu.Lock()
	list := p.byAddress[address]
	delete(p.byAddress, address)
	p.mu.Unlock()
	for _, c := range list {
		_ = c.Close() // unused, so the error does not matter
	}
}

// Prune closes connections that have been unused for too long, so that none
// stay open to targets that are gone.
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
			_ = c.Close() // unused, so the error does not matter
		}
		if len(kept) == 0 {
			delete(p.byAddress, address)
			continue
		}
		p.byAddress[address] = kept
	}
}

// DialFunc opens a connection to an IP:port.
type DialFunc func(ctx context.Context, address string) (net.Conn, error)

// DialTCP opens a connection that fails soon if the other side falls silent.
func DialTCP(ctx context.Context, address string) (net.Conn, error) {
	d := net.Dialer{Timeout: dialTimeout, KeepAliveConfig: keepAlive, Control: socket.UserTimeout(unackedTimeout)}
	return d.DialContext(ctx, "tcp", address)
}

// Dial opens a connection with DialTCP.
func Dial(ctx context.Context, address string) (*Conn, error) {
	return DialFunc(DialTCP).Dial(ctx, address)
}

// Dial opens a connection.
func (d DialFunc) Dial(ctx context.Context, address string) (*Conn, error) {
	c, err := d(ctx, address)
	if err != nil {
		return nil, err
	}
	c = ReportResets(c)
	return &Conn{Conn: c, Opened: time.Now(), R: bufio.NewReaderSize(c, bufferBytes), W: bufio.NewWriterSize(c, bufferBytes)}, nil
}
