package serve

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"strconv"
	"sync"
	"syscall"
	"time"

	"go.uber.org/zap"

	"github.com/vanillagate/vanillagate/internal/conns"
	"github.com/vanillagate/vanillagate/internal/peer"
	"github.com/vanillagate/vanillagate/internal/serve/run"
	"github.com/vanillagate/vanillagate/internal/suspect"
)

const (
	// crashesToConvict is how many targets a request may crash. Others that ran
	// beside it on a target are suspected too; three times beside a culprit is
	// no chance. The users' bound is a few retries after the third.
	crashesToConvict = 3
	// lookAfter is how long after a connection broke its target is looked at:
	// its port closes with the process, a few ms later at most.
	lookAfter = 50 * time.Millisecond
	// lookTimeout bounds the look; a target that takes a connection lives.
	lookTimeout = 300 * time.Millisecond
	// tellSpread is within what time a crash is told to the peers, drawn by lot,
	// tellPause how long after one message the next follows; what comes meanwhile
	// goes into it. When 28 engines of 112 die at once some 250 requests are
	// suspected; told one by one they filled the links of 10 Mbit/s for half a
	// second, gatherers seemed not to answer, and a burst was served by a third for
	// five seconds. A caller that sends a culprit again every quarter of a second
	// is still stopped after the third target.
	tellSpread = 100 * time.Millisecond
	tellPause  = 500 * time.Millisecond
	// maxTold bounds one message. What exceeds it is known here only.
	maxTold = 64
	// toldFor is how long the peers keep a message for those that join: longer
	// than callers go on with one request.
	toldFor = time.Minute
)

// crash is one target's death under one request, as told to peers.
type crash struct {
	Fingerprint suspect.Fingerprint `json:"f"`
	Address     string              `json:"a"`
}

// suspicion finds the requests that crash the targets that run them, together
// with the other processes: their callers send them again, anywhere. It
// implements run.Suspicion.
type suspicion struct {
	log     *zap.Logger
	network peer.Network
	table   *suspect.Table
	life    context.Context

	mu     sync.Mutex // guards what follows; a leaf
	untold []crash
	left   int // crashes that aren't told
	told   uint64
	toldAt time.Time
}

var _ run.Suspicion = (*suspicion)(nil)

func newSuspicion(life context.Context, log *zap.Logger, network peer.Network) *suspicion {
	s := &suspicion{log: log, network: network, table: suspect.NewTable(string(network.Self().Incarnation)), life: life}
	network.Subscribe(peer.TopicSuspect, s.heard)
	return s
}

// heard takes in what a peer tells. Its clock may differ; the crashes count as
// of now.
func (s *suspicion) heard(item peer.Item) {
	var crashes []crash
	if err := json.Unmarshal(item.Body, &crashes); err != nil {
		s.log.Warn("A peer's evidence can't be read.", zap.String("member", string(item.Origin)), zap.Error(err))
		return
	}
	now := time.Now()
	for _, c := range crashes {
		s.table.Heard(suspect.Evidence{
			Fingerprint: c.Fingerprint, Crashes: []suspect.Crash{{Address: c.Address, At: now}},
		}, now)
	}
}

// Convicted tells that a request gets no more targets.
func (s *suspicion) Convicted(f suspect.Fingerprint) bool {
	return s.table.Crashes(f, time.Now()) >= crashesToConvict
}

// Broke looks whether the target died, and tells the peers if it did.
func (s *suspicion) Broke(f suspect.Fingerprint, address string) {
	time.AfterFunc(lookAfter, func() {
		if s.life.Err() == nil && s.died(address) {
			s.crashed(f, address)
		}
	})
}

// died tells whether nothing listens at an address any more.
func (s *suspicion) died(address string) bool {
	ctx, cancel := context.WithTimeout(s.life, lookTimeout)
	defer cancel()
	conn, err := conns.Dial(ctx, address)
	if err == nil {
		_ = conn.Close() // it was only a look
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}

func (s *suspicion) crashed(f suspect.Fingerprint, address string) {
	evidence := s.table.Crashed(f, address, time.Now())
	s.log.Warn("Target died under a request.", zap.String("address", address), zap.String("fingerprint", string(f)),
		zap.Int("crashes", len(evidence.Crashes)))
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.untold) == maxTold {
		s.left++
		return
	}
	s.untold = append(s.untold, crash{Fingerprint: f, Address: address})
	if len(s.untold) == 1 {
		wait := max(tellPause-time.Since(s.toldAt), time.Duration(rand.Float64()*float64(tellSpread)))
		time.AfterFunc(wait, s.tell)
	}
}

// tell tells the peers of the crashes since the last time.
func (s *suspicion) tell() {
	s.mu.Lock()
	crashes, left := s.untold, s.left
	s.untold, s.left = nil, 0
	s.told++
	s.toldAt = time.Now()
	version := s.told
	s.mu.Unlock()
	if left > 0 {
		s.log.Warn("Too many crashes; peers not told of all.", zap.Int("left_out", left))
	}
	// Each message has a key of its own, so that none replaces one that a peer
	// hasn't had yet.
	err := s.network.Publish(peer.TopicSuspect, strconv.FormatUint(version, 10), version, toldFor, crashes)
	if err != nil {
		s.log.Warn("Peers not told of crashes.", zap.Error(err))
	}
}
