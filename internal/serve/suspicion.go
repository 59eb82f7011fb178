package serve

import (
	"context"
	"encoding/json"
	"errors"
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
)

// suspicion finds the requests that crash the targets that run them, together
// with the other processes: their callers send them again, anywhere. It
// implements run.Suspicion.
type suspicion struct {
	log     *zap.Logger
	network peer.Network
	table   *suspect.Table
	life    context.Context
}

var _ run.Suspicion = (*suspicion)(nil)

func newSuspicion(life context.Context, log *zap.Logger, network peer.Network) *suspicion {
	s := &suspicion{log: log, network: network, table: suspect.NewTable(string(network.Self().Incarnation)), life: life}
	network.Subscribe(peer.TopicSuspect, s.heard)
	return s
}

func (s *suspicion) heard(item peer.Item) {
	var e suspect.Evidence
	if err := json.Unmarshal(item.Body, &e); err != nil {
		s.log.Warn("A peer's evidence can't be read.", zap.String("member", string(item.Origin)), zap.Error(err))
		return
	}
	s.table.Heard(e, time.Now())
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
	now := time.Now()
	evidence := s.table.Crashed(f, address, now)
	s.log.Warn("Target died under a request.", zap.String("address", address), zap.String("fingerprint", string(f)),
		zap.Int("crashes", len(evidence.Crashes)))
	err := s.network.Publish(peer.TopicSuspect, string(f), uint64(now.UnixNano()), suspect.Memory, evidence)
	if err != nil {
		s.log.Warn("Peers not told of a crash.", zap.Error(err))
	}
}
