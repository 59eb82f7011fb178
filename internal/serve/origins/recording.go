package origins

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/vanillagate/vanillagate/internal/peer"
)

// Recording sends the record of one stream to its holders.
type Recording struct {
	registry *Registry
	key      Key
	origin   Origin
	expires  time.Time

	mu sync.Mutex // guards the fields below; no other lock is taken while it is held
	// kept has the processes that keep the record, sending whether it is being sent.
	kept    map[peer.Incarnation]bool
	sending bool
	// full means that this process had no room for the record, view is that of the last Refresh after which no holder was
	// missing.
	full bool
	view *peer.View
	// persistent means that the record is to be written to the table as well. writer is the process that does so, empty as
	// long as none does; persisting means that one is being asked.
	persistent bool
	writer     peer.Incarnation
	persisting bool
	// settled is closed once a process has kept the record, or none of those tried has.
	settled   chan struct{}
	isSettled bool
}

// Record keeps the origin of a stream here until it expires, sends it to its holders in the background, and has it
// written to the table.
func (r *Registry) Record(key Key, origin Origin, expires time.Time) *Recording {
	rec := r.newRecording(key, origin, expires, true)
	rec.Refresh()
	return rec
}

// Hold is Record for a version that seems to be the only one: without the table, and with less room.
func (r *Registry) Hold(key Key, origin Origin, expires time.Time) *Recording {
	rec := r.newRecording(key, origin, expires, false)
	rec.Refresh()
	return rec
}

func (r *Registry) newRecording(key Key, origin Origin, expires time.Time, persistent bool) *Recording {
	kept := r.keep(key, record{origin: origin, expiresAt: expires, only: !persistent})
	if !kept && persistent {
		r.log.Warn("No room for the origin of a stream.", zap.Int("records", r.Count()))
	}
	return &Recording{
		registry: r, key: key, origin: origin, expires: expires, persistent: persistent, full: !kept,
		kept: map[peer.Incarnation]bool{}, settled: make(chan struct{}),
	}
}

// Persist has the record written to the table as well.
func (rec *Recording) Persist() {
	rec.mu.Lock()
	before := rec.persistent
	rec.persistent = true
	rec.mu.Unlock()
	if !before {
		rec.registry.keep(rec.key, record{origin: rec.origin, expiresAt: rec.expires}) // there may be room for it now
	}
	rec.persist()
}

// Persistent reports whether the record is written to the table.
func (rec *Recording) Persistent() bool {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	return rec.persistent
}

// Refresh sends the record in the background to processes that have become its holders since, or its writer.
func (rec *Recording) Refresh() {
	rec.persist()
	view := rec.registry.network.View()
	if !rec.isDue(view) {
		return
	}
	ranked := rec.registry.ranked(rec.key, maxHoldersTried, func(s peer.MemberState) bool { return s == peer.Alive })
	rec.mu.Lock()
	defer rec.mu.Unlock()
	if rec.sending {
		return
	}
	missing := 0
	queue := make(chan peer.Incarnation, len(ranked))
	for i, id := range ranked {
		if rec.kept[id] {
			continue
		}
		queue <- id
		if i < holderCount {
			missing++
		}
	}
	close(queue)
	if missing == 0 {
		rec.view = view
		rec.settle()
		return
	}
	rec.sending = true
	go rec.send(missing, queue)
}

// isDue reports whether holders may be missing. If this process has no room for a record of the only version, others are
// not asked to keep it either.
func (rec *Recording) isDue(view *peer.View) bool {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	if rec.full && !rec.persistent {
		rec.settle()
		return false
	}
	return view != rec.view
}

// persist has the record written to the table by the process that writes those of its shard.
func (rec *Recording) persist() {
	ledger := rec.registry.ledger
	if ledger == nil || !rec.Persistent() {
		return
	}
	ledger.noteActivity()
	writer := ledger.writerOf(rec.key)
	rec.mu.Lock()
	defer rec.mu.Unlock()
	if rec.persisting || rec.writer == writer {
		return
	}
	rec.persisting = true
	go rec.persistAt(writer)
}

// persistAt asks a process to write the record. If it doesn't, this process writes it.
func (rec *Recording) persistAt(writer peer.Incarnation) {
	persisted := writer != rec.registry.network.Self().Incarnation && rec.askToPersist(writer)
	if !persisted {
		persisted = rec.registry.ledger.add(rec.key, rec.origin, rec.expires)
	}
	rec.mu.Lock()
	defer rec.mu.Unlock()
	rec.persisting = false
	if persisted {
		rec.writer = writer
	}
}

func (rec *Recording) askToPersist(writer peer.Incarnation) bool {
	ctx, cancel := context.WithTimeout(rec.registry.baseCtx, storeTimeout)
	defer cancel()
	call := storeCall{Key: rec.key, Origin: rec.origin, TTLMS: time.Until(rec.expires).Milliseconds(), Persist: true}
	var answer storeAnswer
	err := rec.registry.network.Call(ctx, writer, methodStore, call, &answer)
	return err == nil && answer.Persisted
}

// send sends the record to n of the queued processes, and to further ones if some don't keep it.
func (rec *Recording) send(n int, queue <-chan peer.Incarnation) {
	var workers sync.WaitGroup
	for range n {
		workers.Go(func() {
			for id := range queue {
				if rec.sendTo(id) {
					return
				}
			}
		})
	}
	workers.Wait()
	rec.mu.Lock()
	defer rec.mu.Unlock()
	rec.sending = false
	rec.settle()
}

// sendTo reports whether the process has kept the record.
func (rec *Recording) sendTo(id peer.Incarnation) bool {
	ctx, cancel := context.WithTimeout(rec.registry.baseCtx, storeTimeout)
	defer cancel()
	call := storeCall{Key: rec.key, Origin: rec.origin, TTLMS: time.Until(rec.expires).Milliseconds(), Only: !rec.Persistent()}
	var answer storeAnswer
	if err := rec.registry.network.Call(ctx, id, methodStore, call, &answer); err != nil || !answer.Kept {
		rec.registry.log.Debug("Process doesn't keep a stream's origin.", zap.String("member", string(id)), zap.Error(err))
		return false
	}
	rec.mu.Lock()
	defer rec.mu.Unlock()
	rec.kept[id] = true
	rec.settle()
	return true
}

// settle ends Wait. The caller holds mu.
func (rec *Recording) settle() {
	if !rec.isSettled {
		rec.isSettled = true
		close(rec.settled)
	}
}

// Wait waits until another process keeps the record, or the ways to reach one are exhausted, but no longer than
// limit. It reports whether another process keeps it.
func (rec *Recording) Wait(limit time.Duration) bool {
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-rec.settled:
	case <-timer.C:
	case <-rec.registry.baseCtx.Done():
	}
	rec.mu.Lock()
	defer rec.mu.Unlock()
	return len(rec.kept) > 0
}
