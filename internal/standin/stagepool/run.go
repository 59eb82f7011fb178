package stagepool

import (
	"context"
	"errors"
	"net/http"

	"github.com/vanillagate/vanillagate/internal/standin/count"
	"github.com/vanillagate/vanillagate/internal/standin/target"
	"github.com/vanillagate/vanillagate/internal/targetapi"
)

// Job is what a call asks of a server.
type Job struct {
	// Items adds to what the call costs.
	Items int
	// Begin, when set, decides whether a call that has its place runs. Where
	// it says false it has answered.
	Begin func() bool
	// ToTheEnd has a call that runs go on when its caller hangs up, as a
	// booking does.
	ToTheEnd bool
	// Answer makes the body of the answer.
	Answer func() any
}

// Run takes a call through the server: it waits for a place, counts the
// execution, spends its time and answers. A call that is given up while it
// waits has not run.
func (s *Server) Run(c *target.Call, j Job) {
	err := s.Enter(c.Context())
	if errors.Is(err, ErrQueueFull) {
		c.Busy(http.StatusTooManyRequests, "queue", "Queue is full")
		return
	}
	if err != nil {
		c.Drop()
	}
	defer s.Leave()
	if j.Begin != nil && !j.Begin() {
		return
	}
	s.execute(c, j)
}

func (s *Server) execute(c *target.Call, j Job) {
	running := c.Start()
	spent, err := s.Spend(j.context(c), j.Items)
	running.Finish(count.Result{
		Finished:     err == nil,
		Cancelled:    err != nil && c.HungUp(),
		EngineUS:     spent.Microseconds(),
		PromptTokens: j.Items,
	})
	if err != nil {
		c.Drop()
	}
	c.JSON(target.Answer{Load: s.Load(), EngineUS: spent.Microseconds()}, j.Answer())
}

func (j Job) context(c *target.Call) context.Context {
	if j.ToTheEnd {
		return c.Lifetime()
	}
	return c.Context()
}

// Common answers the calls that all targets know, and is false for others.
func (s *Server) Common(c *target.Call) bool {
	if c.Request.Method != http.MethodGet || c.Request.URL.Path != targetapi.PathLoad {
		return false
	}
	c.Plain(s.Load())
	return true
}
