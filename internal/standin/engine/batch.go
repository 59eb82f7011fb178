package engine

import (
	"container/heap"
	"math"
	"time"
)

// Sequence is one completion that an engine works on. Its exported methods
// are the engine's; all its changing fields are guarded by the engine's lock.
type Sequence struct {
	prompt   string
	hashes   []uint64
	priority int
	arrival  uint64
	maxWords int
	text     continuation
	stream   bool
	version  string
	notify   chan struct{} // has one element when there is something to see

	promptTokens int
	cachedTokens int
	prefillLeft  int
	inStep       bool // gets a word when the present step ends
	produced     int
	costUS       float64
	end          Status
}

// Status says how a sequence ended.
type Status int

// The ways to end.
const (
	// InProgress means that the sequence waits or runs.
	InProgress Status = iota
	// Complete means that all its words were generated.
	Complete
	// Cancelled means that the caller gave it up.
	Cancelled
	// Aborted means that the engine crashed.
	Aborted
)

// waitingQueue orders by priority (lower first), then by arrival. It is a
// container/heap.
type waitingQueue []*Sequence

func (q waitingQueue) Len() int { return len(q) }

func (q waitingQueue) Less(i, j int) bool {
	if q[i].priority != q[j].priority {
		return q[i].priority < q[j].priority
	}
	return q[i].arrival < q[j].arrival
}

func (q waitingQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push is heap's.
func (q *waitingQueue) Push(x any) { *q = append(*q, x.(*Sequence)) }

// Pop is heap's.
func (q *waitingQueue) Pop() any {
	last := len(*q) - 1
	s := (*q)[last]
	(*q)[last] = nil
	*q = (*q)[:last]
	return s
}

// batch is the pure part of the engine: who runs, and what a step takes.
type batch struct {
	costs   Costs
	waiting waitingQueue
	running []*Sequence
	cache   *prefixCache
	// onCache is told of each change of the cache.
	onCache func(stored, removed []uint64)
}

func (b *batch) enqueue(s *Sequence) { heap.Push(&b.waiting, s) }

func (b *batch) idle() bool { return len(b.waiting) == 0 && len(b.running) == 0 }

// admit fills the batch from the queue. What the cache holds is found out
// here, when a sequence starts, not when it arrives.
func (b *batch) admit() {
	for len(b.running) < b.costs.MaxBatch && len(b.waiting) > 0 {
		s := heap.Pop(&b.waiting).(*Sequence)
		cachedBlocks := b.cache.match(s.hashes)
		s.promptTokens, s.cachedTokens = tokensIn(s.prompt, cachedBlocks*cacheBlockBytes)
		s.prefillLeft = s.promptTokens - s.cachedTokens
		b.running = append(b.running, s)
	}
}

// step plans one step: prompt tokens are taken in first come first served up
// to the chunk, and every sequence whose prompt is in will get a word. It says
// how long the step takes and charges it to the sequences; zero only where
// nobody runs.
func (b *batch) step(stretch float64) time.Duration {
	b.admit()
	if len(b.running) == 0 {
		return 0
	}
	budget := b.costs.PrefillChunk
	share := float64(b.costs.StepUS)/float64(len(b.running)) + float64(b.costs.PerSequenceUS)
	total := 0.0
	for _, s := range b.running {
		prefill := min(s.prefillLeft, budget)
		budget -= prefill
		s.prefillLeft -= prefill
		cost := stretch * (share + float64(prefill*b.costs.PrefillTokenUS))
		s.costUS += cost
		total += cost
		s.inStep = s.prefillLeft == 0
	}
	return time.Duration(max(math.Round(total), 1)) * time.Microsecond
}

// finishStep gives every sequence of the step its word.
func (b *batch) finishStep() {
	for _, s := range b.running {
		if s.inStep {
			b.produce(s)
		}
	}
}

func (b *batch) produce(s *Sequence) {
	if s.produced == 0 {
		b.onCache(b.cache.store(s.hashes))
	}
	s.inStep = false
	s.produced++
}

// sweep takes out of the batch what is complete, and returns those.
func (b *batch) sweep() []*Sequence {
	var done []*Sequence
	kept := b.running[:0]
	for _, s := range b.running {
		if s.produced < s.maxWords {
			kept = append(kept, s)
			continue
		}
		s.end = Complete
		done = append(done, s)
	}
	clear(b.running[len(kept):])
	b.running = kept
	return done
}

// remove takes a sequence out, waiting or running, and frees its place.
func (b *batch) remove(s *Sequence) {
	for i, w := range b.waiting {
		if w == s {
			heap.Remove(&b.waiting, i)
			return
		}
	}
	for i, r := range b.running {
		if r == s {
			b.running = append(b.running[:i], b.running[i+1:]...)
			return
		}
	}
}

// clear takes out everything and returns it.
func (b *batch) clear() []*Sequence {
	all := append(append([]*Sequence{}, b.running...), b.waiting...)
	b.running = nil
	b.waiting = nil
	return all
}
