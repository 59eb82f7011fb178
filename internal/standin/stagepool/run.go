package stagepool

import (
	"context"
	"errors"
	"net/http"

	"github.com/vanillagate/vanillagate/internal/standin/count"
	"github.com/vanillagate/vanillagate/internal/standin/target"
	"github.com/vanillagate/vanillagate/internal/targetapi"
)

// Job describes the work of one call at a server.
type Job struct {
	// Items is the number of items that the call processes; each adds to its
	// duration.
	Items int
	// BeforeRun, if set, is called when the call has a slot. If it returns
	// false, it has answered the call, which then does not run.
	BeforeRun func() bool
	// IgnoreDisconnect makes a running call continue when its caller
	// disconnects, as a booking does.
	IgnoreDisconnect bool
	// Answer returns the body of the answer.
	Answer func() any
}

// Run executes a call: it waits for a slot, records the execution, sleeps for
// the duration of the work and answers. A call whose caller disconnects while it
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

// HandleCommon answers the calls that all targets support. It returns false for
// other calls.
func (s *Server) HandleCommon(c *target.Call) bool {
	if c.Request.Method != http.MethodGet || c.Request.URL.Path != targetapi.PathLoad {
		return false
	}
	c.PlainJSON(s.Load())
	return true
}
