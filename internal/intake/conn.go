// Package intake reads the requests of callers for fasthttp and limits the memory and the connections that all callers
// hold together.
//
// fasthttp reads a head into a buffer for the largest possible one, and takes the memory for a body as soon as its
// length is announced. Here a connection passes a head on to fasthttp once it has arrived completely, and no byte beyond
// it. Handler then reads the body, with memory that grows with the bytes that have arrived.
package intake

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/vanillagate/vanillagate/internal/connlimit"
)

// ErrHeadTooLarge means that a head exceeds its limit.
var ErrHeadTooLarge = errors.New("intake: head is too large")

const (
	// bufferBytes is the size of the buffers that are kept for reuse.
	bufferBytes = uncountedBytes
	// headCopies is how many times a request holds its head while it is served: as it arrived, in the parsed headers
	// and in those to forward.
	headCopies = 3
	// maxLingerTime and maxLingerBytes limit what is read and thrown away after a request was rejected before it had
	// arrived completely. Without reading it, the connection would be reset, and the caller might lose the answer.
	maxLingerTime  = time.Second
	maxLingerBytes = 1 << 20
	// maxWriteStall is how long a caller may read nothing of its answer while there is more than the system buffers.
	maxWriteStall = 30 * time.Second
)

var buffers = sync.Pool{New: func() any { return new([bufferBytes]byte) }}

// Listener limits the requests of the connections that it accepts.
type Listener struct {
	net.Listener
	// Memory and Connections are the limits that this port shares with others.
	Memory      *Memory
	Connections *connlimit.Limiter
	// HeadLimit returns the maximum size of a head, in bytes. It is called from several goroutines, as is HeadTime.
	HeadLimit func() int
	// HeadTime returns how long a head may take from its first byte on.
	HeadTime func() time.Duration
	Log      *zap.Logger
	// BodyCopies is how many times a request holds its body while it is served; 0 means once.
	BodyCopies int
}

// Accept waits for the next connection for which there is room.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		accepted, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &Conn{Conn: accepted, listener: l}
		c.memory = reservation{memory: l.Memory, interrupt: c.interrupt}
		var closed net.Conn
		c.place, closed = l.Connections.Admit(c.NetConn())
		if closed != nil {
			l.Log.Info("Connection closed to make room for another.", zap.Stringer("caller", closed.RemoteAddr()))
		}
		if c.place != nil {
			return c, nil
		}
		l.Log.Info("Connection rejected: requests are in progress on all others.", zap.Stringer("caller", accepted.RemoteAddr()))
		_ = c.NetConn().Close() // nothing has been read from it
	}
}

// Conn is a connection of a caller. Outside of a body, its Read returns a head only once it has arrived completely, or
// has failed to, and never a byte beyond it.
type Conn struct {
	net.Conn
	listener *Listener
	place    *connlimit.Place
	// memory is the memory of the current request.
	memory reservation

	mu sync.Mutex // guards interrupted and the read deadline; no other lock of this package is taken while it is held
	// interrupted is set once reads are to fail because the request was evicted.
	interrupted bool

	// received has bytes that arrived and haven't been passed on, from passed on; nil if there are none. Those before
	// headEnd may be passed on.
	received        []byte
	passed, headEnd int
	end             endFinder
	// failure is the error of the reads after those bytes.
	failure error
	// unread is set if the connection is about to be closed with an unknown number of bytes to arrive.
	unread atomic.Bool
	first  [1]byte
}

// NetConn returns the transport connection.
func (c *Conn) NetConn() net.Conn {
	if below, ok := c.Conn.(interface{ NetConn() net.Conn }); ok {
		return below.NetConn()
	}
	return c.Conn
}

// SetReadDeadline sets the deadline of reads. They fail at once if the request was evicted.
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.interrupted {
		t = time.Now()
	}
	return c.Conn.SetReadDeadline(t)
}

// interrupt ends a read in progress.
func (c *Conn) interrupt() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.interrupted = true
	_ = c.Conn.SetReadDeadline(time.Now()) // fails only on a closed connection, whose reads have ended
}

// Read passes the next head on.
func (c *Conn) Read(p []byte) (int, error) {
	if c.passed == c.headEnd {
		if c.failure == nil {
			c.awaitHead()
		}
		if c.passed == c.headEnd {
			return 0, c.failure
		}
	}
	n := copy(p, c.received[c.passed:c.headEnd])
	c.passed += n
	if c.passed == len(c.received) {
		c.dropReceived()
	}
	return n, nil
}

// Write fails if the caller doesn't read for maxWriteStall.
func (c *Conn) Write(p []byte) (int, error) {
	if err := c.Conn.SetWriteDeadline(time.Now().Add(maxWriteStall)); err != nil {
		return 0, err
	}
	c.place.BeginWrite()
	defer c.place.EndWrite()
	return c.Conn.Write(p)
}

// ReadFrom writes what it reads as soon as it arrives, which fasthttp otherwise would hold back in its buffer.
func (c *Conn) ReadFrom(r io.Reader) (int64, error) {
	buffer := buffers.Get().(*[bufferBytes]byte)
	defer buffers.Put(buffer)
	return io.CopyBuffer(onlyWriter{c}, onlyReader{r}, buffer[:])
}

// awaitHead reads until a head has arrived, and sets headEnd or failure.
func (c *Conn) awaitHead() {
	c.memory.release() // the previous request has been answered
	c.place.Wait()
	c.received, c.passed, c.headEnd, c.end = c.received[c.passed:], 0, 0, endFinder{}
	if len(c.received) == 0 && !c.awaitFirstByte() {
		return
	}
	if c.failure = c.SetReadDeadline(time.Now().Add(c.listener.HeadTime())); c.failure == nil {
		c.failure = c.readHead()
	}
	if c.failure != nil {
		c.failHead()
	}
}

// failHead passes on what has arrived of a head, behind which reads fail. fasthttp answers a head that fails if it has
// got its first byte.
func (c *Conn) failHead() {
	if errors.Is(c.failure, ErrNoMemory) || errors.Is(c.failure, ErrHeadTooLarge) {
		c.unread.Store(true)
		c.first[0] = c.received[0]
		c.dropReceived()
		c.memory.release()
		c.received = c.first[:]
	}
	c.headEnd = len(c.received)
}

// awaitFirstByte reads the first byte of a head. The connection has no buffer while it waits.
func (c *Conn) awaitFirstByte() bool {
	c.dropReceived()
	n, err := c.Conn.Read(c.first[:])
	if n == 0 {
		c.failure = err
		return false
	}
	c.received = append(buffers.Get().(*[bufferBytes]byte)[:0], c.first[0])
	return true
}

// readHead reads the rest of a head.
func (c *Conn) readHead() error {
	for searched := 0; ; {
		if n, found := c.end.find(c.received[searched:]); found {
			if c.headEnd = searched + n; c.headEnd > c.listener.HeadLimit() {
				return ErrHeadTooLarge
			}
			return c.reserveHead(c.headEnd)
		}
		searched = len(c.received)
		if searched >= c.listener.HeadLimit() {
			return ErrHeadTooLarge
		}
		if err := c.growReceived(); err != nil {
			return err
		}
		n, err := c.read(c.received[searched:cap(c.received)])
		c.received = c.received[:searched+n]
		if n == 0 && err != nil {
			return err
		}
	}
}

// reserveHead reserves the memory of a request whose head has arrived.
func (c *Conn) reserveHead(bytes int) error {
	if bytes <= uncountedBytes {
		return nil
	}
	if err := c.memory.resize(headCopies * bytes); err != nil {
		return err
	}
	return c.memory.finish()
}

// growReceived makes room for at least one more byte.
func (c *Conn) growReceived() error {
	size := len(c.received)
	if size < cap(c.received) {
		return nil
	}
	grown := max(2*size, bufferBytes)
	if err := c.memory.resize(size + grown); err != nil {
		return err
	}
	larger := append(make([]byte, 0, grown), c.received...)
	c.dropReceived()
	c.received = larger
	return c.memory.resize(grown)
}

// dropReceived gives the buffer up.
func (c *Conn) dropReceived() {
	if cap(c.received) == bufferBytes {
		buffers.Put((*[bufferBytes]byte)(c.received[:bufferBytes]))
	}
	c.received, c.passed, c.headEnd = nil, 0, 0
}

// read reads from the connection. The error is ErrNoMemory if the request was evicted.
func (c *Conn) read(p []byte) (int, error) {
	if c.memory.isEvicted() {
		return 0, ErrNoMemory
	}
	n, err := c.Conn.Read(p)
	if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) && c.memory.isEvicted() {
		return 0, ErrNoMemory
	}
	return n, err
}

// Close closes the connection. If a request was rejected before it had arrived, it first reads some of the rest, so that
// the caller gets the answer.
func (c *Conn) Close() error {
	c.memory.release()
	if c.unread.CompareAndSwap(true, false) {
		c.place.Receive()
		c.linger()
	}
	c.place.Leave()
	return c.Conn.Close()
}

// halfCloser is the part of a connection that ends its sending side.
type halfCloser interface{ CloseWrite() error }

// linger reads and drops what the caller still sends, within limits.
func (c *Conn) linger() {
	half, ok := c.Conn.(halfCloser)
	if !ok || half.CloseWrite() != nil || c.Conn.SetReadDeadline(time.Now().Add(maxLingerTime)) != nil {
		return
	}
	buffer := buffers.Get().(*[bufferBytes]byte)
	defer buffers.Put(buffer)
	_, _ = io.CopyBuffer(onlyWriter{io.Discard}, io.LimitReader(c.Conn, maxLingerBytes), buffer[:])
}

// onlyWriter hides the ReadFrom of a writer, and onlyReader the WriteTo of a reader, which would take a buffer of
// their own.
type (
	onlyWriter struct{ io.Writer }
	onlyReader struct{ io.Reader }
)

// endFinder finds the empty line at the end of a head. The zero value is at the beginning of a head.
type endFinder struct {
	// lineEnded is set after a line end, also if a carriage return has followed it.
	lineEnded bool
}

// find returns the position behind the first empty line. It also finds one that ends without a carriage return,
// because fasthttp may accept it.
func (e *endFinder) find(b []byte) (int, bool) {
	for i, c := range b {
		switch {
		case c == '\n' && e.lineEnded:
			return i + 1, true
		case c == '\n':
			e.lineEnded = true
		case c != '\r':
			e.lineEnded = false
		}
	}
	return 0, false
}
