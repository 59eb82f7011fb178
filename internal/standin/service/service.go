// Package service emulates an HTTP service whose calls need not be idempotent.
package service

import (
	"encoding/json"
	"sync"

	"github.com/vanillagate/vanillagate/internal/standin/count"
	"github.com/vanillagate/vanillagate/internal/standin/stagepool"
	"github.com/vanillagate/vanillagate/internal/standin/target"
	"github.com/vanillagate/vanillagate/internal/targetapi"
)

// maxEcho is the maximum size in bytes of a body that is returned as it is; for
// a longer one its hash is returned.
const maxEcho = 64 << 10

// bytesPerItem is the number of bytes of a body that count as one item of work.
const bytesPerItem = 1 << 10

// Answer is the body of the answer to every call.
type Answer struct {
	Service string `json:"service"`
	Path    string `json:"path"`
	// Echo is the request's body: as it is if it is valid JSON, otherwise as a
	// JSON string, and its hash as a JSON string if it is longer than maxEcho.
	Echo json.RawMessage `json:"echo"`
	// Execution is the number of executions with this Idempotency-Key at the
	// service, this one included. Calls without a key are counted together.
	Execution int `json:"execution"`
}

// SharedState is the data that all targets of one service share. Create it with
// NewSharedState.
type SharedState struct {
	fence *target.Fence

	mu         sync.Mutex // guards executions; no other lock is taken while it is held
	executions map[string]int
}

// NewSharedState creates the shared data of a service.
func NewSharedState(checksFencing bool) *SharedState {
	return &SharedState{fence: target.NewFence(checksFencing), executions: map[string]int{}}
}

func (s *SharedState) countExecution(key string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.executions[key]++
	return s.executions[key]
}

// Handler handles the calls of one target of a service.
type Handler struct {
	Name   string
	Server *stagepool.Server
	Shared *SharedState
}

// Crash does nothing: the data is in SharedState, which survives a crash of a
// target.
func (Handler) Crash() {}

// Handle runs one call of any method and path.
func (h Handler) Handle(c *target.Call) {
	if h.Server.HandleCommon(c) {
		return
	}
	key := c.Request.Header.Get(targetapi.HeaderIdempotencyKey)
	execution := 0
	// The fencing token is checked when the call begins to run, not when it
	// arrives: while it waits for a slot, a call with a newer token may run.
	beforeRun := func() bool {
		if !h.Shared.fence.Check(c, key) {
			return false
		}
		execution = h.Shared.countExecution(key)
		return true
	}
	answer := func() any {
		return Answer{Service: h.Name, Path: c.Request.URL.Path, Echo: echo(c.Body), Execution: execution}
	}
	h.Server.Run(c, stagepool.Job{Items: len(c.Body) / bytesPerItem, BeforeRun: beforeRun, IgnoreDisconnect: true, Answer: answer})
}

func echo(body []byte) json.RawMessage {
	if len(body) <= maxEcho && json.Valid(body) {
		return body
	}
	text := string(body)
	if len(body) > maxEcho {
		text = count.Fingerprint(body)
	}
	raw, err := json.Marshal(text)
	if err != nil {
		panic(err) // a string can always be encoded
	}
	return raw
}
