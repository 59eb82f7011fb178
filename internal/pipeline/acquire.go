package pipeline

import (
	"context"
	"net"
	"time"

	"github.com/vanillagate/vanillagate/internal/config"
	"github.com/vanillagate/vanillagate/internal/directory"
	"github.com/vanillagate/vanillagate/internal/problem"
	"github.com/vanillagate/vanillagate/internal/suspect"
	"github.com/vanillagate/vanillagate/internal/target"
	"github.com/vanillagate/vanillagate/internal/wait"
)

const (
	// quarantineWait is how often a suspect looks whether it can run alone.
	quarantineWait = 10 * time.Millisecond
	// shareAfter is when a suspect no longer waits for one of the targets that
	// this process may use: they may be down for a reason unknown to the peers.
	shareAfter = time.Second
)

// acquire picks a target and counts the attempt; nil where there is none. A
// suspect waits until it may run, and for a target without another suspect.
func (r *stageRun) acquire(ctx context.Context, hedge bool, units int, saved func(string) time.Duration) *attempt {
	pool := r.x.Targets.Pool(r.pool.Name)
	if pool == nil {
		return nil
	}
	leave := r.mayRun(ctx)
	want := directory.AcquireRequest{Exclude: r.failed, Units: units, PrefillSaved: saved}
	if r.pool.Kind == config.TargetEngine {
		want.PackingDegree, want.MaxCallTime = r.w.req.Pack, remaining(ctx)/packTimeShare
	}
	var lease *directory.Lease
	switch leave {
	case suspect.Unrestricted:
		lease = r.free(pool, want)
	case suspect.Isolated:
		lease = r.alone(ctx, pool, want)
	}
	if lease == nil {
		r.x.Suspicion.ReleasePermission(r.w.req.Fingerprint(), leave)
		return nil
	}
	r.attempts++
	a := &attempt{number: r.attempts, hedge: hedge, lease: lease, since: time.Now()}
	r.guard(ctx, a, leave)
	return a
}

// mayRun waits until a request may run, or gives why it may not.
func (r *stageRun) mayRun(ctx context.Context) suspect.Permission {
	for {
		leave := r.x.Suspicion.RequestPermission(r.w.req.Fingerprint())
		if leave != suspect.MustWait || !wait.For(ctx, quarantineWait) {
			return leave
		}
	}
}

func (r *stageRun) free(pool *directory.Pool, want directory.AcquireRequest) *directory.Lease {
	if lease := pool.Acquire(want, time.Now()); lease != nil {
		return lease
	}
	// Every other target failed this request or is out: try them again.
	want.Exclude = nil
	return pool.Acquire(want, time.Now())
}

func (r *stageRun) alone(ctx context.Context, pool *directory.Pool, want directory.AcquireRequest) *directory.Lease {
	since := time.Now()
	for {
		want.QuarantineFilter = r.x.Suspicion.Quarantine(r.pool.Name)
		if time.Since(since) > shareAfter {
			want.QuarantineFilter = anyTarget
		}
		if lease := pool.Acquire(want, time.Now()); lease != nil {
			return lease
		}
		goOn := r.x.Suspicion.MayContinue(r.w.req.Fingerprint(), suspect.Isolated)
		if !goOn || !wait.For(ctx, quarantineWait) {
			return nil
		}
	}
}

// packTimeShare: a call that is expected to need more than half of its time at
// a full engine goes to an emptier one.
const packTimeShare = 2

func anyTarget(string) bool { return true }

// guard ends an attempt when evidence comes that forbids it. The look after
// the watch is set up catches what came in between.
func (r *stageRun) guard(ctx context.Context, a *attempt, leave suspect.Permission) {
	fingerprint := r.w.req.Fingerprint()
	ctx, cancel := context.WithCancel(ctx)
	look := func() {
		if !r.x.Suspicion.MayContinue(fingerprint, leave) {
			cancel()
		}
	}
	stop := r.x.Suspicion.Watch(fingerprint, look)
	look()
	a.ctx = ctx
	a.release = func() {
		stop()
		cancel()
		r.x.Suspicion.ReleasePermission(fingerprint, leave)
	}
}

func (r *stageRun) suspected() bool {
	return r.x.Suspicion.Check(r.w.req.Fingerprint()) == suspect.Suspected
}

// crashProbe bounds the look whether a target died.
const crashProbe = 200 * time.Millisecond

// blame notes a failed attempt and suspects the request where its target died
// under it. It gives false where the request is convicted.
func (r *stageRun) blame(ctx context.Context, f *target.Failure, address string) bool {
	r.sent = r.sent || f.Execution != problem.NotRun
	if f.Kind == target.FailedCancelled {
		return true // by the guard: the target is not to blame
	}
	r.failed = append(r.failed, address)
	died := f.Kind == target.FailedBroken && f.Execution != problem.NotRun && ctx.Err() == nil && !standing(address)
	fingerprint := r.w.req.Fingerprint()
	if died {
		r.x.Suspicion.RecordCrash(fingerprint, address)
	}
	return r.x.Suspicion.Check(fingerprint) != suspect.Convicted
}

// standing says whether a target still takes connections: a broken connection
// alone is no crash.
func standing(address string) bool {
	conn, err := net.DialTimeout("tcp", address, crashProbe)
	if err != nil {
		return false
	}
	_ = conn.Close()
	return true
}
