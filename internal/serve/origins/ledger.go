package origins

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/vanillagate/vanillagate/internal/peer"
	"github.com/vanillagate/vanillagate/internal/routing"
	"github.com/vanillagate/vanillagate/internal/serve/fresh"
	"github.com/vanillagate/vanillagate/internal/serve/revision"
	"github.com/vanillagate/vanillagate/internal/wait"
)

const (
	// pollPeriod is how often the ledger looks for something to write, flushPeriod how often records are written.
	pollPeriod  = 50 * time.Millisecond
	flushPeriod = 250 * time.Millisecond
	// rowsTimeout limits one call of the table.
	rowsTimeout = 2 * time.Second
	// minRetryWait and maxRetryWait limit the wait after a call that failed.
	minRetryWait = 250 * time.Millisecond
	maxRetryWait = 4 * time.Second
	// maxChanges limits the rows in one write.
	maxChanges = 60
	// rereadPeriod is how often the table is read while streams are recorded, to drop expired rows of processes that
	// have ended. cleanupPeriod is how often it is checked whether rows are to be dropped.
	rereadPeriod  = 5 * time.Minute
	cleanupPeriod = 5 * time.Second
)

// Versions tells which software versions the targets of each service have.
type Versions interface {
	// Generation grows with every change of the targets. Loaded reports whether they are known.
	Generation() uint64
	Loaded() bool
	// Era returns the latest era of the store that the list of targets is known from. A process that doesn't call the
	// store itself has the list from others.
	Era() uint64
	// ListedVersions returns the versions of each service.
	ListedVersions() map[string][]string
	// SyncedRevision returns the revision of the store up to which the list is known.
	SyncedRevision() revision.Revision
	// RecordLeft records that a version has left.
	RecordLeft(service, version string, now time.Time)
	// KnowsLeftVersions reports whether this process has seen all versions leave that have left lately.
	KnowsLeftVersions(now time.Time) bool
}

// LedgerOptions configures a Ledger.
type LedgerOptions struct {
	Log      *zap.Logger
	Metrics  metrics.Registry
	Network  peer.Network
	Rows     Rows
	Versions Versions
}

// Ledger keeps in a table outside of the processes what their deaths must not take away: which versions streams
// may have begun at and, while a service has several, where each stream began. It is safe for concurrent use.
type Ledger struct {
	LedgerOptions
	baseCtx context.Context
	reads   fresh.Calls[Contents]

	mu sync.Mutex // guards the fields below; no other lock is taken while it is held
	// moment is that of the latest answer of the table, which arrived at momentAt.
	moment   Moment
	momentAt time.Time
	// readAt is when the table was last read, zero before the first time, and readMoment that of its answer.
	readAt     time.Time
	readMoment Moment
	admissions *admissions
	// knowsVersions means that the versions in the table are known, from the table or another process.
	knowsVersions bool
	journal       *journal
	// stored has the records as of the last read, garbageAt when all segments of others have expired by then.
	stored    map[Key]entry
	garbageAt time.Time
	// early has the records of streams that began before the table was first read, with their expiry.
	early map[Key]record
	// listed means that the list of versions is known, as of generation.
	listed     bool
	generation uint64
	// unreadable has the keys of rows that were reported as unreadable.
	unreadable map[string]bool

	// active means that a stream was recorded since the last read, failures counts the calls in a row that failed.
	active   bool
	failures int

	// The fields below are used by Run only. steppedAt is when it was last seen to run.
	steppedAt time.Time
	flushedAt time.Time
	checkedAt time.Time
	retryAt   time.Time
}

// NewLedger returns a ledger, which reads and writes until baseCtx ends. It does nothing before Run.
func NewLedger(baseCtx context.Context, o LedgerOptions) *Ledger {
	return &Ledger{
		LedgerOptions: o, baseCtx: baseCtx, admissions: newAdmissions(), stored: map[Key]entry{}, unreadable: map[string]bool{},
		journal: newJournal(processName(string(o.Network.Self().Incarnation))),
	}
}

// Run keeps the table up to date until ctx ends.
func (l *Ledger) Run(ctx context.Context) {
	for {
		l.step(ctx)
		if !wait.For(ctx, pollPeriod) {
			return
		}
	}
}

// step does what is due. One call of the table follows the other.
func (l *Ledger) step(ctx context.Context) {
	now := time.Now()
	l.noteStandstill(now)
	l.observe(now)
	if now.Before(l.retryAt) {
		return
	}
	if !l.HasRead() {
		_, err := l.read(ctx)
		l.paceAfter(err)
		if err != nil {
			l.askPeer(ctx)
		}
		return
	}
	if w := l.collect(now); !w.Empty() {
		if !l.write(ctx, w) && len(w.versions) > 0 {
			l.askPeer(ctx)
		}
		return
	}
	if now.Sub(l.checkedAt) >= cleanupPeriod {
		l.checkedAt = now
		l.cleanUp(ctx, now)
	}
}

// maxStandstill is how long this process may have stood still and still rely on the rows that it knows: it is far below
// dropTime, after which others drop rows.
const maxStandstill = 10 * time.Second

// noteStandstill has the rows of all versions written again if this process has stood still. The time of day counts as well,
// since the steady clock doesn't count the time that a VM is suspended.
func (l *Ledger) noteStandstill(now time.Time) {
	last := l.steppedAt
	l.steppedAt = now
	if last.IsZero() || now.Sub(last) < maxStandstill && now.Round(0).Sub(last.Round(0)) < maxStandstill {
		return
	}
	l.Log.Warn("Process has stood still. Versions of streams are written again.", zap.Duration("steady", now.Sub(last)))
	l.mu.Lock()
	defer l.mu.Unlock()
	l.admissions.lost()
}

// paceAfter sets when the table may be called again.
func (l *Ledger) paceAfter(err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if err == nil {
		l.failures = 0
		return
	}
	limit := min(minRetryWait<<min(l.failures, 10), maxRetryWait)
	l.failures++
	l.retryAt = time.Now().Add(limit/2 + rand.N(limit/2))
}

// observe takes over the list of versions and the era of the table.
func (l *Ledger) observe(now time.Time) {
	era, generation := max(l.Rows.Era(), l.Versions.Era()), l.Versions.Generation()
	l.mu.Lock()
	l.setEra(era)
	changed := !l.listed || generation != l.generation
	l.mu.Unlock()
	if !changed || !l.Versions.Loaded() {
		return
	}
	listed := l.Versions.ListedVersions()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.listed, l.generation = true, generation
	l.admissions.list(listed, now)
}

// setEra has everything written again that a table from a copy may lack. The caller holds mu.
func (l *Ledger) setEra(era uint64) {
	if !l.knowsVersions || era <= l.moment.Era {
		return
	}
	l.Log.Warn("Store has come back from a copy. Versions and origins of streams are written again.", zap.Uint64("era", era))
	l.moment.Era = era
	l.admissions.lost()
	l.journal.lost()
}

// setMoment records when the table answered. The caller holds mu.
func (l *Ledger) setMoment(m Moment, at time.Time) {
	l.setEra(m.Era)
	if m.Era >= l.moment.Era {
		l.moment, l.momentAt = m, at
	}
}

// clock returns the time of the table's clock. The caller holds mu.
func (l *Ledger) clock(now time.Time) time.Duration { return l.moment.Now + now.Sub(l.momentAt) }

// seconds returns a time of the table's clock as it is stored.
func seconds(clock time.Duration) uint32 { return uint32(max(clock, 0) / time.Second) }

// ledgerWrite is one write of the ledger.
type ledgerWrite struct {
	flush
	versions []acknowledgedVersion
}

// collect returns what is to be written now.
func (l *Ledger) collect(now time.Time) ledgerWrite {
	knowsLeft := l.Versions.KnowsLeftVersions(now)
	l.mu.Lock()
	defer l.mu.Unlock()
	var w ledgerWrite
	complete := now
	if !knowsLeft {
		complete = now.Add(versionMemory)
	}
	clock := l.clock(now)
	w.versions = l.admissions.missing(complete, now, maxChanges/2)
	if now.Sub(l.flushedAt) >= flushPeriod && l.journal.dirty() {
		l.flushedAt = now
		w.flush = l.journal.prepare(seconds(clock), maxChanges/2)
	}
	for _, v := range w.versions {
		row := versionRow{Service: v.Service, Version: v.Version, CompleteMS: (clock + v.complete.Sub(now)).Milliseconds(), Era: l.moment.Era}
		w.Puts = append(w.Puts, Row{Key: versionKey(v.Origin), Value: row.encode()})
	}
	return w
}

// write writes to the table and records the result. It reports whether it succeeded.
func (l *Ledger) write(ctx context.Context, w ledgerWrite) bool {
	ctx, cancel := context.WithTimeout(ctx, rowsTimeout)
	defer cancel()
	moment, err := l.Rows.WriteOrigins(ctx, w.Changes)
	l.paceAfter(err)
	l.mu.Lock()
	defer l.mu.Unlock()
	if err != nil {
		l.count("vanillagate_stream_origins_writes_failed")
		l.Log.Warn("Origins of streams can't be written to the store; tried again.", zap.Int("rows", len(w.Puts)), zap.Error(err))
		if !errors.Is(err, ErrRejected) && !errors.Is(err, ErrConflict) {
			l.journal.unanswered(w.flush)
		}
		return false
	}
	if moment.Era < l.moment.Era { // the table has come back from a copy since
		return true
	}
	l.setMoment(moment, time.Now())
	l.admissions.written(w.versions)
	l.journal.written(w.flush)
	if len(w.versions) > 0 {
		l.Log.Info("Versions are admitted for streams.", zap.Int("versions", len(w.versions)), zap.String("first", w.versions[0].Version))
	}
	return true
}

func (l *Ledger) count(name string) {
	if l.Metrics != nil {
		metrics.GetOrRegisterCounter(name, l.Metrics).Inc(1)
	}
}

// recordLeft records those of the versions in the table that this process doesn't know as left just now. It is called
// before they are acknowledged: a version is certain only with those that have left.
func (l *Ledger) recordLeft(versions []Origin, now time.Time) {
	l.mu.Lock()
	unknown := slices.DeleteFunc(versions, func(o Origin) bool { return l.admissions.versions[o] != nil })
	l.mu.Unlock()
	for _, o := range unknown {
		l.Versions.RecordLeft(o.Service, o.Version, now)
	}
}

// apply takes over the contents of the table. It reports false if the table has come back from a copy since.
func (l *Ledger) apply(c Contents, now time.Time) bool {
	s := decode(c.Rows)
	l.recordLeft(s.origins(), now)
	l.mu.Lock()
	if c.Era < l.moment.Era {
		l.mu.Unlock()
		return false
	}
	if c.Era == l.readMoment.Era && c.Now < l.readMoment.Now { // a later read has been applied
		l.mu.Unlock()
		return true
	}
	l.setMoment(c.Moment, now)
	l.readAt, l.readMoment, l.active = now, c.Moment, false
	for key, r := range l.early {
		l.addRecord(key, r, now)
	}
	l.early = nil
	clock := l.clock(now)
	var versions []acknowledgedVersion
	for _, v := range s.versions {
		complete := now.Add(time.Duration(v.CompleteMS)*time.Millisecond - clock)
		fromCopy := v.fromCopy(c.Era)
		if fromCopy { // rows of versions that streams have begun at since may be lost
			complete = now.Add(versionMemory)
		}
		versions = append(versions, acknowledgedVersion{Origin: v.origin(), complete: complete, fromCopy: fromCopy})
	}
	l.admissions.acknowledge(versions, l.listed, now)
	l.knowsVersions = true
	last := uint32(0)
	for key, e := range s.entries {
		if e.expires < seconds(clock) {
			delete(s.entries, key)
		}
	}
	for _, stored := range s.segments {
		last = max(last, stored.expires)
	}
	l.stored, l.garbageAt = s.entries, time.Time{}
	if len(s.segments) > 0 {
		l.garbageAt = now.Add(time.Duration(last+strayTime)*time.Second - clock)
	}
	var unreadable []string
	for _, key := range s.unreadable {
		if !l.unreadable[key] {
			l.unreadable[key] = true
			unreadable = append(unreadable, key)
		}
	}
	l.mu.Unlock()
	if len(unreadable) > 0 {
		l.Log.Warn("Rows with origins of streams can't be read; ignored.", zap.Strings("keys", unreadable[:min(len(unreadable), 16)]), zap.Int("rows", len(unreadable)))
	}
	l.Log.Debug("Origins of streams were read from the store.", zap.Int("versions", len(s.versions)), zap.Int("streams", len(s.entries)))
	return true
}

// cleanUp drops the rows of versions that have left and of streams that have expired, if this process is the one that
// is to do it.
func (l *Ledger) cleanUp(ctx context.Context, now time.Time) {
	elected := l.rankFirst("cleanup") == l.Network.Self().Incarnation
	l.mu.Lock()
	departed := l.admissions.departed(now)
	garbage := !l.garbageAt.IsZero() && now.After(l.garbageAt)
	reread := l.active && now.Sub(l.readAt) >= rereadPeriod
	if !elected {
		l.admissions.forget(departed)
	}
	l.mu.Unlock()
	if !elected || len(departed) == 0 && !garbage && !reread {
		return
	}
	contents, err := l.read(ctx)
	if err != nil {
		l.paceAfter(err)
		return
	}
	departed = l.notNewer(contents, departed)
	changes := l.expired(contents, departed)
	if !changes.Empty() {
		writeCtx, cancel := context.WithTimeout(ctx, rowsTimeout)
		defer cancel()
		if _, err = l.Rows.WriteOrigins(writeCtx, changes); err != nil && !errors.Is(err, ErrConflict) {
			l.paceAfter(err)
			return
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.admissions.forget(departed)
}

// notNewer returns those of the versions whose rows are no newer than the list. A version with a newer row may have come
// back without this process having seen it.
func (l *Ledger) notNewer(contents Contents, departed []Origin) []Origin {
	s := decode(contents.Rows)
	listed := l.Versions.SyncedRevision()
	return slices.DeleteFunc(departed, func(o Origin) bool {
		written, err := revision.Of(contents.Era, s.revisions[o])
		return err != nil || written > listed
	})
}

// expired returns the drops of the rows that are no longer needed. A row that has been written since the read stays.
func (l *Ledger) expired(contents Contents, departed []Origin) Changes {
	s := decode(contents.Rows)
	var changes Changes
	for _, o := range departed {
		if written, has := s.revisions[o]; has {
			changes.Drops = append(changes.Drops, Row{Key: versionKey(o), Revision: written})
		}
	}
	for _, stored := range s.segments {
		if len(changes.Drops) < maxChanges/2 && stored.expires+strayTime < seconds(contents.Now) {
			changes.Drops = append(changes.Drops, Row{Key: stored.row.Key, Revision: stored.row.Revision})
		}
	}
	return changes
}

// rankFirst returns the living process that ranks first for a name, this one if there is none.
func (l *Ledger) rankFirst(name string) peer.Incarnation {
	first := l.Network.View().HighestRanked(1, func(id peer.Incarnation) uint64 {
		return routing.RendezvousScore(name, string(id))
	})
	if len(first) == 0 {
		return l.Network.Self().Incarnation
	}
	return first[0]
}

// writerOf returns the process that writes a stream's record.
func (l *Ledger) writerOf(key Key) peer.Incarnation {
	return l.rankFirst(segmentPrefix(shardOf(key), ""))
}

// maxFailures is after how many failed calls in a row a process no longer writes the records of others.
const maxFailures = 3

// addForPeer has the record of a stream of another process written by this one. It reports false if the table doesn't
// take its calls.
func (l *Ledger) addForPeer(key Key, origin Origin, expires time.Time) bool {
	l.mu.Lock()
	writes := !l.readAt.IsZero() && l.failures < maxFailures
	l.mu.Unlock()
	return writes && l.add(key, origin, expires)
}

// noteActivity records that streams are recorded.
func (l *Ledger) noteActivity() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.active = true
}

// add has the record of a stream written by this process. It reports false if there is no room.
func (l *Ledger) add(key Key, origin Origin, expires time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := record{origin: origin, expiresAt: expires}
	if !l.readAt.IsZero() {
		return l.addRecord(key, r, time.Now())
	}
	if l.early == nil {
		l.early = map[Key]record{}
	}
	if len(l.early) >= maxRecords {
		return false
	}
	l.early[key] = r
	return true
}

// addRecord adds a record to the journal. The caller holds mu, and the table has been read.
func (l *Ledger) addRecord(key Key, r record, now time.Time) bool {
	clock := l.clock(now) + r.expiresAt.Sub(now) + time.Second
	return l.journal.add(entry{key: key, origin: r.origin, expires: seconds(clock)})
}

// Admitted reports whether streams may begin at a version.
func (l *Ledger) Admitted(o Origin) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	known := l.admissions.versions[o]
	return known != nil && known.acknowledged && known.absentSince.IsZero()
}

// HoldsBack reports whether streams may begin at some versions of a service and not yet at others.
func (l *Ledger) HoldsBack(service string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.knowsVersions && l.admissions.waiting[service] > 0
}

// Certain reports whether a version that this process knows as the only one of its service's list, with those that have
// left lately, is the only one that streams of the service can have begun at.
func (l *Ledger) Certain(o Origin, now time.Time) bool {
	knowsLeft := l.Versions.KnowsLeftVersions(now)
	l.mu.Lock()
	defer l.mu.Unlock()
	known := l.admissions.versions[o]
	if !l.knowsVersions || known == nil || !known.confirmed || l.admissions.hasOther(o) {
		return false
	}
	complete, has := l.admissions.complete[o.Service]
	return knowsLeft || has && !now.Before(complete)
}

// HasRead reports whether the table has been read since the start of this process.
func (l *Ledger) HasRead() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.readAt.IsZero()
}

// Recall searches the table for the origin of a stream, for at most recallTimeout. read reports whether the table was
// read since the call, by this process or by another one: a process can't tell by itself whether what it knows is old.
func (l *Ledger) Recall(ctx context.Context, key Key) (origin Origin, found, read bool) {
	if origin, found = l.Recorded(key); found {
		return origin, true, true
	}
	ctx, cancel := context.WithTimeout(ctx, recallTimeout)
	defer cancel()
	own := l.readSince(time.Now(), minReadPause)
	firstCtx, cancelFirst := context.WithTimeout(ctx, max(ownReadTime, time.Until(own.StartsAt().Add(ownReadTime))))
	defer cancelFirst()
	if _, err := own.Await(firstCtx); err == nil {
		origin, found = l.Recorded(key)
		return origin, found, true
	}
	return l.recallByPeers(ctx, key, own)
}

// Recorded returns the origin of a stream as of the last read.
func (l *Ledger) Recorded(key Key) (Origin, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e, found := l.stored[key]
	return e.origin, found && e.expires >= seconds(l.clock(time.Now()))
}

// Sweep removes expired records from memory.
func (l *Ledger) Sweep(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	clock := seconds(l.clock(now))
	for key, e := range l.stored {
		if e.expires < clock {
			delete(l.stored, key)
		}
	}
	l.journal.expire(clock)
	for key, r := range l.early {
		if now.After(r.expiresAt) {
			delete(l.early, key)
		}
	}
}

// Waiting returns how many records and versions wait to be written.
func (l *Ledger) Waiting() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := len(l.early)
	for _, waiting := range l.admissions.waiting {
		n += waiting
	}
	for _, s := range l.journal.segments {
		n += s.changes - s.saved
	}
	return n
}
