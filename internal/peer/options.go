package peer

import (
	"context"
	"crypto/tls"
	"net"
	"time"

	"github.com/google/uuid"
	"github.com/rcrowley/go-metrics"
	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/vanillagate/vanillagate/internal/member"
)

// Options configure a Node.
type Options struct {
	// Self describes this process. An empty Incarnation gets a new one, an empty
	// PeerAddress that of the listener.
	Self Member
	// Listen is the IP:port to listen on for peers; port 0 picks a free one.
	Listen string
	// Keys are the shared keys: the first one is used for own proofs, all are accepted.
	// To rotate the key, append the new one on every process, then move it to the front
	// on every process, then remove the old one.
	Keys []string
	// TLS encrypts the links. If nil, they are in clear text, but every message is
	// still authenticated.
	TLS *tls.Config
	// Seeds returns the peer addresses on the VM list; nil for none. The list may lag
	// behind, and reading it may fail.
	Seeds func(ctx context.Context) ([]string, error)
	// Dial opens connections; nil for TCP. The context limits only the opening, not
	// the connection.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// Log may be nil.
	Log *zap.Logger
	// Metrics is the registry for the counters; nil for a separate one.
	Metrics metrics.Registry
	// Period is the interval of the periodic work; 0 for one second.
	Period time.Duration
	// TombstoneTTL is how long dead members are remembered; 0 for 900 periods.
	TombstoneTTL time.Duration
	// LinkCounts configures the number of links; the zero value means member.DefaultLinkCounts.
	LinkCounts member.LinkCounts
	// PacedBytesPerSecond is the rate in bytes per second at which a process may receive the paced
	// topics of all processes together; 0 for DefaultPacedBytesPerSecond. See
	// pacing.go.
	PacedBytesPerSecond float64
}

// NewIncarnation returns a new unique incarnation for a process that starts now.
func NewIncarnation() Incarnation { return Incarnation(uuid.NewString()) }

func (o Options) withDefaults() Options {
	if o.Self.Incarnation == "" {
		o.Self.Incarnation = NewIncarnation()
	}
	if o.Log == nil {
		o.Log = zap.NewNop()
	}
	if o.Metrics == nil {
		o.Metrics = metrics.NewRegistry()
	}
	if o.Period <= 0 {
		o.Period = time.Second
	}
	if o.TombstoneTTL <= 0 {
		o.TombstoneTTL = tombstonePeriods * o.Period
	}
	if o.LinkCounts == (member.LinkCounts{}) {
		o.LinkCounts = member.DefaultLinkCounts
	}
	if o.PacedBytesPerSecond <= 0 {
		o.PacedBytesPerSecond = DefaultPacedBytesPerSecond
	}
	if o.Dial == nil {
		o.Dial = dialTCP
	}
	return o
}

func dialTCP(ctx context.Context, address string) (net.Conn, error) {
	var dialer net.Dialer
	return dialer.DialContext(ctx, "tcp", address)
}

// checkKeys rejects an empty list and keys that are short enough to be guessed.
func checkKeys(keys []string) error {
	if len(keys) == 0 {
		return eris.New("no shared key is configured")
	}
	for _, key := range keys {
		if len(key) < MinKeyBytes {
			return eris.Errorf("a shared key has %d bytes, the minimum is %d", len(key), MinKeyBytes)
		}
	}
	return nil
}

// memberTimeouts derives the timeouts of the membership table from the period.
func (o Options) memberTimeouts() member.Timeouts {
	return member.Timeouts{
		Suspect:   suspectPeriods * o.Period,
		Leaving:   leavingPeriods * o.Period,
		Tombstone: o.TombstoneTTL,
	}
}

// Durations and intervals in periods.
const (
	suspectPeriods   = 5
	leavingPeriods   = 30
	tombstonePeriods = 900
	// freezePeriods without a tick mean that this process was frozen.
	freezePeriods = 5
	// randomProbePeriods is the interval at which a random member is probed and the
	// views are compared with it.
	randomProbePeriods = 8
	// havePeriods is the longest time that item announcements wait for another message.
	havePeriods = 4
	// seedPeriods is the interval at which the VM list is read.
	seedPeriods = 5
	// idlePeriods is how long a link that isn't needed is kept.
	idlePeriods = 5
	// writePeriods is the time limit for writing a message.
	writePeriods = 5
)

// minFreezeTime keeps a node with a short period, as in tests, from taking a shortage of
// CPU for a freeze.
const minFreezeTime = time.Second

// Opening a link, connection included, may take handshakePeriods, but at least
// minHandshake and at most maxHandshake.
const (
	handshakePeriods = 5
	minHandshake     = 500 * time.Millisecond
	maxHandshake     = 3 * time.Second
)

// connectTime limits the opening of a connection. Packets to a VM that isn't powered on
// yet are lost, and TCP retransmits only after a second; a new attempt at the next tick
// reaches the VM up to 0.7 s sooner. The round trip between regions takes a fifth of a
// second.
const connectTime = 300 * time.Millisecond

func (o Options) handshakeTime() time.Duration {
	return min(max(handshakePeriods*o.Period, minHandshake), maxHandshake)
}
