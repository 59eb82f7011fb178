package run

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/vanillagate/vanillagate/internal/serve/plan"
	"github.com/vanillagate/vanillagate/internal/serve/pool"
	"github.com/vanillagate/vanillagate/internal/serve/quota"
	"github.com/vanillagate/vanillagate/internal/serve/upstream"
)

// forwardingCodec tells peers after which event to go on.
type forwardingCodec struct{ plainCodec }

func (forwardingCodec) ForwardHeader(r *Request, _ time.Duration) []upstream.Header {
	return []upstream.Header{{Name: "After", Value: r.LastEventID}, {Name: "Resumes", Value: r.Resumes}}
}

// peersOnly is the reach of a process that is cut off from all targets.
type peersOnly struct{ addresses []string }

func (p peersOnly) CutOff(string) bool            { return true }
func (p peersOnly) Connected(*pool.Target) bool   { return false }
func (p peersOnly) PeerAddresses(string) []string { return append([]string(nil), p.addresses...) }

const forwardedEvents = 10

func numberedEvents(from, to int) string {
	var all strings.Builder
	for n := from; n <= to; n++ {
		fmt.Fprintf(&all, "id: %d\ndata: word %d\n\n", n, n)
	}
	return all.String()
}

// fakePeer passes on the events after the one that it is told, up to the event last, and closes its connection.
type fakePeer struct {
	last int
	// chunked frames the answer; ends ends the chunks.
	chunked, ends bool
	// cut is written after the last event.
	cut string
}

func (p fakePeer) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	r, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	after, _ := strconv.Atoi(r.Header.Get("After"))
	if after > 0 && r.Header.Get("Resumes") != "id" {
		return // another process couldn't know at which version the stream began
	}
	body := numberedEvents(after+1, p.last) + p.cut
	head := "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n"
	if p.chunked {
		head += "Transfer-Encoding: chunked\r\n"
		if body != "" {
			body = fmt.Sprintf("%x\r\n%s\r\n", len(body), body)
		}
		if p.ends {
			body += "0\r\n\r\n"
		}
	}
	_, _ = io.WriteString(conn, head+"\r\n"+body)
}

// forwardedAnswer returns what a caller gets from a process that passes its request on to the first of these peers.
func forwardedAnswer(t *testing.T, reserve float64, route func(*plan.Route), peers ...fakePeer) (string, error) {
	t.Helper()
	var reach peersOnly
	byAddress := map[string]fakePeer{}
	for i, p := range peers {
		address := fmt.Sprintf("10.1.0.%d:1", i)
		reach.addresses = append(reach.addresses, address)
		byAddress[address] = p
	}
	e := newRetryingExecutor(quota.Rule{Reserve: reserve, Window: 10 * time.Second}, 2, func(_ context.Context, address string) (net.Conn, error) {
		ours, theirs := net.Pipe()
		go byAddress[address].serve(theirs)
		return ours, nil
	}, plan.Stream)
	e.Codec, e.Reach = forwardingCodec{}, reach
	changed := *e.Plans.Current()
	changed.Version, changed.Routes = 2, append([]plan.Route(nil), changed.Routes...)
	if route != nil {
		route(&changed.Routes[0])
	}
	e.Plans.Apply(&changed)
	time.Sleep(3 * time.Second)
	reply := e.Run(t.Context(), &Request{ID: "id", Host: "h", Path: "/x", URI: "/x", Method: "GET", Arrived: time.Now()})
	assert.Assert(t, reply.Answer != nil, "%+v", reply)
	defer func() { _ = reply.Answer.Body.Close() }()
	body, err := io.ReadAll(reply.Answer.Body)
	return string(body), err
}

var (
	wholePeer    = fakePeer{last: forwardedEvents, chunked: true, ends: true}
	deadPeer     = fakePeer{last: 4, chunked: true}
	unframedPeer = fakePeer{last: 4}
	insidePeer   = fakePeer{last: 4, chunked: true, cut: "id: 5\ndat"}
)

func TestForwardedStreamIsWhole(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		body, err := forwardedAnswer(t, 50, nil, wholePeer)
		assert.NilError(t, err)
		assert.Equal(t, body, numberedEvents(1, forwardedEvents))
	})
}

// Guards against a resumable stream that ends where the peer that passed it on died.
func TestForwardedStreamGoesOnThroughAnotherPeer(t *testing.T) {
	for name, first := range map[string]fakePeer{
		"in chunks": deadPeer, "without framing": unframedPeer, "inside an event": insidePeer, "before the first event": {chunked: true},
	} {
		synctest.Test(t, func(t *testing.T) {
			body, err := forwardedAnswer(t, 50, nil, first, wholePeer)
			assert.NilError(t, err, name)
			assert.Equal(t, body, numberedEvents(1, forwardedEvents), name)
		})
	}
}

// Guards against an answer that breaks off at a peer and ends as complete.
func TestForwardedAnswerThatBreaksOffNeverLooksComplete(t *testing.T) {
	once := func(r *plan.Route) { r.Resumable = false }
	plain := func(r *plan.Route) { r.Kind, r.Resumable = plan.NonIdempotent, false }
	for name, tc := range map[string]struct {
		reserve float64
		route   func(*plan.Route)
		peers   []fakePeer
	}{
		"no other peer":                {50, nil, []fakePeer{unframedPeer}},
		"no retry left":                {0, nil, []fakePeer{unframedPeer, wholePeer}},
		"one attempt":                  {50, func(r *plan.Route) { r.Attempts = 1 }, []fakePeer{unframedPeer, wholePeer}},
		"all peers die":                {50, nil, []fakePeer{unframedPeer, unframedPeer, deadPeer}},
		"not resumable":                {50, once, []fakePeer{unframedPeer, wholePeer}},
		"not resumable, in chunks":     {50, once, []fakePeer{deadPeer, wholePeer}},
		"plain answer":                 {50, plain, []fakePeer{unframedPeer, wholePeer}},
		"plain answer, before a byte":  {50, plain, []fakePeer{{}, wholePeer}},
		"inside an event, no one else": {50, nil, []fakePeer{insidePeer}},
	} {
		synctest.Test(t, func(t *testing.T) {
			body, err := forwardedAnswer(t, tc.reserve, tc.route, tc.peers...)
			assert.Assert(t, err != nil, "%s: %q", name, body)
			assert.Assert(t, strings.HasPrefix(numberedEvents(1, forwardedEvents), body), "%s: %q", name, body)
		})
	}
}
