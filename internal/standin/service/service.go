// Package service emulates a plain HTTP service, some of whose calls may not
// be repeated.
package service

import (
	"encoding/json"
	"sync"

	"github.com/vanillagate/vanillagate/internal/standin/count"
	"github.com/vanillagate/vanillagate/internal/standin/stagepool"
	"github.com/vanillagate/vanillagate/internal/standin/target"
	"github.com/vanillagate/vanillagate/internal/targetapi"
)

// maxEcho is the longest body that is answered as it is, in bytes; of a longer
// one the hash is answered.
const maxEcho = 64 << 10

// bytesPerItem is how much of a body counts as one item of work.
const bytesPerItem = 1 << 10

// Answer is what every call gets.
type Answer struct {
	Service string `json:"service"`
	Path    string `json:"path"`
	// Echo is the body as JSON; as a text, where it isn't JSON; or its hash.
	Echo json.RawMessage `json:"echo"`
	// Execution counts the executions of this Idempotency-Key at the service,
	// those without a key together.
	Execution int `json:"execution"`
}

// SharedState is what the targets of one service have in common: the data that
// they work on. Use NewShared.
type SharedState struct {
	fence *target.Fence

	mu         sync.Mutex // guards executions; a leaf
	executions map[string]int
}

// NewSharedState builds the data of a service.
func NewSharedState(checksFencing bool) *SharedState {
	return &SharedState{fence: target.NewFence(checksFencing), executions: map[string]int{}}
}

func (s *SharedState) execute(key string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.executions[key]++
	return s.executions[key]
}

// Handler is one target of a service.
type Handler struct {
	Name   string
	Server *stagepool.Server
	Shared *SharedState
}

// Crash does nothing: the service's data is kept elsewhere.
func (Handler) Crash() {}

// Handle runs one call of any method and path.
func (w Handler) Handle(c *target.Call) {
	if w.Server.HandleCommon(c) {
		return
	}
	key := c.Request.Header.Get(targetapi.HeaderIdempotencyKey)
	execution := 0
	// The fence is asked when the call begins, not when it arrives: while it
	// waits for its place one with a newer token may run.
	begin := func() bool {
		if !w.Shared.fence.Check(c, key) {
			return false
		}
		execution = w.Shared.execute(key)
		return true
	}
	answer := func() any {
		return Answer{Service: w.Name, Path: c.Request.URL.Path, Echo: echo(c.Body), Execution: execution}
	}
	w.Server.Run(c, stagepool.Job{Items: len(c.Body) / bytesPerItem, BeforeRun: begin, IgnoreDisconnect: true, Answer: answer})
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
