package run

import (
	"context"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/vanillagate/vanillagate/internal/serve/origins"
	"github.com/vanillagate/vanillagate/internal/serve/plan"
	"github.com/vanillagate/vanillagate/internal/serve/pool"
	"github.com/vanillagate/vanillagate/internal/serve/servetest"
)

// rowsInMemory is a table for origins.
type rowsInMemory struct {
	mu   sync.Mutex // guards the fields below
	rows map[string]origins.Row
	// readErr and writeErr fail calls.
	readErr, writeErr error
}

// change changes the table or its faults.
func (r *rowsInMemory) change(fn func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fn()
}

func (r *rowsInMemory) moment() origins.Moment {
	return origins.Moment{Era: 1, Now: time.Duration(time.Now().UnixNano())}
}

func (r *rowsInMemory) Era() uint64 { return 1 }

func (r *rowsInMemory) ReadOrigins(context.Context) (origins.Contents, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return origins.Contents{Moment: r.moment(), Rows: slices.Collect(maps.Values(r.rows))}, r.readErr
}

func (r *rowsInMemory) WriteOrigins(_ context.Context, changes origins.Changes) (origins.Moment, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.writeErr != nil {
		return origins.Moment{}, r.writeErr
	}
	for _, row := range changes.Puts {
		r.rows[row.Key] = row
	}
	return r.moment(), nil
}

// keptExecutor is an executor of a process whose origins are kept in a table. It joins a system that has run before.
func keptExecutor(ctx context.Context, targets *scriptedTargets, rows *rowsInMemory, versions ...string) *Executor {
	return keptMember(ctx, targets, rows, &servetest.Cluster{Delay: time.Millisecond}, versions...)
}

// keptMember is keptExecutor for a process of a cluster.
func keptMember(ctx context.Context, targets *scriptedTargets, rows origins.Rows, cluster *servetest.Cluster, versions ...string) *Executor {
	node := cluster.Add(fmt.Sprint("vm-", cluster.Size()), "a")
	registry := origins.New(ctx, zap.NewNop(), node)
	e := versionedExecutor(targets, registry, versions...)
	e.Table.StartedLate()
	e.Metrics = &Metrics{Registry: metrics.NewRegistry()}
	ledger := origins.NewLedger(ctx, origins.LedgerOptions{Log: zap.NewNop(), Network: node, Rows: rows, Versions: e.Table})
	registry.UseLedger(ledger)
	go ledger.Run(ctx)
	return e
}

func begin(e *Executor, id string) *Reply {
	return e.Run(context.Background(), &Request{ID: id, Host: "h", Path: "/x", URI: "/x", Method: "GET", Arrived: time.Now()})
}

// Guards against take-ups after the death of all processes that are guessed, wait, or are refused though the store knows.
func TestStreamTakenUpAfterAllProcessesDiedGoesOnByTheStore(t *testing.T) {
	const by = `vanillagate_stream_origins_known{by="`
	for _, c := range []struct {
		name          string
		before, after []string
		unknown       bool // the caller names a stream that nobody recorded
		emptied       bool // the table has no rows
		readErr       error
		reason        Reason
		comeBack      bool
		counter       string
	}{
		{name: "both versions stay", before: []string{"v1", "v2"}, after: []string{"v1", "v2"}, counter: by + `store"}`},
		{name: "its version has left", before: []string{"v1", "v2"}, after: []string{"v2"}, reason: VersionGone},
		{name: "the other has left", before: []string{"v1", "v2"}, after: []string{"v1"}, counter: by + `store"}`},
		{name: "not recorded, the other has left", before: []string{"v1", "v2"}, after: []string{"v1"}, unknown: true, reason: UnknownVersion},
		{name: "not recorded, replaced", before: []string{"v1"}, after: []string{"v2"}, unknown: true, reason: UnknownVersion},
		{name: "not recorded, both stay", before: []string{"v1", "v2"}, after: []string{"v1", "v2"}, unknown: true, reason: UnknownVersion},
		{name: "not recorded, one version", before: []string{"v1"}, after: []string{"v1"}, unknown: true, counter: by + `only version"}`},
		{name: "no rows", before: []string{"v1"}, after: []string{"v1"}, emptied: true, reason: UnknownVersion},
		{name: "store can't be read", before: []string{"v1", "v2"}, after: []string{"v1", "v2"}, readErr: origins.ErrRejected, reason: UnknownVersion, comeBack: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				rows := &rowsInMemory{rows: map[string]origins.Row{}}
				first, kill := context.WithCancel(context.Background())
				e := keptExecutor(first, &scriptedTargets{body: "id: 1\ndata: e\n\n"}, rows, c.before...)
				time.Sleep(3 * time.Minute)
				e.Origins.Record(origins.KeyOf("", "begun-at-v1"), origins.Origin{Service: "s", Version: "v1"}, time.Now().Add(time.Minute))
				time.Sleep(time.Second)
				kill()
				time.Sleep(time.Second)
				rows.change(func() {
					if c.emptied {
						clear(rows.rows)
					}
					rows.readErr = c.readErr
				})
				second, kill := context.WithCancel(context.Background())
				targets := &scriptedTargets{body: "id: 5\ndata: e\n\n"}
				e = keptExecutor(second, targets, rows, c.after...)
				resumes := "begun-at-v1"
				if c.unknown {
					resumes = "unknown"
				}
				start := time.Now()
				if !c.comeBack { // until others would be known
					time.Sleep(3 * time.Second)
					start = time.Now()
				}
				reply := takeUp(e, resumes)
				assert.Equal(t, reply.Reason, c.reason)
				assert.Equal(t, reply.RetryAfter > 0, c.comeBack)
				assert.Assert(t, time.Since(start) < 600*time.Millisecond)
				if c.reason == "" {
					_, err := io.ReadAll(reply.Answer.Body)
					assert.NilError(t, err)
					assert.Assert(t, strings.HasPrefix(targets.arrivals[0], "v1"))
					assert.Equal(t, metrics.GetOrRegisterCounter(c.counter, e.Metrics.Registry).Count(), int64(1))
				} else {
					assert.Equal(t, len(targets.arrivals), 0)
				}
				kill()
				time.Sleep(5 * time.Second) // until all calls have ended
			})
		})
	}
}

// Guards against streams that a process refuses for good because it doesn't know yet whom to ask.
func TestProcessThatKnowsNoOthersYetTellsCallersToComeBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rows := &rowsInMemory{rows: map[string]origins.Row{}}
		ctx, kill := context.WithCancel(context.Background())
		e := keptExecutor(ctx, &scriptedTargets{}, rows, "v1", "v2")
		time.Sleep(time.Second)
		reply := takeUp(e, "unknown")
		assert.Equal(t, reply.Reason, UnknownVersion)
		assert.Assert(t, reply.RetryAfter > 0)
		time.Sleep(2 * time.Second)
		reply = takeUp(e, "unknown")
		assert.Equal(t, reply.Reason, UnknownVersion)
		assert.Equal(t, reply.RetryAfter, time.Duration(0))
		kill()
		time.Sleep(5 * time.Second) // until all calls have ended
	})
}

// Guards against streams that are refused for good while the row of the only version is being written.
func TestStreamOfTheOnlyVersionIsToldToComeBackUntilItIsCertain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rows := &rowsInMemory{rows: map[string]origins.Row{}, writeErr: origins.ErrRejected}
		ctx, kill := context.WithCancel(context.Background())
		targets := &scriptedTargets{body: "id: 5\ndata: e\n\n"}
		e := keptExecutor(ctx, targets, rows, "v1")
		time.Sleep(3 * time.Minute) // until no stream of an earlier release can be taken up
		reply := takeUp(e, "unknown")
		assert.Equal(t, reply.Reason, UnknownVersion)
		assert.Assert(t, reply.RetryAfter > 0)
		rows.change(func() { rows.writeErr = nil })
		time.Sleep(5 * time.Second)
		reply = takeUp(e, "unknown")
		assert.Equal(t, reply.Status, 200)
		_, err := io.ReadAll(reply.Answer.Body)
		assert.NilError(t, err)
		kill()
		time.Sleep(5 * time.Second) // until all calls have ended
	})
}

// Guards against streams that begin at a version of which the store doesn't know, and against refusals if there is no other.
func TestStreamsBeginAtVersionsThatTheStoreHas(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rows := &rowsInMemory{rows: map[string]origins.Row{}}
		ctx, kill := context.WithCancel(context.Background())
		targets := &scriptedTargets{body: "id: 1\ndata: e\n\n"}
		e := keptExecutor(ctx, targets, rows, "v1")
		time.Sleep(3 * time.Second)
		rows.change(func() { rows.writeErr = origins.ErrRejected })
		entry := func(id, version string, removed bool) pool.Change {
			return pool.Change{Removed: removed, Entry: pool.Entry{
				ID: id, Service: "s", Address: version + ":1", Version: version, Slots: 8, State: pool.Ready, Revision: 3,
			}}
		}
		e.Table.Apply([]pool.Change{entry("new-1", "v2", false), entry("new-2", "v2", false)}, 3, time.Now())
		time.Sleep(time.Second)
		read := func(n int) {
			t.Helper()
			for i := range n {
				reply := begin(e, strings.Repeat("x", 1+i))
				assert.Equal(t, reply.Status, 200)
				_, err := io.ReadAll(reply.Answer.Body)
				assert.NilError(t, err)
			}
		}
		read(20)
		for _, address := range targets.arrivals {
			assert.Assert(t, strings.HasPrefix(address, "v1"), address)
		}
		unadmitted := metrics.GetOrRegisterCounter("streams.unadmitted", e.Metrics.Registry)
		assert.Equal(t, unadmitted.Count(), int64(0))
		change := entry("t-0", "v1", true)
		change.Revision = 4
		e.Table.Apply([]pool.Change{change}, 4, time.Now())
		time.Sleep(time.Second)
		read(5)
		assert.Equal(t, unadmitted.Count(), int64(5))
		rows.change(func() { rows.writeErr = nil })
		time.Sleep(10 * time.Second)
		read(5)
		assert.Equal(t, unadmitted.Count(), int64(5))
		kill()
		time.Sleep(5 * time.Second) // until all calls have ended
	})
}

// Guards against a stream whose beginning is in the store, and that goes on at another service's only version.
func TestRecordInTheStoreComesBeforeTheOnlyVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rows := &rowsInMemory{rows: map[string]origins.Row{}}
		first, kill := context.WithCancel(context.Background())
		e := keptExecutor(first, &scriptedTargets{body: "id: 1\ndata: e\n\n"}, rows, "v1")
		time.Sleep(3 * time.Minute)
		e.Origins.Record(origins.KeyOf("", "begun-elsewhere"), origins.Origin{Service: "s2", Version: "w1"}, time.Now().Add(time.Minute))
		time.Sleep(time.Second)
		kill()
		time.Sleep(time.Second)
		second, kill := context.WithCancel(context.Background())
		targets := &scriptedTargets{body: "id: 5\ndata: e\n\n"}
		e = keptExecutor(second, targets, rows, "v1")
		time.Sleep(3 * time.Second)
		reply := takeUp(e, "begun-elsewhere")
		assert.Equal(t, reply.Reason, VersionGone)
		assert.Equal(t, len(targets.arrivals), 0)
		kill()
		time.Sleep(5 * time.Second)
	})
}

// rowsOutOfReach is a table that this process doesn't reach while others do.
type rowsOutOfReach struct {
	origins.Rows
	isAway atomic.Bool
}

func (r *rowsOutOfReach) ReadOrigins(ctx context.Context) (origins.Contents, error) {
	if r.isAway.Load() {
		<-ctx.Done()
		return origins.Contents{}, ctx.Err()
	}
	return r.Rows.ReadOrigins(ctx)
}

// Guards against streams that go on at the only version of a list that is old although it seems to be current.
func TestOnlyVersionIsCertainOnlyByAReadSinceTheRequest(t *testing.T) {
	for _, c := range []struct {
		name string
		// joined means that another process has begun streams at a further version, which this one hasn't seen.
		joined bool
		// away means that the store doesn't answer this process, withPeer that another one reads for it.
		away, withPeer bool
		// anonymous callers don't name the stream.
		anonymous bool
		reason    Reason
		comeBack  bool
	}{
		{name: "only version"},
		{name: "only version, not named", anonymous: true},
		{name: "another has joined", joined: true, reason: UnknownVersion},
		{name: "another has joined, not named", joined: true, anonymous: true, reason: UnknownVersion},
		{name: "store doesn't answer", away: true, reason: UnknownVersion, comeBack: true},
		{name: "store doesn't answer, not named", away: true, anonymous: true, reason: UnknownVersion, comeBack: true},
		{name: "a peer reads", away: true, withPeer: true},
		{name: "a peer reads, another has joined", away: true, withPeer: true, joined: true, reason: UnknownVersion},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, kill := context.WithCancel(context.Background())
				table := &rowsInMemory{rows: map[string]origins.Row{}}
				own := &rowsOutOfReach{Rows: table}
				targets, cluster := &scriptedTargets{body: "id: 5\ndata: e\n\n"}, &servetest.Cluster{Delay: time.Millisecond}
				e := keptMember(ctx, targets, own, cluster, "v1")
				e.ContactAge = func(time.Time) time.Duration { return 0 }
				if c.withPeer {
					keptMember(ctx, &scriptedTargets{}, table, cluster, "v1")
				}
				time.Sleep(3 * time.Minute) // until the versions of the table are complete
				if c.joined {
					keptExecutor(ctx, &scriptedTargets{}, table, "v1", "v2")
					time.Sleep(time.Second)
				}
				own.isAway.Store(c.away)
				resumes := "unknown"
				if c.anonymous {
					resumes = ""
				}
				start := time.Now()
				reply := takeUp(e, resumes)
				assert.Equal(t, reply.Reason, c.reason)
				assert.Equal(t, reply.RetryAfter > 0, c.comeBack)
				assert.Assert(t, time.Since(start) <= time.Second)
				if c.reason == "" {
					_, err := io.ReadAll(reply.Answer.Body)
					assert.NilError(t, err)
					assert.Assert(t, strings.HasPrefix(targets.arrivals[0], "v1"))
				} else {
					assert.Equal(t, len(targets.arrivals), 0)
				}
				kill()
				time.Sleep(5 * time.Second) // until all calls have ended
			})
		})
	}
}

// Guards against streams that nobody can resume, because no other process knew of them while there was one version.
func TestStreamsOfTheOnlyVersionAreKnownToOtherProcesses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, kill := context.WithCancel(context.Background())
		table, cluster := &rowsInMemory{rows: map[string]origins.Row{}}, &servetest.Cluster{Delay: time.Millisecond}
		targets := &scriptedTargets{body: "id: 5\ndata: e\n\n"}
		first := keptMember(ctx, targets, table, cluster, "v1")
		again := keptMember(ctx, targets, table, cluster, "v1", "v2")
		time.Sleep(3 * time.Minute)
		reply := begin(first, "begun")
		_, err := io.ReadAll(reply.Answer.Body)
		assert.NilError(t, err)
		time.Sleep(100 * time.Millisecond)
		reply = takeUp(again, "begun")
		assert.Equal(t, reply.Status, 200)
		_, err = io.ReadAll(reply.Answer.Body)
		assert.NilError(t, err)
		assert.Assert(t, strings.HasPrefix(targets.arrivals[1], "v1"))
		kill()
		time.Sleep(5 * time.Second) // until all calls have ended
	})
}

// Guards against streams that go on by a list or a configuration that was old when the request arrived.
func TestOnlyVersionIsCertainOnlyWithWhatTheStoreHasByNow(t *testing.T) {
	joins := func(e *Executor) bool {
		e.Table.Apply([]pool.Change{{Entry: pool.Entry{
			ID: "new", Service: "s", Address: "v2:1", Version: "v2", Slots: 8, State: pool.Ready, Revision: 3,
		}}}, 3, time.Now())
		return true
	}
	moves := func(e *Executor) bool {
		old := e.Plans.Current()
		moved := plan.Plan{Version: old.Version + 1, Services: []plan.Service{{Name: "s"}, {Name: "elsewhere"}}, Routes: slices.Clone(old.Routes)}
		moved.Routes[0].Split = []plan.Share{{Service: "elsewhere", Weight: 1}}
		e.Plans.Apply(&moved)
		back := plan.Plan{Version: moved.Version + 1, Services: moved.Services, Routes: slices.Clone(old.Routes)}
		e.Plans.Apply(&back)
		return true
	}
	for _, c := range []struct {
		name     string
		catchUp  func(*Executor) bool
		reason   Reason
		comeBack bool
	}{
		{name: "nothing new", catchUp: func(*Executor) bool { return true }},
		{name: "changes can't be had", catchUp: func(*Executor) bool { return false }, reason: UnknownVersion, comeBack: true},
		{name: "a version has joined and has no row yet", catchUp: joins, reason: UnknownVersion},
		{name: "the route has moved and is back", catchUp: moves, reason: UnknownVersion},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, kill := context.WithCancel(context.Background())
				targets := &scriptedTargets{body: "id: 5\ndata: e\n\n"}
				e := keptExecutor(ctx, targets, &rowsInMemory{rows: map[string]origins.Row{}}, "v1")
				time.Sleep(3 * time.Minute)
				e.CatchUp = func(context.Context) bool { return c.catchUp(e) }
				reply := takeUp(e, "unknown")
				assert.Equal(t, reply.Reason, c.reason)
				if c.comeBack {
					assert.Assert(t, reply.RetryAfter > 0)
				}
				if c.reason == "" {
					_, err := io.ReadAll(reply.Answer.Body)
					assert.NilError(t, err)
				} else {
					assert.Equal(t, len(targets.arrivals), 0)
				}
				kill()
				time.Sleep(5 * time.Second) // until all calls have ended
			})
		})
	}
}

// Guards against a stream that goes on at the service to which its route has moved since it began.
func TestStreamOfARouteThatHasMovedIsNotResumedElsewhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, kill := context.WithCancel(context.Background())
		targets := &scriptedTargets{body: "id: 5\ndata: e\n\n"}
		e := keptExecutor(ctx, targets, &rowsInMemory{rows: map[string]origins.Row{}}, "v1")
		time.Sleep(3 * time.Minute)
		old := e.Plans.Current()
		moved := plan.Plan{Version: old.Version + 1, Services: []plan.Service{{Name: "s2"}}, Routes: slices.Clone(old.Routes)}
		moved.Routes[0].Split = []plan.Share{{Service: "s2", Weight: 1}}
		e.Table.Apply([]pool.Change{{Entry: pool.Entry{
			ID: "other", Service: "s2", Address: "v1:9", Version: "v1", Slots: 8, State: pool.Ready, Revision: 3,
		}}}, 3, time.Now())
		e.Plans.Apply(&moved)
		time.Sleep(time.Second)
		reply := takeUp(e, "unknown")
		assert.Equal(t, reply.Reason, UnknownVersion)
		assert.Equal(t, len(targets.arrivals), 0)
		kill()
		time.Sleep(5 * time.Second) // until all calls have ended
	})
}

// Guards against streams that are refused for good at a process that hasn't heard yet that their route has moved.
func TestStreamGoesOnAtTheServiceToWhichItsRouteHasMoved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, kill := context.WithCancel(context.Background())
		targets := &scriptedTargets{body: "id: 5\ndata: e\n\n"}
		e := keptExecutor(ctx, targets, &rowsInMemory{rows: map[string]origins.Row{}}, "v1")
		time.Sleep(3 * time.Minute)
		e.Origins.Record(origins.KeyOf("", "begun-elsewhere"), origins.Origin{Service: "s2", Version: "w1"}, time.Now().Add(time.Minute))
		e.CatchUp = func(context.Context) bool {
			old := e.Plans.Current()
			moved := plan.Plan{Version: old.Version + 1, Services: []plan.Service{{Name: "s"}, {Name: "s2"}}, Routes: slices.Clone(old.Routes)}
			moved.Routes[0].Split = []plan.Share{{Service: "s2", Weight: 1}}
			e.Table.Apply([]pool.Change{{Entry: pool.Entry{
				ID: "other", Service: "s2", Address: "w1:9", Version: "w1", Slots: 8, State: pool.Ready, Revision: 3,
			}}}, 3, time.Now())
			return e.Plans.Apply(&moved)
		}
		reply := takeUp(e, "begun-elsewhere")
		assert.Equal(t, reply.Status, 200)
		_, err := io.ReadAll(reply.Answer.Body)
		assert.NilError(t, err)
		assert.DeepEqual(t, targets.arrivals, []string{"w1:9"})
		kill()
		time.Sleep(5 * time.Second) // until all calls have ended
	})
}
