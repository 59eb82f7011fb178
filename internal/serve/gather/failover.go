package gather

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/vanillagate/vanillagate/internal/peer"
	"github.com/vanillagate/vanillagate/internal/serve/leaveout"
	"github.com/vanillagate/vanillagate/internal/wait"
)

const (
	// firstProbe is how long after it failed to answer a gatherer is probed; the
	// pause doubles with each probe that fails, up to lastProbe. A connection that
	// was closed because both sides had opened one works again at once.
	firstProbe = 50 * time.Millisecond
	lastProbe  = time.Second
)

// failOver has a gatherer get no items until it answers again. Two processes that
// gather for one shard fill each other's targets unawares, so it is probed instead of
// being left alone for a fixed time.
func (r *Requester) failOver(member peer.Incarnation, err error) {
	if r.leaveOut.Has(leaveout.Failover) {
		return
	}
	r.mu.Lock()
	known := r.unresponsive[member]
	r.unresponsive[member] = true
	r.mu.Unlock()
	if known {
		return
	}
	r.log.Warn("Gatherer doesn't answer; failing over.", zap.String("member", string(member)), zap.Error(err))
	go r.probe(member)
}

// probe waits until a gatherer answers, or is no member any more.
func (r *Requester) probe(member peer.Incarnation) {
	life := r.own.life
	since := time.Now()
	for pause := firstProbe; wait.For(life, pause); pause = min(2*pause, lastProbe) {
		if !r.isMember(member) || r.answers(life, member) {
			break
		}
	}
	r.mu.Lock()
	delete(r.unresponsive, member)
	r.mu.Unlock()
	r.log.Info("Gatherer answers again.", zap.String("member", string(member)), zap.Duration("after", time.Since(since)))
}

func (r *Requester) isMember(id peer.Incarnation) bool {
	return slices.ContainsFunc(r.network.View().Members, func(m peer.Member) bool { return m.Incarnation == id })
}

// answers asks a gatherer after no items.
func (r *Requester) answers(life context.Context, member peer.Incarnation) bool {
	ctx, cancel := context.WithTimeout(life, ackTimeout)
	defer cancel()
	var unknown []Key
	return r.network.Call(ctx, member, methodCheck, checkCall{}, &unknown) == nil
}
