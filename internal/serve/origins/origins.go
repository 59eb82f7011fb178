// Package origins remembers at which service and software version each resumable stream began, so that any
// process can resume it there, also after the death of the process that began it. A record is kept by
// the process that passes the stream on and by two others, its holders, which rendezvous hashing over the
// stream's key chooses. A process that resumes a stream asks the processes that may hold its record. A Ledger keeps
// what must outlive all processes in a table outside of them.
package origins

import (
	"cmp"
	"context"
	"crypto/sha256"
	"encoding/base64"
	"slices"
	"sync"
	"time"
	"unique"

	"go.uber.org/zap"

	"github.com/vanillagate/vanillagate/internal/peer"
	"github.com/vanillagate/vanillagate/internal/routing"
	"github.com/vanillagate/vanillagate/internal/wait"
)

const (
	methodStore = "origins.store"
	methodFind  = "origins.find"
)

const (
	// holderCount is how many other processes keep a record.
	holderCount = 2
	// maxHoldersTried is how many processes are asked to keep a record if some don't answer.
	maxHoldersTried = 4
	// maxHoldersAsked is how many processes are asked for a record. It is larger than holderCount, since
	// members that have joined or left meanwhile change which processes rank first.
	maxHoldersAsked = 6
	// storeTimeout limits the call that has a process keep a record, findTimeout a whole search.
	storeTimeout = 250 * time.Millisecond
	findTimeout  = 250 * time.Millisecond
	// joinTime is how long a process that has started needs at most until it knows others. staleTime is how long a search
	// waits until a process that has stood still knows them again, in steps of stalePause.
	joinTime   = 2 * time.Second
	staleTime  = 200 * time.Millisecond
	stalePause = 10 * time.Millisecond
	// maxRecords bounds the memory of one process to a few MB. maxOnlyRecords leaves room for the records without which
	// streams are refused.
	maxRecords     = 20_000
	maxOnlyRecords = maxRecords / 2
)

// Origin is where a stream began.
type Origin struct {
	Service string `json:"s"`
	// Version is the software version of the service's target.
	Version string `json:"v"`
}

// Key identifies a stream by its customer and the attempt that brought its first event. Its length doesn't
// depend on theirs.
type Key string

// KeyOf returns the key of a stream. team is empty for public routes.
func KeyOf(team, attempt string) Key {
	sum := sha256.Sum256([]byte(team + "\x00" + attempt))
	return Key(base64.RawStdEncoding.EncodeToString(sum[:16]))
}

type record struct {
	origin    Origin
	expiresAt time.Time
	// only means that the version seemed to be the only one, so that the stream mostly goes on without the record as well.
	only bool
}

// storeCall asks a process to keep a record for TTLMS milliseconds.
type storeCall struct {
	Key    Key    `json:"k"`
	Origin Origin `json:"o"`
	TTLMS  int64  `json:"ttl_ms"`
	// Persist asks the process to write the record to the table as well.
	Persist bool `json:"persist,omitempty"`
	// Only means that the version seems to be the only one.
	Only bool `json:"only,omitempty"`
}

type storeAnswer struct {
	Kept      bool `json:"kept"`
	Persisted bool `json:"persisted,omitempty"`
}

type findCall struct {
	Key Key `json:"k"`
}

// findAnswer has the origin of a stream, nil if the process doesn't know it.
type findAnswer struct {
	Origin *Origin `json:"o,omitempty"`
}

// Registry keeps the records of this process and those that others have sent to it. It is safe for concurrent
// use.
type Registry struct {
	baseCtx context.Context
	log     *zap.Logger
	network peer.Network
	// ledger keeps records in a table as well; nil for none.
	ledger    *Ledger
	startedAt time.Time

	mu      sync.Mutex // guards the fields below; no other lock is taken while it is held
	records map[Key]record
	// only counts the records of versions that seemed to be the only one.
	only int
}

// New returns a registry, whose records are sent until baseCtx ends. Call it before the network starts.
func New(baseCtx context.Context, log *zap.Logger, network peer.Network) *Registry {
	r := &Registry{baseCtx: baseCtx, log: log, network: network, startedAt: time.Now(), records: map[Key]record{}}
	peer.HandleCall(network, methodStore, func(c storeCall) (any, error) {
		expires := time.Now().Add(time.Duration(c.TTLMS) * time.Millisecond)
		answer := storeAnswer{Kept: r.keep(c.Key, record{origin: c.Origin, expiresAt: expires, only: c.Only})}
		if c.Persist && r.ledger != nil {
			answer.Persisted = r.ledger.addForPeer(c.Key, c.Origin, expires)
		}
		return answer, nil
	})
	peer.HandleCall(network, methodFind, func(c findCall) (any, error) {
		if origin, known := r.local(c.Key, time.Now()); known {
			return findAnswer{Origin: &origin}, nil
		}
		return findAnswer{}, nil
	})
	peer.HandleCall(network, methodVersions, func(struct{}) (any, error) {
		if r.ledger == nil {
			return versionsAnswer{}, nil
		}
		return r.ledger.answerPeer(time.Now()), nil
	})
	peer.HandleCall(network, methodRecall, func(c recallCall) (any, error) {
		if r.ledger == nil {
			return recallAnswer{}, nil
		}
		return r.ledger.readForPeer(r.baseCtx, c), nil
	})
	return r
}

// UseLedger has records kept in a table as well. Call it before the network starts.
func (r *Registry) UseLedger(l *Ledger) { r.ledger = l }

// Ledger returns the ledger in use; nil for none.
func (r *Registry) Ledger() *Ledger { return r.ledger }

// keep stores a record in this process. It reports false if there is no room.
func (r *Registry) keep(key Key, kept record) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	before, known := r.records[key]
	if !known && (len(r.records) >= maxRecords || kept.only && r.only >= maxOnlyRecords) {
		return false
	}
	r.only += countOnly(kept) - countOnly(before)
	kept.origin = Origin{Service: unique.Make(kept.origin.Service).Value(), Version: unique.Make(kept.origin.Version).Value()}
	r.records[key] = kept
	return true
}

// countOnly returns 1 for a record of a version that seemed to be the only one.
func countOnly(kept record) int {
	if kept.only {
		return 1
	}
	return 0
}

func (r *Registry) local(key Key, now time.Time) (Origin, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	found, known := r.records[key]
	return found.origin, known && now.Before(found.expiresAt)
}

// Count returns the number of records in this process.
func (r *Registry) Count() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.records)
}

// Sweep removes expired records. Call it about once a second.
func (r *Registry) Sweep(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for key, kept := range r.records {
		if !now.Before(kept.expiresAt) {
			r.only -= countOnly(kept)
			delete(r.records, key)
		}
	}
}

// ranked returns the processes that rank first for a stream, at most n, the highest first. Unlike
// peer.View.HighestRanked it leaves this process out, and accept selects the others by their state.
func (r *Registry) ranked(key Key, n int, accept func(peer.MemberState) bool) []peer.Incarnation {
	type candidate struct {
		id   peer.Incarnation
		rank uint64
	}
	var all []candidate
	for _, m := range r.network.View().Members {
		if accept(m.State) {
			all = append(all, candidate{m.Incarnation, routing.RendezvousScore(string(key), string(m.Incarnation))})
		}
	}
	slices.SortFunc(all, func(a, b candidate) int { return cmp.Compare(b.rank, a.rank) })
	var first []peer.Incarnation
	for _, c := range all[:min(n, len(all))] {
		first = append(first, c.id)
	}
	return first
}

// Result is the result of a search for a stream's origin.
type Result struct {
	Origin Origin
	Found  bool
	// Asked is how many processes were asked, Answered how many of them answered.
	Asked, Answered int
	// Joining means that this process has just started, or has stood still, and may not know the others yet.
	Joining bool
}

// Local reports whether this process had the record itself.
func (r Result) Local() bool { return r.Found && r.Asked == 0 }

// awaitMembers waits until this process knows the others, which it doesn't at first after a standstill. It reports whether
// it does.
func (r *Registry) awaitMembers(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, staleTime)
	defer cancel()
	for r.network.Stale() {
		if !wait.For(ctx, stalePause) {
			return false
		}
	}
	return true
}

// Find searches for the origin of a stream, here and at the processes that may hold its record.
func (r *Registry) Find(ctx context.Context, key Key) Result {
	if origin, known := r.local(key, time.Now()); known {
		return Result{Origin: origin, Found: true}
	}
	stale := !r.awaitMembers(ctx)
	ctx, cancel := context.WithTimeout(ctx, findTimeout)
	defer cancel()
	asked := r.ranked(key, maxHoldersAsked, func(s peer.MemberState) bool { return s != peer.Dead })
	result := Result{Asked: len(asked), Joining: stale || len(asked) == 0 && time.Since(r.startedAt) < joinTime}
	type reply struct {
		findAnswer
		err error
	}
	replies := make(chan reply, len(asked))
	for _, id := range asked {
		go func() {
			var got reply
			got.err = r.network.Call(ctx, id, methodFind, findCall{Key: key}, &got.findAnswer)
			replies <- got
		}()
	}
	for range asked {
		var got reply
		select {
		case got = <-replies:
		case <-ctx.Done():
			return result
		}
		if got.err != nil {
			r.log.Debug("Process didn't tell whether it knows a stream's origin.", zap.Error(got.err))
			continue
		}
		result.Answered++
		if got.Origin != nil {
			result.Origin, result.Found = *got.Origin, true
			return result
		}
	}
	return result
}
