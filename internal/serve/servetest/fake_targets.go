package servetest

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/vanillagate/vanillagate/internal/serve/gather"
	"github.com/vanillagate/vanillagate/internal/serve/plan"
	"github.com/vanillagate/vanillagate/internal/serve/pool"
)

// FakeTargets simulates stage targets. Each runs one call at a time, the time of a call hardly
// depends on the batch size, and the buffer for results is small. It implements
// gather.StageClient.
type FakeTargets struct {
	// Services are the batch settings of the simulated services, by name.
	Services map[string]*plan.Batch
	// SlowFactors are the factors by which the calls of some targets take longer, by target ID.
	SlowFactors map[string]float64
	// WriteDelay is how long it takes to write a call, as if the VM of the caller were stalled.
	WriteDelay time.Duration
	// Fail reports whether an item fails. nil fails none.
	Fail func(item gather.Item) bool

	mu         sync.Mutex // guards the fields below
	targets    map[string]*fakeTarget
	lastHandle int
	lastCalls  map[string]time.Time // time of the last call by zone
	completed  map[gather.Key]bool
	// Calls and Items count the calls and their items, by service.
	Calls map[string]int
	Items map[string]int
	// CrossZoneBytes counts the bytes of inputs that were read from another zone.
	CrossZoneBytes int
	// MissingInputs counts, by request, the items that failed because an input was gone.
	// Retries of items that had already been completed aren't counted, since their result
	// exists.
	MissingInputs map[string]int
}

var _ gather.StageClient = (*FakeTargets)(nil)

// fakeTarget is the state of one simulated target.
type fakeTarget struct {
	busy      bool
	usedBytes int
	results   map[string]result
}

type result struct {
	bytes     int
	zone      string
	expiresAt time.Time
}

func (p *FakeTargets) targetAt(id string) *fakeTarget {
	if p.targets == nil {
		p.completed, p.lastCalls = map[gather.Key]bool{}, map[string]time.Time{}
		p.targets, p.Calls, p.Items, p.MissingInputs = map[string]*fakeTarget{}, map[string]int{}, map[string]int{}, map[string]int{}
	}
	t := p.targets[id]
	if t == nil {
		t = &fakeTarget{results: map[string]result{}}
		p.targets[id] = t
	}
	return t
}

// LastCall returns when a target in the zone was last called.
func (p *FakeTargets) LastCall(zone string) time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.lastCalls[zone]
}

// Run simulates one call.
func (p *FakeTargets) Run(ctx context.Context, at *pool.Target, items []gather.Item, sent func()) ([]gather.Result, error) {
	batch := p.Services[at.Service]
	if err := sleep(ctx, p.WriteDelay); err != nil {
		return nil, err
	}
	results, took, err := p.startCall(at, batch, items)
	if err != nil {
		return nil, err
	}
	sent()
	err = sleep(ctx, took)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.targetAt(at.Address).busy = false
	if err != nil {
		return nil, err
	}
	return results, nil
}

func (p *FakeTargets) startCall(at *pool.Target, batch *plan.Batch, items []gather.Item) ([]gather.Result, time.Duration, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	t := p.targetAt(at.Address)
	if t.busy || len(items) > batch.Size {
		return nil, 0, gather.ErrFull
	}
	t.busy = true
	p.lastCalls[at.Zone] = time.Now()
	p.Calls[at.Service]++
	took := batch.CallTime + time.Duration(len(items))*batch.ItemTime
	if factor := p.SlowFactors[at.ID]; factor > 0 {
		took = time.Duration(factor * float64(took))
	}
	results := make([]gather.Result, 0, len(items))
	for _, item := range items {
		results = append(results, p.processItem(t, at, batch, item, time.Now().Add(took+batch.Keep)))
	}
	return results, took, nil
}

// processItem simulates one item of a call. The caller holds mu.
func (p *FakeTargets) processItem(t *fakeTarget, at *pool.Target, batch *plan.Batch, item gather.Item, expiresAt time.Time) gather.Result {
	p.Items[at.Service]++
	p.removeExpired(t)
	out := gather.Result{Key: item.Key, Zone: at.Zone}
	for _, handle := range item.Inputs {
		address, _, _ := strings.Cut(handle, "/")
		from := p.targetAt(address)
		p.removeExpired(from)
		input, found := from.results[handle]
		if !found {
			out.Reason = gather.InputGone
			if !p.completed[item.Key] {
				p.MissingInputs[item.Request]++
			}
			return out
		}
		if input.zone != at.Zone {
			p.CrossZoneBytes += input.bytes
		}
	}
	if t.usedBytes+item.Bytes > batch.BufferBytes {
		out.Reason = gather.NoSpace
		return out
	}
	if p.Fail != nil && p.Fail(item) {
		out.Reason = gather.TargetFailed
		return out
	}
	p.completed[item.Key] = true
	p.lastHandle++
	out.Handle = fmt.Sprintf("%s/%d", at.Address, p.lastHandle)
	t.usedBytes += item.Bytes
	t.results[out.Handle] = result{bytes: item.Bytes, zone: at.Zone, expiresAt: expiresAt}
	return out
}

func (p *FakeTargets) removeExpired(t *fakeTarget) {
	now := time.Now()
	for handle, r := range t.results {
		if now.After(r.expiresAt) {
			t.usedBytes -= r.bytes
			delete(t.results, handle)
		}
	}
}

// Free releases results.
func (p *FakeTargets) Free(_ context.Context, at *pool.Target, handles []string) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	t := p.targetAt(at.Address)
	for _, handle := range handles {
		t.usedBytes -= t.results[handle].bytes
		delete(t.results, handle)
	}
	return nil
}

// CallCount returns how many calls a service has received.
func (p *FakeTargets) CallCount(service string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.Calls[service]
}

// HeldBytes returns the total size of the results that all targets hold.
func (p *FakeTargets) HeldBytes() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	total := 0
	for _, t := range p.targets {
		p.removeExpired(t)
		total += t.usedBytes
	}
	return total
}
