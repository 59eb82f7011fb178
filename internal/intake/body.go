package intake

import (
	"bufio"
	"errors"
	"io"
	"sync"

	"github.com/valyala/fasthttp"

	"github.com/vanillagate/vanillagate/internal/framing"
)

// trustedBytes is the largest announced length for which memory is taken before the bytes have arrived, so that usual
// bodies aren't copied while they grow.
const trustedBytes = 64 << 10

var readers = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, bufferBytes) }}

// Handler returns a handler that reads the body of each request and calls next. The body stays valid as long as
// something refers to it. limit returns the maximum size of a body, in bytes.
//
// reject answers a request whose body can't be read: the error is fasthttp.ErrBodyTooLarge, ErrAmbiguousLength,
// ErrNoMemory or that of the connection or of the framing. The connection is closed then. The connections must be those
// of a Listener, and the server must call TakeBody.
func Handler(limit func() int, next fasthttp.RequestHandler, reject func(*fasthttp.RequestCtx, error)) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		conn := ctx.Conn().(*Conn)
		length, err := bodyLength(&ctx.Request.Header)
		if err == nil && length != noBody {
			conn.place.Receive()
			var body []byte
			body, err = conn.readBody(length, limit())
			ctx.Request.SetBodyRaw(body)
		}
		conn.place.Serve()
		if err != nil {
			reject(ctx, err)
			ctx.SetConnectionClose()
			return
		}
		next(ctx)
	}
}

// readBody reads the body that follows the head. length may be chunked.
func (c *Conn) readBody(length, limit int) ([]byte, error) {
	if length == 0 {
		return nil, nil
	}
	if length > limit {
		c.unread.Store(true)
		return nil, fasthttp.ErrBodyTooLarge
	}
	reader := readers.Get().(*bufio.Reader)
	reader.Reset(bodyBytes{c})
	defer func() {
		reader.Reset(nil)
		readers.Put(reader)
	}()
	g := &growingBody{conn: c, source: framing.NewRequestBody(reader, length), limit: limit, head: c.memory.counted()}
	body, err := g.read(length)
	if err != nil {
		c.unread.Store(true)
		c.memory.release()
		return nil, err
	}
	c.putBack(reader)
	return body, nil
}

// putBack keeps what the reader has read beyond a body: the beginning of the next request.
func (c *Conn) putBack(reader *bufio.Reader) {
	rest, _ := reader.Peek(reader.Buffered()) // can't fail
	if len(rest) == 0 {
		return
	}
	rest = append(append([]byte(nil), rest...), c.received[c.passed:]...)
	c.dropReceived()
	c.received = rest
}

// bodyBytes reads what follows a head.
type bodyBytes struct{ conn *Conn }

// Read implements io.Reader.
func (b bodyBytes) Read(p []byte) (int, error) {
	c := b.conn
	if c.passed == len(c.received) {
		return c.read(p)
	}
	n := copy(p, c.received[c.passed:])
	c.passed += n
	if c.passed == len(c.received) {
		c.dropReceived()
	} else {
		c.headEnd = c.passed
	}
	return n, nil
}

// growingBody reads a body into memory that grows with what has arrived.
type growingBody struct {
	conn   *Conn
	source io.Reader
	limit  int
	// head is the number of bytes that are reserved for the head.
	head  int
	bytes []byte
}

func (g *growingBody) read(length int) ([]byte, error) {
	most := length
	if length < 0 {
		most = g.limit + 1 // to notice that there is more
	}
	for {
		if len(g.bytes) == cap(g.bytes) && len(g.bytes) < most {
			if err := g.grow(length, most); err != nil {
				return nil, err
			}
		}
		n, err := g.source.Read(g.bytes[len(g.bytes):cap(g.bytes)])
		g.bytes = g.bytes[:len(g.bytes)+n]
		if len(g.bytes) > g.limit {
			return nil, fasthttp.ErrBodyTooLarge
		}
		if errors.Is(err, io.EOF) {
			return g.bytes, g.finish()
		}
		if err != nil {
			return nil, err
		}
	}
}

// grow makes room for more bytes, up to most in all.
func (g *growingBody) grow(length, most int) error {
	if g.bytes == nil && length >= 0 && length < trustedBytes && g.reserve(most) == nil {
		g.bytes = make([]byte, 0, most)
		return nil
	}
	size := min(max(2*cap(g.bytes), uncountedBytes), most)
	if err := g.reserve(cap(g.bytes) + size); err != nil {
		return err
	}
	g.bytes = append(make([]byte, 0, size), g.bytes...)
	return g.reserve(size)
}

// reserve reserves memory for the head and a number of bytes of the body.
func (g *growingBody) reserve(bytes int) error { return g.conn.memory.resize(g.head + bytes) }

// finish reserves the memory that the request holds while it is served.
func (g *growingBody) finish() error {
	copies := max(g.conn.listener.BodyCopies, 1)
	if err := g.reserve(copies * cap(g.bytes)); err != nil {
		return err
	}
	return g.conn.memory.finish()
}
