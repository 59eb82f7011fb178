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
	// BeforeRun, when set, decides whether a call that has its place runs. Where
	// it says false it has answered.
	BeforeRun func() bool
	// IgnoreDisconnect has a call that runs go on when its caller hangs up, as a
	// booking does.
	IgnoreDisconnect bool
	// Answer makes the body of the answer.
	Answer func() any
}

// Run takes a call through the server: it waits for a place, counts the
// execution, spends its time and answers. A call that is given up while it
// waits has not run.
func (s *Server) Run(c *target.Call, j Job) {
	err := s.Acquire(c.Context())
	if errors.Is(err, ErrQueueFull) {
		c.RefuseWithRetry(http.StatusTooManyRequests, "queue", "Queue is full")
		return
	}
	if err != nil {
		c.CloseConnection()
	}
	defer s.Release()
	if j.BeforeRun != nil && !j.BeforeRun() {
		return
	}
	s.execute(c, j)
}

func (s *Server) execute(c *target.Call, j Job) {
	running := c.RecordStart()
	spent, err := s.SimulateWork(j.context(c), j.Items)
	running.Finish(count.Result{
		Finished:     err == nil,
		Cancelled:    err != nil && c.CallerLeft(),
		EngineUS:     spent.Microseconds(),
		PromptTokens: j.Items,
	})
	if err != nil {
		c.CloseConnection()
	}
	c.JSON(target.Answer{Load: s.Load(), EngineUS: spent.Microseconds()}, j.Answer())
}

func (j Job) context(c *target.Call) context.Context {
	if j.IgnoreDisconnect {
		return c.Lifetime()
	}
	return c.Context()
}

// HandleCommon answers the calls that all targets know, and is false for others.
func (s *Server) HandleCommon(c *target.Call) bool {
	if c.Request.Method != http.MethodGet || c.Request.URL.Path != targetapi.PathLoad {
		return false
	}
	c.PlainJSON(s.Load())
	return true
}
