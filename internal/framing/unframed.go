package framing

import (
	"io"
	"net"

	"github.com/valyala/fasthttp"
)

// identity is how fasthttp is told that a header has neither a length nor chunked encoding.
const identity = -2

// copyBufferSize is the size of the buffer between a body and its connection.
const copyBufferSize = 4 << 10

// AnswerUnframed answers a request with the header of ctx and a body that ends with the
// connection, for callers that don't know chunks. The connection ends in order only if the body
// has ended with io.EOF. If the body ends otherwise, or this process dies, the connection is reset.
// The body is closed at the end, after the handler of the request has returned.
//
// fasthttp gives each body a length or chunks, so the connection is taken over from it.
func AnswerUnframed(ctx *fasthttp.RequestCtx, body io.ReadCloser) {
	ctx.Response.Header.SetContentLength(identity)
	ctx.Response.Header.SetConnectionClose()
	ctx.Response.Header.Del("Keep-Alive")
	header := ctx.Response.Header.AppendBytes(nil)
	conn := ctx.Conn()
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(func(net.Conn) {
		defer func() { _ = body.Close() }() // what has been read has been passed on
		resetAtEnd(conn)
		if err := writeUnframed(conn, header, body); err != nil {
			_ = transport(conn).Close() // resets the connection
			return
		}
		closeInOrder(conn)
	})
}

func writeUnframed(conn net.Conn, header []byte, body io.Reader) error {
	if _, err := conn.Write(header); err != nil {
		return err
	}
	_, err := io.CopyBuffer(onlyWriter{conn}, body, make([]byte, copyBufferSize))
	return err
}

// onlyWriter hides the ReadFrom of a connection, which would read the body through a buffer of
// its own size.
type onlyWriter struct{ io.Writer }

// lingerer is the part of net.TCPConn that decides how a connection ends.
type lingerer interface{ SetLinger(sec int) error }

// systemLinger has the system end a connection in order when it is closed.
const systemLinger = -1

// resetAtEnd has the system reset the connection when it is closed, also by the death of this process.
func resetAtEnd(conn net.Conn) { setLinger(conn, 0) }

// closeInOrder has the connection end in order again when it is closed.
func closeInOrder(conn net.Conn) { setLinger(conn, systemLinger) }

func setLinger(conn net.Conn, seconds int) {
	if tcp, ok := transport(conn).(lingerer); ok {
		_ = tcp.SetLinger(seconds) // fails only on a closed connection
	}
}

// transport returns the connection below TLS. Closing a TLS connection would announce its orderly end
// before a reset.
func transport(conn net.Conn) net.Conn {
	if secured, ok := conn.(interface{ NetConn() net.Conn }); ok {
		return secured.NetConn()
	}
	return conn
}
