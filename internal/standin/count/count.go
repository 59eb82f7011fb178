// Package count records every execution of a call by the stand-in targets. Tests
// compare the records with what the callers sent and received, to find requests
// that were lost, ran twice or got the answer of another request.
package count

import (
	"fmt"
	"hash/fnv"
	"sync"
	"time"
)

// Execution is the record of one call that a target started to run.
type Execution struct {
	Target         string `json:"target"`
	Pool           string `json:"pool"`
	RequestID      string `json:"request_id"`
	IdempotencyKey string `json:"idempotency_key"`
	Customer       string `json:"customer"`
	Method         string `json:"method"`
	Path           string `json:"path"`
	// Fingerprint is the 64-bit FNV-1a hash of the body in lower-case hex.
	Fingerprint   string `json:"fingerprint"`
	StartedUnixUS int64  `json:"started_unix_us"`
	// Finished says that the call ran to its end, whether or not its answer
	// was delivered.
	Finished bool `json:"finished"`
	// Cancelled says that the caller disconnected before the call finished.
	Cancelled bool `json:"cancelled"`
	// EngineUS is the engine time that the call cost its target, in microseconds.
	EngineUS         int64  `json:"engine_us"`
	PromptTokens     int    `json:"prompt_tokens"`
	CompletionTokens int    `json:"completion_tokens"`
	CachedTokens     int    `json:"cached_tokens"`
	FencingToken     string `json:"fencing_token"`
}

// Result is the outcome of an execution. Its fields are those of Execution.
type Result struct {
	Finished         bool
	Cancelled        bool
	EngineUS         int64
	PromptTokens     int
	CompletionTokens int
	CachedTokens     int
}

// PoolSummary holds the totals of one pool's executions.
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

// ExecutionLog records the executions and crashes of all targets of a process.
// The zero value is ready for use.
type ExecutionLog struct {
	mu         sync.Mutex // guards the fields below and the executions pointed to
	executions []*Execution
	crashes    map[string]int
}

// Start records that a target starts to run a call, and sets StartedUnixUS.
func (l *ExecutionLog) Start(e Execution) *Running {
	e.StartedUnixUS = time.Now().UnixMicro()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.executions = append(l.executions, &e)
	return &Running{log: l, execution: &e}
}

// RecordCrash counts a crash of one of the pool's targets.
func (l *ExecutionLog) RecordCrash(pool string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.crashes == nil {
		l.crashes = map[string]int{}
	}
	l.crashes[pool]++
}

// Executions returns a copy of all records, oldest first.
func (l *ExecutionLog) Executions() []Execution {
	l.mu.Lock()
	defer l.mu.Unlock()
	all := make([]Execution, len(l.executions))
	for i, e := range l.executions {
		all[i] = *e
	}
	return all
}

// Reset deletes all records and crash counts.
func (l *ExecutionLog) Reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.executions = nil
	l.crashes = nil
}

// Summary returns the totals by pool.
func (l *ExecutionLog) Summary() map[string]PoolSummary {
	l.mu.Lock()
	defer l.mu.Unlock()
	pools := map[string]PoolSummary{}
	for _, e := range l.executions {
		pools[e.Pool] = pools[e.Pool].add(e)
	}
	for pool, n := range l.crashes {
		s := pools[pool]
		s.Crashes = n
		pools[pool] = s
	}
	return pools
}

// add returns the totals with one more execution.
func (s PoolSummary) add(e *Execution) PoolSummary {
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

// Running is an execution that has not finished yet.
type Running struct {
	log       *ExecutionLog
	execution *Execution
}

// Finish records the outcome of the execution.
func (r *Running) Finish(result Result) {
	r.log.mu.Lock()
	defer r.log.mu.Unlock()
	r.execution.Finished = result.Finished
	r.execution.Cancelled = result.Cancelled
	r.execution.EngineUS = result.EngineUS
	r.execution.PromptTokens = result.PromptTokens
	r.execution.CompletionTokens = result.CompletionTokens
	r.execution.CachedTokens = result.CachedTokens
}

// Fingerprint returns the hash of a body for Execution.Fingerprint.
func Fingerprint(body []byte) string {
	h := fnv.New64a()
	_, _ = h.Write(body) // Write of a hash never fails
	return fmt.Sprintf("%016x", h.Sum64())
}
