// Package count keeps what the targets ran, one record for each execution. It
// is the witness of requests that were lost, doubled or crossed.
package count

import (
	"fmt"
	"hash/fnv"
	"sync"
	"time"
)

// Execution is one call that a target began to run.
type Execution struct {
	Target         string `json:"target"`
	Pool           string `json:"pool"`
	RequestID      string `json:"request_id"`
	IdempotencyKey string `json:"idempotency_key"`
	Customer       string `json:"customer"`
	Method         string `json:"method"`
	Path           string `json:"path"`
	// Fingerprint is the FNV-1a 64 hash of the body in lower-case hex.
	Fingerprint   string `json:"fingerprint"`
	StartedUnixUS int64  `json:"started_unix_us"`
	// Finished says that the call took its whole effect, answered or not.
	Finished bool `json:"finished"`
	// Cancelled says that the caller hung up before it finished.
	Cancelled bool `json:"cancelled"`
	// EngineUS is what the call cost its target, in microseconds.
	EngineUS         int64  `json:"engine_us"`
	PromptTokens     int    `json:"prompt_tokens"`
	CompletionTokens int    `json:"completion_tokens"`
	CachedTokens     int    `json:"cached_tokens"`
	FencingToken     string `json:"fencing_token"`
}

// Result is what became of an execution.
type Result struct {
	Finished         bool
	Cancelled        bool
	EngineUS         int64
	PromptTokens     int
	CompletionTokens int
	CachedTokens     int
}

// PoolSummary adds up the executions of one pool.
type PoolSummary struct {
	Executions       int   `json:"executions"`
	Finished         int   `json:"finished"`
	Cancelled        int   `json:"cancelled"`
	EngineUS         int64 `json:"engine_us"`
	PromptTokens     int   `json:"prompt_tokens"`
	CompletionTokens int   `json:"completion_tokens"`
	CachedTokens     int   `json:"cached_tokens"`
	Crashes          int   `json:"crashes"`
}

// ExecutionLog holds the executions of all targets of a process. The zero value is
// ready for use.
type ExecutionLog struct {
	mu         sync.Mutex // guards all below, and what the executions point to
	executions []*Execution
	crashes    map[string]int
}

// Start notes that a target begins to run a call. StartedUnixUS is set here.
func (l *ExecutionLog) Start(e Execution) *Running {
	e.StartedUnixUS = time.Now().UnixMicro()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.executions = append(l.executions, &e)
	return &Running{ledger: l, execution: &e}
}

// RecordCrash counts a crash of a target of the pool.
func (l *ExecutionLog) RecordCrash(pool string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.crashes == nil {
		l.crashes = map[string]int{}
	}
	l.crashes[pool]++
}

// Executions copies all records, oldest first.
func (l *ExecutionLog) Executions() []Execution {
	l.mu.Lock()
	defer l.mu.Unlock()
	all := make([]Execution, len(l.executions))
	for i, e := range l.executions {
		all[i] = *e
	}
	return all
}

// Reset forgets everything.
func (l *ExecutionLog) Reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.executions = nil
	l.crashes = nil
}

// Summary adds up by pool.
func (l *ExecutionLog) Summary() map[string]PoolSummary {
	l.mu.Lock()
	defer l.mu.Unlock()
	pools := map[string]PoolSummary{}
	for _, e := range l.executions {
		pools[e.Pool] = pools[e.Pool].with(e)
	}
	for pool, n := range l.crashes {
		s := pools[pool]
		s.Crashes = n
		pools[pool] = s
	}
	return pools
}

func (s PoolSummary) with(e *Execution) PoolSummary {
	s.Executions++
	if e.Finished {
		s.Finished++
	}
	if e.Cancelled {
		s.Cancelled++
	}
	s.EngineUS += e.EngineUS
	s.PromptTokens += e.PromptTokens
	s.CompletionTokens += e.CompletionTokens
	s.CachedTokens += e.CachedTokens
	return s
}

// Running is an execution whose end is still to come.
type Running struct {
	ledger    *ExecutionLog
	execution *Execution
}

// Finish notes what became of the execution.
func (r *Running) Finish(result Result) {
	r.ledger.mu.Lock()
	defer r.ledger.mu.Unlock()
	r.execution.Finished = result.Finished
	r.execution.Cancelled = result.Cancelled
	r.execution.EngineUS = result.EngineUS
	r.execution.PromptTokens = result.PromptTokens
	r.execution.CompletionTokens = result.CompletionTokens
	r.execution.CachedTokens = result.CachedTokens
}

// Fingerprint hashes a body for Execution.Fingerprint.
func Fingerprint(body []byte) string {
	h := fnv.New64a()
	_, _ = h.Write(body) // a hash's Write never fails
	return fmt.Sprintf("%016x", h.Sum64())
}
