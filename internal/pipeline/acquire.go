package pipeline

import (
	"context"
	"net"
	"time"

	"github.com/vanillagate/vanillagate/internal/config"
	"github.com/vanillagate/vanillagate/internal/crashes"
	"github.com/vanillagate/vanillagate/internal/directory"
	"github.com/vanillagate/vanillagate/internal/problem"
	"github.com/vanillagate/vanillagate/internal/suspect"
	"github.com/vanillagate/vanillagate/internal/target"
	"github.com/vanillagate/vanillagate/internal/wait"
)

const (
	// quarantinePollInterval is how often a suspect checks whether it can run
	// isolated.
	quarantinePollInterval = 10 * time.Millisecond
	// shareTargetsAfter is when a suspect no longer waits for the targets
	// assigned to this process and may use any: the assigned ones may be down
	// for a reason that the peers don't know.
	shareTargetsAfter = time.Second
)

// acquire picks a target and counts the attempt; it returns nil if there is
// none. A suspect waits until it may run, and for a target without another
// suspect. units is the size of the call, in tokens for a generation.
func (r *stageRun) acquire(ctx context.Context, hedge bool, units int, prefillSaved func(string) time.Duration) *attempt {
	pool := r.executor.Targets.Pool(r.pool.Name)
	if pool == nil || r.executor.Suspicion.Convicted(r.traits) {
		return nil
	}
	permission := r.awaitPermission(ctx)
	want := directory.AcquireRequest{Exclude: r.failedTargets, Units: units, PrefillSaved: prefillSaved}
	if r.pool.Kind == config.TargetEngine {
		want.PackingDegree, want.MaxCallTime = r.state.req.Pack, remaining(ctx)/packTimeDivisor
	}
	var lease *directory.Lease
	switch permission {
	case suspect.Unrestricted:
		lease = r.acquireUnrestricted(pool, want)
	case suspect.Isolated:
		lease = r.acquireIsolated(ctx, pool, want)
	}
	if lease == nil {
		r.executor.Suspicion.ReleasePermission(r.state.req.Fingerprint(), permission)
		return nil
	}
	r.attempts++
	a := &attempt{number: r.attempts, hedge: hedge, lease: lease, since: time.Now()}
	r.cancelOnEvidence(ctx, a, permission)
	return a
}

// awaitPermission waits until the request may run or is denied.
func (r *stageRun) awaitPermission(ctx context.Context) suspect.Permission {
	for {
		permission := r.executor.Suspicion.RequestPermission(r.state.req.Fingerprint())
		if permission != suspect.MustWait || !wait.For(ctx, quarantinePollInterval) {
			return permission
		}
	}
}

func (r *stageRun) acquireUnrestricted(pool *directory.Pool, want directory.AcquireRequest) *directory.Lease {
	if lease := pool.Acquire(want, time.Now()); lease != nil {
		return lease
	}
	// Every other target failed this request or is out of use; try the failed
	// ones again.
	want.Exclude = nil
	return pool.Acquire(want, time.Now())
}

func (r *stageRun) acquireIsolated(ctx context.Context, pool *directory.Pool, want directory.AcquireRequest) *directory.Lease {
	since := time.Now()
	for {
		want.QuarantineFilter = r.executor.Suspicion.Quarantine(r.pool.Name)
		if time.Since(since) > shareTargetsAfter {
			want.QuarantineFilter = anyTarget
		}
		if lease := pool.Acquire(want, time.Now()); lease != nil {
			return lease
		}
		mayContinue := r.executor.Suspicion.MayContinue(r.state.req.Fingerprint(), suspect.Isolated)
		if !mayContinue || !wait.For(ctx, quarantinePollInterval) {
			return nil
		}
	}
}

// packTimeDivisor limits packing: a call that is expected to need more than
// 1/packTimeDivisor of its remaining time at a busy engine goes to a less
// loaded one.
const packTimeDivisor = 2

func anyTarget(string) bool { return true }

// cancelOnEvidence cancels an attempt when new evidence forbids it. The check
// after the watch is set up catches evidence that came in between.
func (r *stageRun) cancelOnEvidence(ctx context.Context, a *attempt, permission suspect.Permission) {
	fingerprint := r.state.req.Fingerprint()
	ctx, cancel := context.WithCancelCause(ctx)
	check := func() {
		if !r.executor.Suspicion.MayContinue(fingerprint, permission) {
			cancel(target.ErrWithdrawn)
		}
	}
	stop := r.executor.Suspicion.Watch(fingerprint, check)
	check()
	a.ctx = ctx
	a.release = func() {
		stop()
		cancel(nil)
		r.executor.Suspicion.ReleasePermission(fingerprint, permission)
	}
}

func (r *stageRun) suspected() bool {
	return r.executor.Suspicion.Check(r.state.req.Fingerprint()) == suspect.Suspected
}

// stageTraits returns what the calls of a stage have in common with others that
// crash their targets: their request, and the documents that they send. A target of
// another kind may survive the same.
func stageTraits(req *Request, kind config.TargetKind, docs []string) crashes.Traits {
	var parts []string
	if kind == config.TargetEngine || kind == config.TargetReranker {
		for _, doc := range docs {
			parts = append(parts, string(kind)+" "+doc)
		}
	}
	return crashes.NewTraits(crashes.ContentTrait(string(kind), req.Customer, req.Pipeline.Name, req.Input), parts)
}

func (r *stageRun) callTo(address string) crashes.Call {
	return crashes.Call{RequestID: r.state.req.ID, Traits: r.traits, Target: address, Address: address}
}

// crashProbeTimeout bounds the check whether a target died.
const crashProbeTimeout = 200 * time.Millisecond

// recordFailure records a failed attempt and suspects the request if the target
// died while running it. It returns false if the request is convicted.
func (r *stageRun) recordFailure(ctx context.Context, f *target.Failure, address string) bool {
	r.mayHaveRun = r.mayHaveRun || f.Execution != problem.NotRun
	if f.Kind == target.FailedCancelled {
		return true // not the target's fault
	}
	if f.Kind != target.FailedWithdrawn {
		r.failedTargets = append(r.failedTargets, address)
	}
	mayHaveDied := f.Kind == target.FailedBroken || f.Kind == target.FailedWithdrawn
	died := mayHaveDied && f.Execution != problem.NotRun && ctx.Err() == nil && !acceptsConnections(address)
	fingerprint := r.state.req.Fingerprint()
	if died {
		r.executor.Suspicion.RecordCrash(fingerprint, address)
		r.executor.Suspicion.Crashed(r.callTo(address))
	}
	return r.executor.Suspicion.Check(fingerprint) != suspect.Convicted
}

// acceptsConnections reports whether a target still accepts connections. A
// broken connection alone is not a crash.
func acceptsConnections(address string) bool {
	conn, err := net.DialTimeout("tcp", address, crashProbeTimeout)
	if err != nil {
		return false
	}
	_ = conn.Close()
	return true
}
