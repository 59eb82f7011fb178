package test

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/vanillagate/vanillagate/platform/standin"
)

// answerEnd is how an answer ended on the wire.
type answerEnd string

// The ends. The first three look to a caller like the end of a whole answer.
const (
	endOfLength      answerEnd = "its length"
	endOfChunks      answerEnd = "its last chunk"
	endOfConnection  answerEnd = "an orderly close without framing"
	cutOff           answerEnd = "a close inside its framing"
	resetEnd         answerEnd = "a reset"
	timedOut         answerEnd = "the caller's time limit"
	cutInHead        answerEnd = "a close inside its head"
	noAnswer         answerEnd = "no answer"
	notSent          answerEnd = "no connection"
	malformedFraming answerEnd = "malformed framing"
	callerLeft       answerEnd = "the caller"
)

func (e answerEnd) looksComplete() bool {
	return e == endOfLength || e == endOfChunks || e == endOfConnection
}

// rawAnswer is an answer as it arrived.
type rawAnswer struct {
	status int
	header textproto.MIMEHeader
	body   string
	end    answerEnd
}

// rawRequest is a request that a rawCaller writes.
type rawRequest struct {
	path, id, body string
	http10         bool
	// close asks for the end of the connection after the answer.
	close bool
	// headers are further header lines.
	headers []string
	// leave reports, for what has arrived of the body, whether the caller leaves; nil for never.
	leave func(body string) bool
}

// rawCaller reads answers without an HTTP client, so that it sees what ends them.
type rawCaller struct {
	address string
	conn    net.Conn
	reader  *bufio.Reader
}

func (c *rawCaller) disconnect() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// send sends a request on the connection that an earlier answer left open, or a new one. An answer that isn't there
// on a kept connection may mean that the VM has closed it before; reused tells.
func (c *rawCaller) send(r rawRequest, limit time.Duration) (a rawAnswer, reused bool) {
	reused = c.conn != nil
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp", c.address, time.Second)
		if err != nil {
			return rawAnswer{end: notSent}, false
		}
		c.conn, c.reader = conn, bufio.NewReader(conn)
	}
	_ = c.conn.SetDeadline(time.Now().Add(limit))
	a.end = noAnswer
	if _, err := io.WriteString(c.conn, r.text()); err == nil {
		a = c.readAnswer(r)
	}
	if !a.end.looksComplete() || a.end == endOfConnection || r.close || !a.keepsConnection(r.http10) {
		c.disconnect()
	}
	return a, reused
}

func (a rawAnswer) keepsConnection(http10 bool) bool {
	stated := a.header.Get("Connection")
	if http10 {
		return strings.EqualFold(stated, "keep-alive")
	}
	return !strings.EqualFold(stated, "close")
}

func (r rawRequest) text() string {
	var text strings.Builder
	version, connection := "HTTP/1.1", "keep-alive"
	if r.http10 {
		version = "HTTP/1.0"
	}
	if r.close {
		connection = "close"
	}
	fmt.Fprintf(&text, "POST %s %s\r\nHost: %s\r\nConnection: %s\r\nContent-Length: %d\r\nX-Attempt-Id: %s\r\nX-Api-Key: %s\r\n",
		r.path, version, standin.Host, connection, len(r.body), r.id, standin.TeamKey)
	for _, line := range r.headers {
		text.WriteString(line + "\r\n")
	}
	text.WriteString("\r\n" + r.body)
	return text.String()
}

func (c *rawCaller) readAnswer(r rawRequest) rawAnswer {
	a, err := c.readHead()
	for err == nil && a.status >= 100 && a.status < 200 {
		a, err = c.readHead()
	}
	if err != nil {
		return a
	}
	leave := func() bool { return r.leave != nil && r.leave(a.body) }
	length := a.header.Get("Content-Length")
	switch {
	case strings.EqualFold(a.header.Get("Transfer-Encoding"), "chunked"):
		if r.http10 || length != "" {
			a.end = malformedFraming
			return a
		}
		c.readChunks(&a, leave)
	case length != "":
		n, err := strconv.Atoi(length)
		if err != nil {
			a.end = malformedFraming
			return a
		}
		a.end = endOfLength
		c.readBytes(&a, n, leave)
	default:
		c.readUntilClose(&a, leave)
	}
	return a
}

// readHead reads the status line and the header. If it fails, the answer's end is set.
func (c *rawCaller) readHead() (rawAnswer, error) {
	a := rawAnswer{}
	if _, err := c.reader.Peek(1); err != nil {
		a.end = noAnswer
		return a, err
	}
	lines := textproto.NewReader(c.reader)
	line, err := lines.ReadLine()
	if err == nil {
		a.header, err = lines.ReadMIMEHeader()
	}
	if err != nil {
		a.end = cutInHead
		return a, err
	}
	_, rest, _ := strings.Cut(line, " ")
	text, _, _ := strings.Cut(rest, " ")
	a.status, err = strconv.Atoi(text)
	if err != nil {
		a.end = malformedFraming
	}
	return a, err
}

// endAfter is the end that a read error means; closed is what an orderly close means.
func endAfter(err error, closed answerEnd) answerEnd {
	var limit net.Error
	switch {
	case errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF):
		return closed
	case errors.As(err, &limit) && limit.Timeout():
		return timedOut
	case errors.Is(err, syscall.ECONNRESET):
		return resetEnd
	}
	return cutOff
}

// readBytes reads n bytes of the body. It changes the answer's end unless all arrive.
func (c *rawCaller) readBytes(a *rawAnswer, n int, leave func() bool) {
	buffer := make([]byte, 32<<10)
	for n > 0 {
		got, err := c.reader.Read(buffer[:min(n, len(buffer))])
		a.body += string(buffer[:got])
		n -= got
		if err != nil && n > 0 {
			a.end = endAfter(err, cutOff)
			return
		}
		if leave() {
			a.end = callerLeft
			return
		}
	}
}

func (c *rawCaller) readChunks(a *rawAnswer, leave func() bool) {
	a.end = endOfChunks
	for {
		line, err := c.reader.ReadString('\n')
		if err != nil {
			a.end = endAfter(err, cutOff)
			return
		}
		size, err := strconv.ParseInt(strings.TrimSpace(line), 16, 32)
		if err != nil {
			a.end = malformedFraming
			return
		}
		if c.readBytes(a, int(size), leave); a.end != endOfChunks {
			return
		}
		if line, err = c.reader.ReadString('\n'); err != nil {
			a.end = endAfter(err, cutOff)
			return
		}
		if strings.TrimSpace(line) != "" {
			a.end = malformedFraming
			return
		}
		if size == 0 {
			return
		}
	}
}

func (c *rawCaller) readUntilClose(a *rawAnswer, leave func() bool) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := c.reader.Read(buffer)
		a.body += string(buffer[:n])
		if err != nil {
			a.end = endAfter(err, endOfConnection)
			return
		}
		if leave() {
			a.end = callerLeft
			return
		}
	}
}

// isPromise reports whether a status says that the request hasn't run.
func isPromise(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}
