package origins

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/vanillagate/vanillagate/internal/serve/revision"
)

var errNoAnswer = errors.New("no answer")

// fakeRows is a table whose calls may fail.
type fakeRows struct {
	mu       sync.Mutex // guards the fields below
	rows     map[string]Row
	revision uint64
	era      uint64
	started  time.Time
	reads    int
	writes   int
	// readErr and writeErr fail calls. losesAnswers applies writes and fails them; late has the writes that failed
	// without an answer and may be applied later.
	readErr, writeErr error
	losesAnswers      bool
	late              []Changes
}

func newFakeRows() *fakeRows {
	return &fakeRows{rows: map[string]Row{}, era: 1, started: time.Now().Add(-time.Hour)}
}

func (f *fakeRows) moment() Moment { return Moment{Era: f.era, Now: time.Since(f.started)} }

func (f *fakeRows) Era() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.era
}

func (f *fakeRows) ReadOrigins(context.Context) (Contents, error) {
	time.Sleep(5 * time.Millisecond)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.reads++
	return Contents{Moment: f.moment(), Rows: slices.Collect(maps.Values(f.rows))}, f.readErr
}

func (f *fakeRows) WriteOrigins(_ context.Context, changes Changes) (Moment, error) {
	time.Sleep(5 * time.Millisecond)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.writes++
	if f.writeErr != nil {
		if errors.Is(f.writeErr, errNoAnswer) {
			f.late = append(f.late, changes)
		}
		return Moment{}, f.writeErr
	}
	if !f.apply(changes) {
		return Moment{}, ErrConflict
	}
	if f.losesAnswers {
		return Moment{}, errNoAnswer
	}
	return f.moment(), nil
}

// apply applies changes. The caller holds mu.
func (f *fakeRows) apply(changes Changes) bool {
	for _, row := range changes.Drops {
		if row.Revision > 0 && f.rows[row.Key].Revision != row.Revision {
			return false
		}
	}
	f.revision++
	for _, row := range changes.Puts {
		row.Revision = f.revision
		f.rows[row.Key] = row
	}
	for _, row := range changes.Drops {
		delete(f.rows, row.Key)
	}
	return true
}

// change changes the table or its faults.
func (f *fakeRows) change(fn func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	fn()
}

func (f *fakeRows) calls() (reads, writes int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.reads, f.writes
}

func (f *fakeRows) keys(prefix string) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var list []string
	for key := range f.rows {
		if strings.HasPrefix(key, prefix) {
			list = append(list, key)
		}
	}
	slices.Sort(list)
	return list
}

// fakeVersions is a list of the versions of one service.
type fakeVersions struct {
	mu         sync.Mutex // guards the fields below
	generation uint64
	listed     []string
	left       []string
	knowsLeft  bool
	era        uint64
	// oldAt is the revision at which the list has stopped; zero while it follows the store.
	oldAt revision.Revision
}

func (v *fakeVersions) list(versions ...string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.generation++
	v.listed = versions
}

func (v *fakeVersions) setEra(era uint64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.era = era
}

func (v *fakeVersions) setKnowsLeft() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.knowsLeft = true
}

func (v *fakeVersions) Generation() uint64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.generation
}

func (v *fakeVersions) stopAt(r revision.Revision) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.oldAt = r
}

func (v *fakeVersions) SyncedRevision() revision.Revision {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.oldAt > 0 {
		return v.oldAt
	}
	return math.MaxUint64
}

func (v *fakeVersions) Era() uint64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.era
}

func (v *fakeVersions) Loaded() bool { return v.Generation() > 0 }

func (v *fakeVersions) ListedVersions() map[string][]string {
	v.mu.Lock()
	defer v.mu.Unlock()
	if len(v.listed) == 0 {
		return nil
	}
	return map[string][]string{began.Service: slices.Clone(v.listed)}
}

func (v *fakeVersions) RecordLeft(_, version string, _ time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.left = append(v.left, version)
}

func (v *fakeVersions) recordedAsLeft() []string {
	v.mu.Lock()
	defer v.mu.Unlock()
	return slices.Clone(v.left)
}

func (v *fakeVersions) KnowsLeftVersions(time.Time) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.knowsLeft
}

// keptProcess is a simulated process with a ledger.
type keptProcess struct {
	process
	ledger   *Ledger
	versions *fakeVersions
	stop     context.CancelFunc
}

// start adds a process whose list has the given versions. It joins a system that has run before.
func (p *processes) start(rows Rows, versions ...string) *keptProcess {
	p.add(1)
	k := &keptProcess{process: p.all[len(p.all)-1], versions: &fakeVersions{}}
	k.versions.list(versions...)
	ctx, stop := context.WithCancel(context.Background())
	k.stop = stop
	k.ledger = NewLedger(ctx, LedgerOptions{Log: zap.NewNop(), Network: k.Node, Rows: rows, Versions: k.versions})
	k.UseLedger(k.ledger)
	go k.ledger.Run(ctx)
	return k
}

// kill ends processes.
func kill(list ...*keptProcess) {
	for _, k := range list {
		k.Kill()
		k.stop()
	}
}

func keyNumber(i int) Key { return KeyOf("team", fmt.Sprint("attempt-", i)) }

func versionNumber(i int) Origin {
	return Origin{Service: began.Service, Version: fmt.Sprint("v", 1+i%2)}
}

// Guards against origins that die with all processes, also in several rounds, each of which takes the streams up.
func TestOriginsOutliveAllProcesses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, rows := newProcesses(0), newFakeRows()
		const streams = 400
		for round := range 4 {
			all := []*keptProcess{p.start(rows, "v1", "v2"), p.start(rows, "v1", "v2"), p.start(rows, "v1", "v2")}
			for i := range streams {
				one := all[(i+round)%3]
				if round > 0 {
					origin, found, _ := one.ledger.Recall(context.Background(), keyNumber(i))
					assert.Assert(t, found, "round %d, stream %d", round, i)
					assert.Equal(t, origin, versionNumber(i))
				}
				one.Record(keyNumber(i), versionNumber(i), time.Now().Add(70*time.Second))
			}
			time.Sleep(time.Second)
			kill(all...)
			time.Sleep(600 * time.Millisecond)
		}
	})
}

// Guards against calls of the store for each request, and against calls while nothing is new.
func TestLedgerCallsAreFew(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, rows := newProcesses(0), newFakeRows()
		first := p.start(rows, "v1")
		time.Sleep(time.Minute)
		reads, writes := rows.calls()
		assert.Equal(t, reads, 1)
		assert.Equal(t, writes, 1)
		second := p.start(rows, "v1")
		time.Sleep(time.Minute)
		reads, writes = rows.calls()
		assert.Equal(t, reads, 2)
		assert.Equal(t, writes, 1)
		for i := range 1000 { // in 10 s
			first.Record(keyNumber(i), versionNumber(i), time.Now().Add(time.Minute))
			time.Sleep(10 * time.Millisecond)
		}
		time.Sleep(time.Second)
		_, writes = rows.calls()
		assert.Assert(t, writes <= 1+2*45, "%d writes", writes)
		segments := len(rows.keys(prefixSegment))
		assert.Assert(t, segments <= 1000/maxSegmentEntries+2*shardCount, "%d segments", segments)
		kill(first, second)
	})
}

// Guards against memory and rows that grow with the age of the system.
func TestExpiredRecordsAreDropped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, rows := newProcesses(0), newFakeRows()
		one := p.start(rows, "v1", "v2")
		for round := range 20 {
			for i := range 2000 {
				one.ledger.add(keyNumber(2000*round+i), began, time.Now().Add(30*time.Second))
			}
			for range 60 {
				time.Sleep(time.Second)
				one.ledger.Sweep(time.Now())
			}
			assert.Assert(t, len(one.ledger.journal.known) == 0)
		}
		rowCount := len(rows.keys(prefixSegment))
		assert.Assert(t, rowCount <= 40, "%d rows", rowCount)
		for i := range maxRecords + 10 {
			assert.Equal(t, one.ledger.add(keyNumber(i), began, time.Now().Add(30*time.Second)), i < maxRecords)
		}
		kill(one)
		other := p.start(rows, "v1", "v2")
		time.Sleep(3 * time.Minute)
		assert.Equal(t, len(rows.keys(prefixSegment)), 0)
		kill(other)
	})
}

// Guards against records lost to a store that rejects writes, doesn't answer, applies writes late or loses answers.
func TestRecordsAreWrittenInTheEnd(t *testing.T) {
	for name, fault := range map[string]struct {
		err          error
		losesAnswers bool
	}{"rejected": {err: ErrRejected}, "no answer": {err: errNoAnswer}, "answers lost": {losesAnswers: true}} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p, rows := newProcesses(0), newFakeRows()
				one := p.start(rows, "v1", "v2")
				time.Sleep(time.Second)
				rows.change(func() { rows.writeErr, rows.losesAnswers = fault.err, fault.losesAnswers })
				_, before := rows.calls()
				for i := range 300 {
					one.Record(keyNumber(i), versionNumber(i), time.Now().Add(time.Minute))
					time.Sleep(10 * time.Millisecond)
				}
				time.Sleep(3 * time.Second)
				_, after := rows.calls()
				assert.Assert(t, after-before <= 12, "%d writes", after-before)
				rows.change(func() { rows.writeErr, rows.losesAnswers = nil, false })
				time.Sleep(6 * time.Second)
				rows.change(func() {
					for _, changes := range slices.Backward(rows.late) {
						rows.apply(changes)
					}
				})
				kill(one)
				again := p.start(rows, "v1", "v2")
				time.Sleep(time.Second)
				for i := range 300 {
					origin, found, _ := again.ledger.Recall(context.Background(), keyNumber(i))
					assert.Assert(t, found, "stream %d", i)
					assert.Equal(t, origin, versionNumber(i))
				}
				time.Sleep(4 * time.Minute) // strays and segments of the killed process are dropped
				assert.Equal(t, len(rows.keys(prefixSegment)), 0)
				kill(again)
			})
		})
	}
}

// Guards against streams that are refused for good, or wait, while the store can't be read.
func TestUnreadableStoreIsReportedInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, rows := newProcesses(0), newFakeRows()
		rows.readErr = ErrRejected
		one := p.start(rows, "v1")
		for range 20 {
			start := time.Now()
			_, found, read := one.ledger.Recall(context.Background(), keyNumber(1))
			assert.Assert(t, !found && !read)
			assert.Assert(t, time.Since(start) <= recallTimeout)
			assert.Assert(t, !one.ledger.Certain(began, time.Now()))
			time.Sleep(50 * time.Millisecond)
		}
		reads, _ := rows.calls()
		assert.Assert(t, reads <= 8, "%d reads in a second", reads)
		rows.change(func() { rows.readErr = nil })
		time.Sleep(maxRetryWait)
		_, found, read := one.ledger.Recall(context.Background(), keyNumber(1))
		assert.Assert(t, !found && read)
		kill(one)
	})
}

// Guards against streams that began while the store couldn't be read and are never written.
func TestRecordsBeforeTheFirstReadAreWritten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, rows := newProcesses(0), newFakeRows()
		rows.readErr = ErrRejected
		one := p.start(rows, "v1", "v2")
		one.Record(keyNumber(1), began, inAMinute())
		time.Sleep(3 * time.Second)
		rows.change(func() { rows.readErr = nil })
		time.Sleep(maxRetryWait + time.Second)
		assert.Equal(t, len(rows.keys(prefixSegment)), 1)
		kill(one)
	})
}

// Guards against reads of the store for each caller that names an unknown stream.
func TestUnknownStreamsCauseFewReads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, rows := newProcesses(0), newFakeRows()
		one := p.start(rows, "v1", "v2")
		time.Sleep(time.Second)
		var running sync.WaitGroup
		for i := range 1000 { // in 5 s
			running.Go(func() {
				_, found, read := one.ledger.Recall(context.Background(), keyNumber(i))
				assert.Check(t, !found && read)
			})
			time.Sleep(5 * time.Millisecond)
		}
		running.Wait()
		reads, _ := rows.calls()
		assert.Assert(t, reads <= 12, "%d reads", reads)
		kill(one)
	})
}

// Guards against a writer that ends before it has written, and against two processes that write one shard.
func TestRecordsMoveToTheNextWriter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, rows := newProcesses(0), newFakeRows()
		all := []*keptProcess{p.start(rows, "v1", "v2"), p.start(rows, "v1", "v2"), p.start(rows, "v1", "v2")}
		time.Sleep(time.Second)
		rows.change(func() { rows.writeErr = ErrRejected })
		var recordings []*Recording
		for i := range 100 {
			recordings = append(recordings, all[0].Record(keyNumber(i), versionNumber(i), inAMinute()))
		}
		time.Sleep(time.Second)
		kill(all[1])
		late := p.start(rows, "v1", "v2")
		rows.change(func() { rows.writeErr = nil })
		for _, rec := range recordings {
			rec.Refresh()
		}
		time.Sleep(6 * time.Second)
		kill(all[0], all[2], late)
		again := p.start(rows, "v1", "v2")
		for i := range 100 {
			origin, found, _ := again.ledger.Recall(context.Background(), keyNumber(i))
			assert.Assert(t, found, "stream %d", i)
			assert.Equal(t, origin, versionNumber(i))
		}
		kill(again)
	})
}

// Guards against records that wait for ever at a process that the store rejects.
func TestRecordsAreWrittenByOthersIfTheStoreRejectsTheirWriter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, rows, rejected := newProcesses(0), newFakeRows(), newFakeRows()
		rejected.writeErr = ErrRejected
		all := []*keptProcess{p.start(rows, "v1", "v2"), p.start(rejected, "v1", "v2"), p.start(rows, "v1", "v2")}
		time.Sleep(time.Second)
		for _, k := range all { // so that the rejected process has something to write
			k.versions.list("v1", "v2", "v3")
		}
		all[1].ledger.add(keyNumber(-1), began, inAMinute())
		time.Sleep(2 * maxRetryWait)
		for i := range 100 {
			all[0].Record(keyNumber(i), versionNumber(i), inAMinute())
		}
		time.Sleep(2 * time.Second)
		kill(all...)
		again := p.start(rows, "v1", "v2")
		for i := range 100 {
			_, found, _ := again.ledger.Recall(context.Background(), keyNumber(i))
			assert.Assert(t, found, "stream %d", i)
		}
		kill(again)
	})
}

// Guards against what a store loses that comes back from a copy.
func TestVersionsAndRecordsOutliveARestoreOfTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, rows := newProcesses(0), newFakeRows()
		one := p.start(rows, "v1", "v2")
		one.Record(keyNumber(1), began, inAMinute())
		time.Sleep(time.Second)
		assert.Assert(t, one.ledger.Admitted(began))
		rows.change(func() { rows.rows, rows.era, rows.writeErr = map[string]Row{}, 2, ErrRejected })
		time.Sleep(time.Second)
		assert.Assert(t, !one.ledger.Admitted(began))
		rows.change(func() { rows.writeErr = nil })
		time.Sleep(maxRetryWait + time.Second)
		assert.Assert(t, one.ledger.Admitted(began))
		assert.Equal(t, len(rows.keys(prefixVersion)), 2)
		assert.Equal(t, len(rows.keys(prefixSegment)), 1)
		kill(one)
	})
}

// silentRows is a table whose era a process learns only by its own calls.
type silentRows struct{ *fakeRows }

func (silentRows) Era() uint64 { return 1 }

// Guards against a process that doesn't call the store and doesn't learn that it has come back from a copy.
func TestRestoreIsLearntFromTheListOfTargets(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, rows := newProcesses(0), newFakeRows()
		one := p.start(silentRows{rows}, "v1", "v2")
		one.Record(keyNumber(1), began, inAMinute())
		time.Sleep(time.Second)
		rows.change(func() { rows.rows, rows.era = map[string]Row{}, 2 })
		time.Sleep(time.Second)
		assert.Equal(t, len(rows.keys("")), 0)
		one.versions.setEra(2)
		time.Sleep(time.Second)
		assert.Equal(t, len(rows.keys(prefixVersion)), 2)
		assert.Equal(t, len(rows.keys(prefixSegment)), 1)
		kill(one)
	})
}

// Guards against refusals because the store has come back from a copy and doesn't take writes yet.
func TestOnlyVersionStaysCertainDuringARestoreOfTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, rows := newProcesses(0), newFakeRows()
		one := p.start(rows, "v1")
		one.versions.setKnowsLeft()
		time.Sleep(time.Second)
		rows.change(func() { rows.rows, rows.era, rows.writeErr = map[string]Row{}, 2, ErrRejected })
		time.Sleep(time.Second)
		assert.Assert(t, !one.ledger.Admitted(began) && one.ledger.Certain(began, time.Now()))
		kill(one)
	})
}

// Guards against conclusions from the versions in sight about those that there were.
func TestOnlyVersionIsCertainOnceTheTableHasIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, rows := newProcesses(0), newFakeRows()
		one := p.start(rows, "v1")
		assert.Assert(t, !one.ledger.Certain(began, time.Now()))
		time.Sleep(time.Second)
		assert.Assert(t, !one.ledger.Certain(began, time.Now()), "an earlier release may have begun streams at others")
		time.Sleep(versionMemory)
		assert.Assert(t, one.ledger.Certain(began, time.Now()))
		kill(one)
		again := p.start(rows, "v1")
		time.Sleep(100 * time.Millisecond)
		assert.Assert(t, again.ledger.Certain(began, time.Now()))
		kill(again)
		other := p.start(rows, "v2")
		time.Sleep(time.Second)
		assert.DeepEqual(t, other.versions.recordedAsLeft(), []string{"v1"})
		kill(other)
	})
}

// Guards against a first start of the system that refuses to take streams of its only version up.
func TestOnlyVersionOfANewSystemIsCertainAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, rows := newProcesses(0), newFakeRows()
		one := p.start(rows, "v1")
		one.versions.setKnowsLeft()
		time.Sleep(200 * time.Millisecond)
		assert.Assert(t, one.ledger.Certain(began, time.Now()))
		kill(one)
		again := p.start(rows, "v1")
		time.Sleep(100 * time.Millisecond)
		assert.Assert(t, again.ledger.Certain(began, time.Now()))
		kill(again)
	})
}

// Guards against streams that begin at a version whose row isn't acknowledged, while there are others.
func TestVersionIsHeldBackUntilItsRowIsAcknowledged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, rows := newProcesses(0), newFakeRows()
		one := p.start(rows, "v1")
		assert.Assert(t, !one.ledger.HoldsBack(began.Service)) // there is no other
		time.Sleep(time.Second)
		assert.Assert(t, one.ledger.Admitted(began))
		rows.change(func() { rows.writeErr = ErrRejected })
		one.versions.list("v1", "v2")
		time.Sleep(time.Second)
		v2 := versionNumber(1)
		assert.Assert(t, one.ledger.HoldsBack(began.Service) && one.ledger.Admitted(began) && !one.ledger.Admitted(v2))
		rows.change(func() { rows.writeErr = nil })
		time.Sleep(maxRetryWait)
		assert.Assert(t, !one.ledger.HoldsBack(began.Service) && one.ledger.Admitted(v2))
		kill(one)
	})
}

// Guards against a table that tells of a new version and no longer of the earlier ones, since it was removed meanwhile.
func TestRemovedTableIsCompleteWithTheNextVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, rows := newProcesses(0), newFakeRows()
		one := p.start(rows, "v1")
		time.Sleep(time.Second)
		rows.change(func() { clear(rows.rows) })
		one.versions.list("v1", "v2")
		time.Sleep(time.Second)
		assert.Equal(t, len(rows.keys(prefixVersion)), 2)
		kill(one)
	})
}

// Guards against rows that are dropped while the version serves, and rows that stay for ever.
func TestRowOfAVersionIsDroppedAfterItHasLeft(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, rows := newProcesses(0), newFakeRows()
		all := []*keptProcess{p.start(rows, "v1", "v2"), p.start(rows, "v1", "v2")}
		list := func(versions ...string) {
			for _, one := range all {
				one.versions.list(versions...)
			}
		}
		time.Sleep(time.Second)
		list("v2")
		time.Sleep(versionMemory)
		assert.Equal(t, len(rows.keys(prefixVersion)), 2)
		list("v1", "v2")
		time.Sleep(time.Second)
		list("v2")
		time.Sleep(dropTime + time.Minute)
		assert.Equal(t, len(rows.keys(prefixVersion)), 2)
		time.Sleep(versionMemory)
		assert.DeepEqual(t, rows.keys(prefixVersion), []string{versionKey(versionNumber(1))})
		list("v1", "v2")
		time.Sleep(time.Second)
		assert.Equal(t, len(rows.keys(prefixVersion)), 2)
		kill(all...)
	})
}

// Guards against a late drop that removes the row of a version that has come back.
func TestLateDropOfARowThatWasWrittenAgainFails(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, rows := newProcesses(0), newFakeRows()
		one := p.start(rows, "v1")
		time.Sleep(time.Second)
		contents, err := rows.ReadOrigins(context.Background())
		assert.NilError(t, err)
		drop := one.ledger.expired(contents, []Origin{began})
		assert.Equal(t, len(drop.Drops), 1)
		other := p.start(rows)
		time.Sleep(time.Second)
		other.versions.list("v1")
		time.Sleep(time.Second)
		_, err = rows.WriteOrigins(context.Background(), drop)
		assert.Assert(t, errors.Is(err, ErrConflict), "%v", err)
		kill(one, other)
	})
}

// Guards against processes that refuse, or hold versions back, as long as the store rejects them alone.
func TestProcessThatTheStoreRejectsLearnsVersionsFromOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, rows := newProcesses(0), newFakeRows()
		one := p.start(rows, "v1")
		one.versions.setKnowsLeft()
		time.Sleep(time.Second)
		rejected := newFakeRows()
		rejected.readErr, rejected.writeErr = ErrRejected, ErrRejected
		other := p.start(rejected, "v1")
		time.Sleep(3 * maxRetryWait)
		assert.Assert(t, other.ledger.Certain(began, time.Now()))
		for _, k := range []*keptProcess{one, other} {
			k.versions.list("v1", "v2")
		}
		time.Sleep(3 * maxRetryWait)
		assert.Assert(t, other.ledger.Admitted(versionNumber(1)))
		kill(one, other)
	})
}

// Guards against a row that can't be decoded and hides the others.
func TestUnreadableRowsAreSkipped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, rows := newProcesses(0), newFakeRows()
		one := p.start(rows, "v1", "v2")
		one.Record(keyNumber(1), began, inAMinute())
		time.Sleep(time.Second)
		kill(one)
		for i, value := range []string{"", "{", "[]", `{"records":"AAAA"}`, `{"origins":[],"records":"AAAAAAAAAAAAAAAAAAAAAAAAAAAAAA=="}`, strings.Repeat("[", 10000)} {
			rows.rows[fmt.Sprint(prefixSegment, "0/x/", i)] = Row{Value: []byte(value)}
			rows.rows[fmt.Sprint(prefixVersion, "x/", i)] = Row{Value: []byte(value)}
		}
		for key, row := range rows.rows {
			row.Key = key
			rows.rows[key] = row
		}
		again := p.start(rows, "v1", "v2")
		origin, found, _ := again.ledger.Recall(context.Background(), keyNumber(1))
		assert.Assert(t, found)
		assert.Equal(t, origin, began)
		kill(again)
	})
}

func TestSegmentsAreDecodedAsTheyWereEncoded(t *testing.T) {
	var entries []entry
	for i := range maxSegmentEntries {
		entries = append(entries, entry{key: keyNumber(i), origin: Origin{Service: "s", Version: fmt.Sprint("v", i%3)}, expires: uint32(i * 1e6)})
	}
	value, err := encodeSegment(entries)
	assert.NilError(t, err)
	assert.Assert(t, len(value) < 4096+256, "%d bytes", len(value))
	decoded, err := decodeSegment(value)
	assert.NilError(t, err)
	assert.Assert(t, slices.Equal(decoded, entries))
	_, err = encodeSegment([]entry{{key: "short"}})
	assert.Assert(t, err != nil)
}

// Guards against keys that the store refuses, and versions that share one.
func TestKeysOfRowsAreShortAndDistinct(t *testing.T) {
	seen := map[string]Origin{}
	long := strings.Repeat("ü/", 100)
	for _, service := range []string{"", "a", "a/b", "a%2Fb", long} {
		for _, version := range []string{"", "b", "b/c", "c", long, long + "x"} {
			o := Origin{Service: service, Version: version}
			key := versionKey(o)
			assert.Assert(t, len(key) <= maxKeyBytes, key)
			assert.Assert(t, seen[key] == Origin{}, "%v and %v", seen[key], o)
			seen[key] = o
		}
	}
	assert.Assert(t, len(segmentPrefix(7, processName(long))) < maxKeyBytes-20)
}

// Guards against a version whose streams may still be taken up, and whose row a restore has removed for good.
func TestRowsOfVersionsThatHaveLeftAreWrittenAgainAfterARestore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, rows := newProcesses(0), newFakeRows()
		one := p.start(rows, "v1")
		one.versions.setKnowsLeft()
		time.Sleep(5 * time.Second)
		copied := maps.Clone(rows.rows)
		one.versions.list("v1", "v2")
		time.Sleep(5 * time.Second)
		one.versions.list("v1")
		time.Sleep(time.Second)
		rows.change(func() { rows.rows, rows.era = copied, 2 })
		time.Sleep(10 * time.Second)
		assert.Equal(t, len(rows.keys(prefixVersion)), 2)
		fresh := p.start(rows, "v1")
		time.Sleep(time.Second)
		assert.Assert(t, !fresh.ledger.Certain(began, time.Now()))
		kill(one, fresh)
	})
}

// Guards against a version that has left before its row could be written, and counts as never having served.
func TestVersionThatLeftBeforeItsRowWasWrittenGetsOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, rows := newProcesses(0), newFakeRows()
		rows.writeErr = ErrRejected
		one := p.start(rows, "v1")
		one.versions.setKnowsLeft()
		time.Sleep(10 * time.Second)
		one.versions.list("v2")
		time.Sleep(100 * time.Millisecond)
		rows.change(func() { rows.writeErr = nil })
		time.Sleep(10 * time.Second)
		assert.Equal(t, len(rows.keys(prefixVersion)), 2)
		kill(one)
		fresh := p.start(rows, "v2")
		time.Sleep(time.Second)
		assert.Assert(t, !fresh.ledger.Certain(Origin{Service: began.Service, Version: "v2"}, time.Now()))
		kill(fresh)
	})
}

// Guards against streams that nobody records although the row of another version makes others refuse them.
func TestVersionIsNotCertainWhileAnotherOneMayHaveARow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, rows := newProcesses(0), newFakeRows()
		one := p.start(rows, "v1", "v2")
		one.versions.setKnowsLeft()
		time.Sleep(5 * time.Second)
		one.versions.list("v1")
		time.Sleep(versionMemory + dropTime/2)
		assert.Equal(t, len(rows.keys(prefixVersion)), 2)
		assert.Assert(t, !one.ledger.Certain(began, time.Now()))
		time.Sleep(2 * dropTime)
		assert.Equal(t, len(rows.keys(prefixVersion)), 1)
		assert.Assert(t, one.ledger.Certain(began, time.Now()))
		kill(one)
	})
}

// Guards against a late drop of an expired row that removes the records of its successor.
func TestLateDropOfAnExpiredRowRemovesNoNewerOne(t *testing.T) {
	rows, j := newFakeRows(), newJournal("p")
	j.add(entry{key: keyNumber(1), origin: began, expires: 100})
	first := j.prepare(50, 30)
	rows.apply(first.Changes)
	j.written(first)
	late := j.prepare(101, 30)
	assert.Equal(t, len(late.Drops), 1)
	j.unanswered(late)
	j.expire(101)
	n := 2
	for shardOf(keyNumber(n)) != shardOf(keyNumber(1)) {
		n++
	}
	j.add(entry{key: keyNumber(n), origin: began, expires: 200})
	next := j.prepare(102, 30)
	rows.apply(next.Changes)
	j.written(next)
	rows.apply(late.Changes)
	assert.Equal(t, len(rows.keys(prefixSegment)), 1)
}

// Guards against a process with an old list that drops the row of a version that has come back.
func TestRowThatIsNewerThanTheListStays(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, rows := newProcesses(0), newFakeRows()
		one := p.start(rows, "v1", "v2")
		time.Sleep(time.Second)
		one.versions.list("v2")
		rows.change(func() {
			at, err := revision.Of(rows.era, rows.revision)
			assert.NilError(t, err)
			one.versions.stopAt(at)
			rows.apply(Changes{Puts: []Row{{Key: versionKey(began), Value: versionRow{Service: began.Service, Version: began.Version}.encode()}}})
		})
		time.Sleep(versionMemory + dropTime + time.Minute)
		assert.Equal(t, len(rows.keys(prefixVersion)), 2)
		one.versions.stopAt(0)
		time.Sleep(time.Minute)
		assert.Equal(t, len(rows.keys(prefixVersion)), 1)
		kill(one)
	})
}

// Guards against streams that begin at a version whose row was dropped while their process stood still.
func TestProcessThatHasStoodStillAdmitsVersionsAnew(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rows, versions := newFakeRows(), &fakeVersions{}
		versions.list("v1", "v2")
		p := newProcesses(1)
		ledger := NewLedger(t.Context(), LedgerOptions{Log: zap.NewNop(), Network: p.all[0].Node, Rows: rows, Versions: versions})
		step := func(n int) {
			for range n {
				ledger.step(t.Context())
				time.Sleep(pollPeriod)
			}
		}
		step(5)
		assert.Assert(t, ledger.Admitted(began))
		clear(rows.rows)
		step(5)
		assert.Equal(t, len(rows.keys(prefixVersion)), 0)
		time.Sleep(maxStandstill)
		step(5)
		assert.Assert(t, ledger.Admitted(began))
		assert.Equal(t, len(rows.keys(prefixVersion)), 2)
	})
}

// Guards against a store that came back from a copy while no process ran, without the row of a version.
func TestOnlyVersionIsNotCertainAfterARestoreWithoutProcesses(t *testing.T) {
	for _, witnessed := range []bool{false, true} {
		t.Run(fmt.Sprint("witnessed ", witnessed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p, rows := newProcesses(0), newFakeRows()
				one := p.start(rows, "v1")
				time.Sleep(versionMemory + time.Second)
				copied := maps.Clone(rows.rows)
				one.versions.list("v1", "v2")
				time.Sleep(time.Second)
				if !witnessed {
					kill(one)
				}
				rows.change(func() { rows.rows, rows.era = copied, 2 })
				time.Sleep(2 * time.Second)
				again := p.start(rows, "v1")
				time.Sleep(time.Second)
				assert.Assert(t, !again.ledger.Certain(began, time.Now()))
				if witnessed {
					assert.DeepEqual(t, again.versions.recordedAsLeft(), []string{"v2"})
					kill(one)
				} else {
					time.Sleep(versionMemory)
					assert.Assert(t, again.ledger.Certain(began, time.Now()))
				}
				kill(again)
			})
		})
	}
}

// Guards against a version that a process leaves out of its read for another one, because it hasn't written its row again.
func TestReadForAnotherProcessHasRowsFromACopy(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, rows := newProcesses(0), newFakeRows()
		one := p.start(rows, "v1", "v2")
		time.Sleep(versionMemory + time.Second)
		kill(one)
		rows.change(func() { rows.era, rows.writeErr = 2, ErrRejected })
		reader := p.start(rows, "v1")
		time.Sleep(3 * time.Second)
		answer := reader.ledger.readForPeer(context.Background(), recallCall{Key: keyNumber(1)})
		assert.Assert(t, answer.Read)
		versions := map[string]bool{}
		for _, v := range answer.Versions.Versions {
			versions[v.Version] = v.Unwritten
		}
		assert.DeepEqual(t, versions, map[string]bool{"v1": true, "v2": true})
		kill(reader)
	})
}
