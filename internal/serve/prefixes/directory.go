// Package prefixes is the cache directory: it knows which model engines have read which shared parts
// of prompts, so that another engine can copy these parts instead of reading them again. The entries
// of a key are kept by one process, its owner, which rendezvous hashing chooses among the VMs with
// the most CPU. The state is soft: an entry that is missing or false costs reading the parts again.
package prefixes

import (
	"context"
	"crypto/sha256"
	"encoding/base64"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/vanillagate/vanillagate/internal/peer"
)

const (
	methodFind = "prefixes.find"
	methodRead = "prefixes.read"
)

const (
	// callTimeout bounds a call to an owner. A request without stages waits for the answer.
	callTimeout = 40 * time.Millisecond
	// unresponsivePause is how long an owner that didn't answer is sent nothing.
	unresponsivePause = time.Second
	// maxPendingReads is the number of messages to owners that are being sent at once. Further ones are
	// dropped: a link that is blocked would else keep goroutines for each first event.
	maxPendingReads = 64
)

// Key identifies the shared parts of a prompt at a service. Its length doesn't depend on theirs.
type Key string

// KeyOf returns the key of the prompts to a service whose last shared part is the given one.
func KeyOf(service, lastShared string) Key {
	sum := sha256.Sum256([]byte(service + "\x00" + lastShared))
	return Key(base64.RawStdEncoding.EncodeToString(sum[:16]))
}

// Engine is one incarnation of an engine.
type Engine struct {
	ID   string `json:"e"`
	Born int64  `json:"b,omitempty"`
}

// Holder is an engine that has read the parts of a key, Age ago.
type Holder struct {
	Engine
	Age time.Duration
}

// findCall asks an owner which engines have read the parts of a key.
type findCall struct {
	Key Key `json:"k"`
}

type findAnswer struct {
	Holders []holderWire `json:"h,omitempty"`
}

// holderWire is the wire format of a Holder.
type holderWire struct {
	Engine
	AgeMS int64 `json:"a,omitempty"`
}

// readCall tells an owner that an engine has read the parts of a key.
type readCall struct {
	Key Key `json:"k"`
	Engine
}

// Directory asks the owners of keys, and is the owner of some of them. It is safe for concurrent use.
type Directory struct {
	baseCtx context.Context
	log     *zap.Logger
	network peer.Network
	owners  peer.Owners
	// pendingReads is the number of messages that are being sent.
	pendingReads atomic.Int64

	mu           sync.Mutex // guards the fields below; no other lock is taken while it is held
	records      *records
	unresponsive map[peer.Incarnation]time.Time // until when the process is sent nothing
}

// New returns a directory, whose messages are sent until baseCtx ends. Call it before the network
// starts.
func New(baseCtx context.Context, log *zap.Logger, network peer.Network) *Directory {
	d := &Directory{
		baseCtx: baseCtx, log: log, network: network, records: newRecords(), unresponsive: map[peer.Incarnation]time.Time{},
	}
	peer.HandleCall(network, methodFind, func(c findCall) (any, error) {
		var answer findAnswer
		for _, h := range d.find(c.Key, time.Now()) {
			answer.Holders = append(answer.Holders, holderWire{h.Engine, h.Age.Milliseconds()})
		}
		return answer, nil
	})
	peer.HandleCall(network, methodRead, func(c readCall) (any, error) {
		d.add(c.Key, c.Engine, time.Now())
		return struct{}{}, nil
	})
	return d
}

func (d *Directory) find(key Key, now time.Time) []Holder {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.records.find(key, now)
}

func (d *Directory) add(key Key, engine Engine, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.records.add(key, engine, now)
}

// Find returns the engines that have read the parts of a key, the latest first; false if the owner of
// the key doesn't answer or isn't asked at present.
func (d *Directory) Find(ctx context.Context, key Key) ([]Holder, bool) {
	owner, available := d.ownerOf(key, time.Now())
	if !available {
		return nil, false
	}
	if owner == d.network.Self().Incarnation {
		return d.find(key, time.Now()), true
	}
	var answer findAnswer
	if !d.call(ctx, owner, methodFind, findCall{Key: key}, &answer) {
		return nil, false
	}
	var holders []Holder
	for _, h := range answer.Holders {
		holders = append(holders, Holder{h.Engine, time.Duration(max(h.AgeMS, 0)) * time.Millisecond})
	}
	return holders, true
}

// Read tells the owner of a key that an engine has read its parts. It doesn't wait for the owner, and
// a lost message isn't sent again.
func (d *Directory) Read(key Key, engine Engine) {
	owner, available := d.ownerOf(key, time.Now())
	switch {
	case !available:
	case owner == d.network.Self().Incarnation:
		d.add(key, engine, time.Now())
	case d.pendingReads.Add(1) > maxPendingReads:
		d.pendingReads.Add(-1)
	default:
		go func() {
			defer d.pendingReads.Add(-1)
			d.call(d.baseCtx, owner, methodRead, readCall{Key: key, Engine: engine}, nil)
		}()
	}
}

// call calls an owner and reports whether it answered. One that didn't isn't sent anything for
// unresponsivePause. The call has a goroutine of its own, since peer.Node may block for up to 2.5 s in
// a write whatever the time limit. answer must not be read if call returns false.
func (d *Directory) call(ctx context.Context, owner peer.Incarnation, method string, params, answer any) bool {
	limited, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	done := make(chan error, 1)
	go func() { done <- d.network.Call(limited, owner, method, params, answer) }()
	var err error
	select {
	case err = <-done:
	case <-limited.Done():
		err = limited.Err()
	}
	if err == nil {
		return true
	}
	if ctx.Err() == nil { // else this side gave up
		d.log.Info("Owner of cache directory entries didn't answer.", zap.String("member", string(owner)),
			zap.String("method", method), zap.Error(err))
		d.mu.Lock()
		d.unresponsive[owner] = time.Now().Add(unresponsivePause)
		d.mu.Unlock()
	}
	return false
}

// ownerOf returns the process that keeps the entries of a key; false if there is none or if it didn't
// answer lately.
func (d *Directory) ownerOf(key Key, now time.Time) (peer.Incarnation, bool) {
	first := d.owners.Of(d.network.View(), string(key))
	d.mu.Lock()
	defer d.mu.Unlock()
	return first, first != "" && !now.Before(d.unresponsive[first])
}

// Count returns the number of keys that this process has entries of.
func (d *Directory) Count() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.records.byKey)
}

// Sweep removes expired state. Call it about once a second.
func (d *Directory) Sweep(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.records.sweep(now)
	for id, until := range d.unresponsive {
		if now.After(until) {
			delete(d.unresponsive, id)
		}
	}
}
