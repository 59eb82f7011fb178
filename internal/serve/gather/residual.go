package gather

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/vanillagate/vanillagate/internal/serve/leaveout"
	"github.com/vanillagate/vanillagate/internal/serve/plan"
	"github.com/vanillagate/vanillagate/internal/serve/pool"
)

// TargetState is what a stage target states about itself.
type TargetState struct {
	// Waiting and Busy are the numbers of calls that wait and that run.
	Waiting, Busy int
	// FreeBytes is the free space of the result buffer. FreeUnknown means that the target doesn't
	// state it.
	FreeBytes   int
	FreeUnknown bool
}

// StateClient is a StageClient of targets that can state their state.
type StateClient interface {
	// State asks a target for its state.
	State(ctx context.Context, target *pool.Target) (TargetState, error)
}

// stateTimeout bounds the call that asks a target for its state. A later answer would come when
// the first calls here have shown whether the buffer has space.
const stateTimeout = 200 * time.Millisecond

// residualKeep returns how long residual results take space. Results that nobody fetches expire one
// after the other, and others are freed by their readers, of which a new gatherer isn't told. If the
// whole space counted for all of Batch.Keep, capacity would be missing after the death of one process.
func residualKeep(b *plan.Batch) time.Duration { return b.Keep / 2 }

// ownUse is what this process has at a target by its own account.
type ownUse struct {
	bytes int
	calls int
}

// max returns the larger of both uses. A target states its state at some time between the question
// and the answer; the larger use of that time avoids counting own results as foreign.
func (u ownUse) max(other ownUse) ownUse {
	return ownUse{bytes: max(u.bytes, other.bytes), calls: max(u.calls, other.calls)}
}

// residualBytes returns the space that others' results take in a buffer of the given size; 0 if the
// target doesn't state its free space.
func (t TargetState) residualBytes(size int, own ownUse) int {
	if t.FreeUnknown {
		return 0
	}
	return max(size-max(t.FreeBytes, 0)-own.bytes, 0)
}

// residualTime returns about how long others' calls take to end: half a call for the one that runs,
// and a whole one for each that waits. It is bounded as the time of an own call is.
func (t TargetState) residualTime(own ownUse, full time.Duration) time.Duration {
	calls := min(max(t.Busy, 0)+max(t.Waiting, 0)-own.calls, callTimeoutFactor)
	if calls <= 0 {
		return 0
	}
	return time.Duration(calls)*full - full/2
}

// readStates asks the targets of a shard for their state when this process begins to gather for it.
// Buffers may be full of results, and targets busy with calls, of a gatherer that died; without
// this, items would be sent to targets that have no space, and their inputs lost. Each target is
// asked once, since an answer costs it as much as a health check. Nothing waits for the answers.
// The caller holds mu.
func (g *Gatherer) readStates(s *shard, batch *plan.Batch, now time.Time) {
	client, able := g.client.(StateClient)
	if s.statesRead || !able || g.leaveOut.Has(leaveout.ResidualState) {
		return
	}
	var targets []*pool.Target
	var before []ownUse
	for _, v := range g.availableTargets(s, now) {
		s.statesRead = true
		if v.RateLimit <= 0 { // a target with a rate gets few calls, and those to run items
			targets = append(targets, v.Target)
			before = append(before, g.ownUseOf(s, v.Target, now))
		}
	}
	if len(targets) > 0 {
		go g.takeOver(client, s, batch, targets, before)
	}
}

// ownUseOf returns what this process has at a target. The caller holds mu.
func (g *Gatherer) ownUseOf(s *shard, target *pool.Target, now time.Time) ownUse {
	b := g.bufferOf(s, target.Address, now)
	use := ownUse{bytes: b.bytes - b.foreign()}
	if call := s.activeCalls[target.ID]; call != nil {
		use.bytes += call.bytes
		use.calls = 1
	}
	return use
}

// takeOver asks targets for their state and takes account of the answers as they come.
func (g *Gatherer) takeOver(client StateClient, s *shard, batch *plan.Batch, targets []*pool.Target, before []ownUse) {
	type found struct {
		answered, calls bool
		bytes           int
	}
	answers := make(chan found, len(targets))
	for i, target := range targets {
		go func() {
			ctx, cancel := context.WithTimeout(g.life, stateTimeout)
			defer cancel()
			state, err := client.State(ctx, target)
			if err != nil {
				answers <- found{}
				return
			}
			bytes, took := g.addResidual(s, batch, target, state, before[i], time.Now())
			answers <- found{answered: true, calls: took > 0, bytes: bytes}
		}()
	}
	answered, busy, bytes := 0, 0, 0
	for range targets {
		f := <-answers
		bytes += f.bytes
		if f.answered {
			answered++
		}
		if f.calls {
			busy++
		}
	}
	g.mu.Lock()
	g.stats.StatesRead += answered
	g.stats.StatesUnanswered += len(targets) - answered
	g.stats.ResidualBytes += bytes
	g.stats.ResidualBusy += busy
	g.mu.Unlock()
	g.log.Info("Began to gather for a shard.", zap.String("service", s.Service), zap.String("zone", s.Zone), zap.Int("part", s.Part),
		zap.Int("targets", len(targets)), zap.Int("answered", answered), zap.Int("busy_with_others", busy), zap.Int("others_bytes", bytes))
}

// addResidual counts the results and calls of others at a target, and returns their size and how
// long the calls take.
func (g *Gatherer) addResidual(s *shard, batch *plan.Batch, target *pool.Target, state TargetState, before ownUse, now time.Time) (int, time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	own := before.max(g.ownUseOf(s, target, now))
	bytes, took := state.residualBytes(batch.BufferBytes, own), state.residualTime(own, batch.MaxCallTime())
	if bytes > 0 {
		g.bufferOf(s, target.Address, now).addResidual(bytes, now, now.Add(residualKeep(batch)))
	}
	if took == 0 {
		return bytes, took
	}
	if call := s.activeCalls[target.ID]; call != nil {
		call.ends = call.ends.Add(took)
		return bytes, took
	}
	call := &activeCall{ends: now.Add(took)}
	s.activeCalls[target.ID] = call
	time.AfterFunc(took, func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		if s.activeCalls[target.ID] != call {
			return
		}
		delete(s.activeCalls, target.ID)
		if batch := g.batch(s.Shard); batch != nil {
			g.dispatch(s, batch, time.Now())
		}
	})
	return bytes, took
}
