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

// Options are what a Node is made from.
type Options struct {
	// Self is this process. An empty Incarnation gets a new one, an empty
	// PeerAddress that of the listener.
	Self Member
	// Listen is the IP:port of the peer side; port 0 takes a free one.
	Listen string
	// Keys are the shared keys: the first signs, all are accepted. A key
	// change puts the new key last everywhere, then first everywhere, then
	// drops the old one.
	Keys []string
	// TLS encrypts the links; nil leaves them in clear text, though
	// authenticated message by message.
	TLS *tls.Config
	// Seeds gives the peer addresses of the VM list; nil for none. It may lag
	// and it may fail.
	Seeds func(ctx context.Context) ([]string, error)
	// Dial opens connections; nil is TCP. The context's end ends the opening
	// only.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// Log is nil for none.
	Log *zap.Logger
	// Metrics gets the counters; nil keeps them apart from the process's.
	Metrics metrics.Registry
	// Period paces all that is done regularly; 0 is a second.
	Period time.Duration
	// TombstoneTTL is how long the dead are remembered; 0 is 900 periods.
	TombstoneTTL time.Duration
	// LinkBounds of the links; the zero value is member.DefaultLinkCounts.
	LinkBounds member.LinkCounts
	// PacedBytesPerSecond is what soft state of the whole system may cost a process, in
	// bytes received a second; 0 is DefaultPacedBytesPerSecond. See pace.go.
	PacedBytesPerSecond float64
}

// NewIncarnation names the run of a process that starts now.
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
	if o.LinkBounds == (member.LinkCounts{}) {
		o.LinkBounds = member.DefaultLinkCounts
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

// checkKeys refuses an empty list and keys that can be guessed.
func checkKeys(keys []string) error {
	if len(keys) == 0 {
		return eris.New("no shared key")
	}
	for _, key := range keys {
		if len(key) < MinKeyBytes {
			return eris.Errorf("a shared key has %d bytes, at least %d are needed", len(key), MinKeyBytes)
		}
	}
	return nil
}

// limits derives the membership times from the period.
func (o Options) limits() member.Limits {
	return member.Limits{
		SuspectFor:   suspectPeriods * o.Period,
		LeavingFor:   leavingPeriods * o.Period,
		TombstoneFor: o.TombstoneTTL,
	}
}

// Times in periods.
const (
	suspectPeriods   = 5
	leavingPeriods   = 30
	tombstonePeriods = 900
	// stalePeriods without a tick mean that this process was frozen.
	stalePeriods = 5
	// strayPeriods is how often a member without a link is probed, and the
	// whole view compared with it.
	strayPeriods = 8
	// havePeriods is how long announcements of items wait for another message.
	havePeriods = 4
	// seedPeriods is how often the VM list is read.
	seedPeriods = 5
	// idlePeriods is how long a link that no plan needs is kept.
	idlePeriods = 5
	// writePeriods is how long a message may take to be written.
	writePeriods = 5
)

// leastStale keeps a short period, as tests have, from taking a busy CPU for
// a freeze.
const leastStale = time.Second

// The opening of a link, connection included, may take handshakePeriods, but
// neither less nor more than these.
const (
	handshakePeriods = 5
	minHandshake     = 500 * time.Millisecond
	maxHandshake     = 3 * time.Second
)

// connectTime bounds the opening of a connection. A packet to a VM that has no
// power yet is lost without a word and sent again after a second only; a new
// try with the next beat finds the VM up to 0.7 s sooner. Regions are a fifth of
// a second apart there and back.
const connectTime = 300 * time.Millisecond

func (o Options) handshakeTime() time.Duration {
	return min(max(handshakePeriods*o.Period, minHandshake), maxHandshake)
}
