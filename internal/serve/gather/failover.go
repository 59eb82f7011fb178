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
	// firstProbe is the delay before a gatherer that failed to answer is probed. The delay
	// doubles with each failed probe, up to lastProbe. The first is short because a connection
	// that was closed since both sides had opened one works again at once.
	firstProbe = 50 * time.Millisecond
	lastProbe  = time.Second
)

// failOver marks a gatherer as unresponsive, so that it gets no items until it answers a probe.
// It isn't excluded for a fixed time, because two processes that gather for one shard fill each
// other's targets without knowing of each other.
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

// probe calls an unresponsive gatherer until it answers or is no longer a member, and then
// clears its mark.
func (r *Requester) probe(member peer.Incarnation) {
	life := r.own.life
	since := time.Now()
	for pause := firstProbe; wait.For(life, pause); pause = min(2*pause, lastProbe) {
		if !r.isMember(member) || r.responds(life, member) {
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

// responds reports whether a gatherer answers a check of an empty list of items.
func (r *Requester) responds(life context.Context, member peer.Incarnation) bool {
	ctx, cancel := context.WithTimeout(life, ackTimeout)
	defer cancel()
	var unknown []Key
	return r.network.Call(ctx, member, methodCheck, checkCall{}, &unknown) == nil
}
