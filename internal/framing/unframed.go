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
// connection. If the body ends with another error than io.EOF, the connection is reset. The body
// is closed at the end, after the handler of the request has returned.
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
		if err := writeUnframed(conn, header, body); err != nil {
			resetOnClose(conn)
		}
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

// resetOnClose has the caller see an error at the end of the connection, which would be the
// proper end of the body otherwise.
func resetOnClose(conn net.Conn) {
	if tcp, ok := conn.(interface{ SetLinger(sec int) error }); ok {
		_ = tcp.SetLinger(0) // fails only on a closed connection
	}
}
