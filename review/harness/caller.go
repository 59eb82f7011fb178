package main

import (
	"bufio"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/vanillagate/vanillagate/platform/standin"
)

// reply is what a client got in answer to one attempt.
type reply struct {
	status int
	body   string
	// chunked means that the answer has chunks, so that its end is marked.
	chunked bool
	// err is set if the answer didn't come or wasn't complete.
	err error
}

func newID() string {
	var b [8]byte
	_, _ = rand.Read(b[:]) // never fails
	return hex.EncodeToString(b[:])
}

// headerLine is a header line whose name is written as it stands.
type headerLine struct{ name, value string }

// quoteHeader returns the header lines of a request to the route with stages.
func quoteHeader(id, pieces string, deadline time.Duration) []headerLine {
	return []headerLine{
		{"X-Attempt-Id", id},
		{"X-Api-Key", standin.TeamKey},
		{"X-Deadline-Ms", itoa(int(deadline.Milliseconds()))},
		{"X-Pieces", pieces},
		{"X-Piece-Key", "key-" + id},
		{"X-Model", "m"},
		{"X-Token-Count", "1200,40"},
		{"X-Prompt-Prefix", "aa1:800," + id + ":400"},
	}
}

// send makes one attempt on a connection of its own. onBytes gets the body as it arrives and may be nil.
func send(address, path string, lines []headerLine, body string, limit time.Duration, onBytes func(soFar string)) reply {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return reply{err: err}
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(limit))
	var b strings.Builder
	fmt.Fprintf(&b, "POST %s HTTP/1.1\r\nHost: %s\r\n", path, standin.Host)
	for _, l := range lines {
		fmt.Fprintf(&b, "%s: %s\r\n", l.name, l.value)
	}
	fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n%s", len(body), body)
	if _, err := io.WriteString(conn, b.String()); err != nil {
		return reply{err: err}
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return reply{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	r := reply{status: resp.StatusCode, chunked: slices.Contains(resp.TransferEncoding, "chunked")}
	buffer := make([]byte, 4096)
	for {
		n, err := resp.Body.Read(buffer)
		r.body += string(buffer[:n])
		if n > 0 && onBytes != nil {
			onBytes(r.body)
		}
		if err == io.EOF {
			return r
		}
		if err != nil {
			r.err = err
			return r
		}
	}
}

// eventIDs returns the ids of the whole events in a body.
func eventIDs(body string) []int {
	var ids []int
	for {
		event, rest, whole := strings.Cut(body, "\n\n")
		if !whole {
			return ids
		}
		for line := range strings.Lines(event) {
			var id int
			if _, err := fmt.Sscanf(line, "id: %d", &id); err == nil {
				ids = append(ids, id)
			}
		}
		body = rest
	}
}
