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

// FakeTargets is a model of stage targets: one call at a time, a call time that
// hardly depends on the batch, and little space for results. It implements
// gather.StageClient.
type FakeTargets struct {
	Services map[string]*plan.Batch
	// Slow multiplies the time of a target's calls, by ID.
	Slow map[string]float64
	// Stall is how long a call takes to be written: the caller's VM stands still.
	Stall time.Duration
	// Fail is called for each item; true makes it fail. nil fails none.
	Fail func(item gather.Item) bool

	mu      sync.Mutex // guards what follows
	targets map[string]*target
	next    int
	called  map[string]time.Time // when a zone's targets were called last
	made    map[gather.Key]bool
	// Calls and Items count by service.
	Calls map[string]int
	Items map[string]int
	// Crossed counts the bytes of inputs that crossed zones.
	Crossed int
	// Gone counts the items whose inputs were gone, by request. Second copies of
	// items that had been made aren't counted: their result is there.
	Gone map[string]int
}

var _ gather.StageClient = (*FakeTargets)(nil)

// target is the model of one.
type target struct {
	busy    bool
	used    int
	results map[string]result
}

type result struct {
	bytes int
	zone  string
	gone  time.Time
}

func (p *FakeTargets) of(id string) *target {
	if p.targets == nil {
		p.made, p.called = map[gather.Key]bool{}, map[string]time.Time{}
		p.targets, p.Calls, p.Items, p.Gone = map[string]*target{}, map[string]int{}, map[string]int{}, map[string]int{}
	}
	t := p.targets[id]
	if t == nil {
		t = &target{results: map[string]result{}}
		p.targets[id] = t
	}
	return t
}

// LastCall is when a target in a zone was called last.
func (p *FakeTargets) LastCall(zone string) time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.called[zone]
}

// Run makes one call.
func (p *FakeTargets) Run(ctx context.Context, at *pool.Target, items []gather.Item, sent func()) ([]gather.Result, error) {
	batch := p.Services[at.Service]
	if err := sleep(ctx, p.Stall); err != nil {
		return nil, err
	}
	results, took, err := p.begin(at, batch, items)
	if err != nil {
		return nil, err
	}
	sent()
	err = sleep(ctx, took)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.of(at.Address).busy = false
	if err != nil {
		return nil, err
	}
	return results, nil
}

func (p *FakeTargets) begin(at *pool.Target, batch *plan.Batch, items []gather.Item) ([]gather.Result, time.Duration, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	t := p.of(at.Address)
	if t.busy || len(items) > batch.Size {
		return nil, 0, gather.ErrFull
	}
	t.busy = true
	p.called[at.Zone] = time.Now()
	p.Calls[at.Service]++
	took := batch.CallTime + time.Duration(len(items))*batch.ItemTime
	if slow := p.Slow[at.ID]; slow > 0 {
		took = time.Duration(slow * float64(took))
	}
	results := make([]gather.Result, 0, len(items))
	for _, item := range items {
		results = append(results, p.make(t, at, batch, item, time.Now().Add(took+batch.Keep)))
	}
	return results, took, nil
}

// make makes one item. The caller holds mu.
func (p *FakeTargets) make(t *target, at *pool.Target, batch *plan.Batch, item gather.Item, gone time.Time) gather.Result {
	p.Items[at.Service]++
	p.sweep(t)
	out := gather.Result{Key: item.Key, Zone: at.Zone}
	for _, handle := range item.Inputs {
		address, _, _ := strings.Cut(handle, "/")
		from := p.of(address)
		p.sweep(from)
		input, found := from.results[handle]
		if !found {
			out.Reason = gather.InputGone
			if !p.made[item.Key] {
				p.Gone[item.Request]++
			}
			return out
		}
		if input.zone != at.Zone {
			p.Crossed += input.bytes
		}
	}
	if t.used+item.Bytes > batch.BufferBytes {
		out.Reason = gather.NoSpace
		return out
	}
	if p.Fail != nil && p.Fail(item) {
		out.Reason = gather.TargetFailed
		return out
	}
	p.made[item.Key] = true
	p.next++
	out.Handle = fmt.Sprintf("%s/%d", at.Address, p.next)
	t.used += item.Bytes
	t.results[out.Handle] = result{bytes: item.Bytes, zone: at.Zone, gone: gone}
	return out
}

func (p *FakeTargets) sweep(t *target) {
	now := time.Now()
	for handle, r := range t.results {
		if now.After(r.gone) {
			t.used -= r.bytes
			delete(t.results, handle)
		}
	}
}

// Free gives back results.
func (p *FakeTargets) Free(_ context.Context, at *pool.Target, handles []string) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	t := p.of(at.Address)
	for _, handle := range handles {
		t.used -= t.results[handle].bytes
		delete(t.results, handle)
	}
	return nil
}

// CallCount counts the calls of a service so far.
func (p *FakeTargets) CallCount(service string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.Calls[service]
}

// HeldBytes is how many bytes of results lie at all targets.
func (p *FakeTargets) HeldBytes() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	total := 0
	for _, t := range p.targets {
		p.sweep(t)
		total += t.used
	}
	return total
}
