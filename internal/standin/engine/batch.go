package engine

import (
	"container/heap"
	"math"
	"time"
)

// Sequence is one completion request that an engine processes. Its mutable
// fields are guarded by the engine's mutex; Engine.Progress reads them.
type Sequence struct {
	prompt   string
	hashes   []uint64
	priority int
	arrival  uint64
	maxWords int
	text     continuation
	stream   bool
	version  string
	notify   chan struct{} // holds an element when there is progress to read

	promptTokens int
	cachedTokens int
	prefillLeft  int
	decoding     bool // generates a word in the current step
	produced     int
	costUS       float64
	status       Status
}

// Status says whether and how a sequence has ended.
type Status int

// The states of a sequence.
const (
	// InProgress means that the sequence waits or runs.
	InProgress Status = iota
	// Complete means that all its words were generated.
	Complete
	// Cancelled means that the caller abandoned it.
	Cancelled
	// Aborted means that the engine crashed.
	Aborted
)

// waitingQueue orders sequences by priority (lower values first), then by
// arrival. It implements heap.Interface.
type waitingQueue []*Sequence

func (q waitingQueue) Len() int { return len(q) }

func (q waitingQueue) Less(i, j int) bool {
	if q[i].priority != q[j].priority {
		return q[i].priority < q[j].priority
	}
	return q[i].arrival < q[j].arrival
}

func (q waitingQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *waitingQueue) Push(x any) { *q = append(*q, x.(*Sequence)) }

// Pop implements heap.Interface.
func (q *waitingQueue) Pop() any {
	last := len(*q) - 1
	s := (*q)[last]
	(*q)[last] = nil
	*q = (*q)[:last]
	return s
}

// batch is the scheduler of the engine, without clock or locks: it selects the
// running sequences and computes how long each step takes.
type batch struct {
	costs   Costs
	waiting waitingQueue
	running []*Sequence
	cache   *prefixCache
	// onCache is called after each insertion into the cache.
	onCache func(stored, removed []uint64)
}

func (b *batch) enqueue(s *Sequence) { heap.Push(&b.waiting, s) }

func (b *batch) idle() bool { return len(b.waiting) == 0 && len(b.running) == 0 }

// admit fills the batch from the queue. The prefix cache is consulted here,
// when a sequence starts, not when it arrives.
func (b *batch) admit() {
	for len(b.running) < b.costs.MaxBatch && len(b.waiting) > 0 {
		s := heap.Pop(&b.waiting).(*Sequence)
		cachedBlocks := b.cache.match(s.hashes)
		s.promptTokens, s.cachedTokens = countTokens(s.prompt, cachedBlocks*cacheBlockBytes)
		s.prefillLeft = s.promptTokens - s.cachedTokens
		b.running = append(b.running, s)
	}
}

// step plans one step: prompt tokens are prefilled in the order of the batch,
// up to PrefillChunk in total, and every sequence whose prompt is fully
// prefilled generates a word. It returns the duration of the step and charges
// it to the sequences. The duration is zero only if no sequence runs.
func (b *batch) step(straggleFactor float64) time.Duration {
	b.admit()
	if len(b.running) == 0 {
		return 0
	}
	budget := b.costs.PrefillChunk
	sequenceCost := float64(b.costs.StepUS)/float64(len(b.running)) + float64(b.costs.PerSequenceUS)
	total := 0.0
	for _, s := range b.running {
		prefill := min(s.prefillLeft, budget)
		budget -= prefill
		s.prefillLeft -= prefill
		cost := straggleFactor * (sequenceCost + float64(prefill*b.costs.PrefillTokenUS))
		s.costUS += cost
		total += cost
		s.decoding = s.prefillLeft == 0
	}
	return time.Duration(max(math.Round(total), 1)) * time.Microsecond
}

// finishStep adds a word to every sequence that generates one in this step.
func (b *batch) finishStep() {
	for _, s := range b.running {
		if s.decoding {
			b.produce(s)
		}
	}
}

func (b *batch) produce(s *Sequence) {
	if s.produced == 0 {
		b.onCache(b.cache.store(s.hashes))
	}
	s.decoding = false
	s.produced++
}

// removeCompleted removes the completed sequences from the batch and returns
// them.
func (b *batch) removeCompleted() []*Sequence {
	var done []*Sequence
	kept := b.running[:0]
	for _, s := range b.running {
		if s.produced < s.maxWords {
			kept = append(kept, s)
			continue
		}
		s.status = Complete
		done = append(done, s)
	}
	clear(b.running[len(kept):])
	b.running = kept
	return done
}

// remove removes a waiting or running sequence and frees its place.
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

// clear removes and returns all sequences.
func (b *batch) clear() []*Sequence {
	all := append(append([]*Sequence{}, b.running...), b.waiting...)
	b.running = nil
	b.waiting = nil
	return all
}
