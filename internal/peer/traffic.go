package peer

import (
	"cmp"
	"slices"
	"strings"
	"sync"

	"github.com/rcrowley/go-metrics"

	"github.com/vanillagate/vanillagate/internal/member"
)

// messageKind is the method of a message, with the suffix ".answer" for its answer.
type messageKind string

const answerSuffix = ".answer"

// Traffic counts the messages of one kind since the start, and the bytes of their
// frames (without the overhead of TCP and without the handshake).
type Traffic struct {
	Kind             string `json:"kind"`
	MessagesSent     int64  `json:"messages_sent"`
	BytesSent        int64  `json:"bytes_sent"`
	MessagesReceived int64  `json:"messages_received"`
	BytesReceived    int64  `json:"bytes_received"`
}

// traffic holds the counters. Its mutex guards only the map.
type traffic struct {
	registry metrics.Registry
	// refused counts failed handshakes of incoming connections, freezes the freezes of this
	// process, indirect the probes of members that only helpers reached.
	refused, freezes, indirect metrics.Counter
	// changes counts membership changes by the new state.
	changes map[member.State]metrics.Counter

	mu    sync.Mutex
	kinds map[messageKind]*kindCounters
}

type kindCounters struct {
	messagesSent, bytesSent, messagesReceived, bytesReceived metrics.Counter
}

func newTraffic(registry metrics.Registry) *traffic {
	return &traffic{
		registry: registry,
		refused:  metrics.GetOrRegisterCounter("peer.handshakes_refused", registry),
		freezes:  metrics.GetOrRegisterCounter("peer.freezes", registry),
		indirect: metrics.GetOrRegisterCounter("peer.reached_by_others_only", registry),
		changes:  changeCounters(registry),
		kinds:    map[messageKind]*kindCounters{},
	}
}

func changeCounters(registry metrics.Registry) map[member.State]metrics.Counter {
	counters := map[member.State]metrics.Counter{}
	for state, name := range memberStates {
		counters[state] = metrics.GetOrRegisterCounter("peer.members_"+string(name), registry)
	}
	return counters
}

func (t *traffic) countersFor(k messageKind) *kindCounters {
	t.mu.Lock()
	defer t.mu.Unlock()
	if counters := t.kinds[k]; counters != nil {
		return counters
	}
	counter := func(what string) metrics.Counter {
		return metrics.GetOrRegisterCounter("peer."+string(k)+"."+what, t.registry)
	}
	counters := &kindCounters{
		messagesSent:     counter("messages_sent"),
		bytesSent:        counter("bytes_sent"),
		messagesReceived: counter("messages_received"),
		bytesReceived:    counter("bytes_received"),
	}
	t.kinds[k] = counters
	return counters
}

func (t *traffic) sent(k messageKind, bytes int) {
	counters := t.countersFor(k)
	counters.messagesSent.Inc(1)
	counters.bytesSent.Inc(int64(bytes))
}

func (t *traffic) received(k messageKind, bytes int) {
	counters := t.countersFor(k)
	counters.messagesReceived.Inc(1)
	counters.bytesReceived.Inc(int64(bytes))
}

func (t *traffic) snapshot() []Traffic {
	t.mu.Lock()
	defer t.mu.Unlock()
	rows := make([]Traffic, 0, len(t.kinds))
	for k, c := range t.kinds {
		rows = append(rows, Traffic{
			Kind:             string(k),
			MessagesSent:     c.messagesSent.Count(),
			BytesSent:        c.bytesSent.Count(),
			MessagesReceived: c.messagesReceived.Count(),
			BytesReceived:    c.bytesReceived.Count(),
		})
	}
	slices.SortFunc(rows, func(a, b Traffic) int { return cmp.Compare(a.Kind, b.Kind) })
	return rows
}

// callID includes the method in the ID of a call, so that the answer, which carries no
// method, can be counted under its kind.
func callID(method string, n uint64) string { return method + "#" + formatUint(n) }

func answerKind(id string) messageKind {
	method, _, _ := strings.Cut(id, "#")
	return messageKind(method + answerSuffix)
}
