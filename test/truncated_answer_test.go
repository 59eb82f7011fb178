package test

import (
	"context"
	"errors"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/vanillagate/vanillagate/internal/standin/count"
	"github.com/vanillagate/vanillagate/internal/standin/fault"
)

// engineScope is the fault scope of the engines.
var engineScope = fault.PoolScope("llm")

// generateExecutions returns the executions at the engines, the pipeline's last
// stage, leaving out the first since executions of any stage.
func (c *cluster) generateExecutions(since int) []count.Execution {
	c.t.Helper()
	var found []count.Execution
	for _, e := range c.executions()[since:] {
		if e.Pool == "llm" {
			found = append(found, e)
		}
	}
	return found
}

// An engine's stream breaks after a few tokens, again and again, when the
// caller has already received the first words. The caller must get the rest,
// with nothing missing and nothing repeated, as a stream and as JSON.
func TestCutStreamIsResumedFromWhatWasSent(t *testing.T) {
	t.Parallel()
	c := startCluster(t, clusterOptions{entries: 2}) // each has its own retry budget
	c.setFault(engineScope, fault.Fault{DropStreamAfterTokens: 6})
	s := stream(context.Background(), c.entries[0].address, "S", 16, nil)
	assert.NilError(t, s.err)
	assert.Assert(t, s.problem == nil, "%v", s.problem)
	assert.Equal(t, s.text, wholeText("S", 16))
	runs := c.generateExecutions(0)
	assert.Equal(t, len(runs), 3) // 6 and 6 and 4 tokens
	assert.Assert(t, runs[1].PromptTokens > runs[0].PromptTokens, "restarted instead of resumed")
	assert.Equal(t, sendNow(c.entries[1].address, pipelineRequest("J", 16)).output(t), wholeText("J", 16))
}

// Every stream breaks so early that the retries run out. The caller must be
// able to tell that the answer is incomplete: a truncated quote that looks
// complete would be sent to a guest.
func TestAnswerThatCantBeCompletedEndsInAnError(t *testing.T) {
	t.Parallel()
	c := startCluster(t, clusterOptions{entries: 1})
	at := c.entries[0].address
	c.setFault(engineScope, fault.Fault{DropStreamAfterTokens: 2})
	s := stream(context.Background(), at, "S", 16, nil)
	assert.NilError(t, s.err)
	assert.Assert(t, s.problem != nil, "got %q and no error", s.text)
	assert.Assert(t, s.text != "" && strings.HasPrefix(wholeText("S", 16), s.text), "got %q", s.text)
	got := sendNow(at, pipelineRequest("J", 16))
	assert.Assert(t, got.problem != nil, "got %s", got.body)
}

// The engine that generates goes down in the middle of a stream. The caller
// must get the complete answer from another engine.
func TestEngineThatDiesInMidStreamIsReplaced(t *testing.T) {
	t.Parallel()
	c := startCluster(t, clusterOptions{entries: 1})
	at := c.entries[0].address
	c.setFault(engineScope, fault.Fault{StraggleFactor: 15})
	since := len(c.executions())
	var down string
	var once sync.Once
	s := stream(context.Background(), at, "S", 24, func(string) {
		once.Do(func() {
			down = c.generateExecutions(since)[0].Target
			c.setFault(fault.TargetScope(down), fault.Fault{Down: true})
		})
	})
	assert.NilError(t, s.err)
	assert.Assert(t, s.problem == nil, "%v", s.problem)
	assert.Equal(t, s.text, wholeText("S", 24))
	runs := c.generateExecutions(since)
	assert.Assert(t, len(runs) > 1 && runs[len(runs)-1].Target != down)
}

// An entry VM dies while it streams to one caller and another caller waits for
// a JSON answer. Both must be able to tell that their answer is incomplete, and
// get it from another entry VM.
func TestCallersOfAnEntryVMThatDiesGetTheirAnswersElsewhere(t *testing.T) {
	t.Parallel()
	c := startCluster(t, clusterOptions{entries: 2})
	first, second := c.entries[0], c.entries[1]
	c.setFault(engineScope, fault.Fault{StraggleFactor: 15})
	started := make(chan struct{})
	var once sync.Once
	var s streamResult
	var streaming sync.WaitGroup
	streaming.Go(func() {
		s = stream(context.Background(), first.address, "S", 64, func(string) { once.Do(func() { close(started) }) })
	})
	waiting := sendAsync(first.address, pipelineRequest("J", 64))
	select {
	case <-started:
	case <-time.After(waitTimeout):
		t.Fatal("no stream began")
	}
	waitFor(t, "both to be generated", func() bool { return len(c.generateExecutions(0)) == 2 })
	first.kill(t)
	streaming.Wait()
	assert.Assert(t, errors.Is(s.err, errStreamCut), "a dead VM's stream ended as if it were complete: %q", s.text)
	assert.Assert(t, s.text != wholeText("S", 64))
	assert.Assert(t, (<-waiting).err != nil)

	c.setFault(engineScope, fault.Fault{})
	again := stream(context.Background(), second.address, "S", 64, nil)
	assert.NilError(t, again.err)
	assert.Equal(t, again.text, wholeText("S", 64))
	assert.Equal(t, sendNow(second.address, pipelineRequest("J", 64)).output(t), wholeText("J", 64))
}

// Many requests run while engines cut streams, slow down and restart at the
// same time. No caller may get a truncated answer that looks complete, or
// another caller's words.
func TestTruncatedAnswerNeverLooksCompleteUnderManyFaults(t *testing.T) {
	t.Parallel()
	c := startCluster(t, clusterOptions{entries: 2})
	first := c.fleetFile.Pools[0].FirstAddress
	c.setFault(engineScope, fault.Fault{DropStreamAfterTokens: 5, WrongIdentityShare: 0.1, LoseAnswerShare: 0.1})
	c.setFault(fault.TargetScope(first), fault.Fault{StraggleFactor: 20})
	total := 0
	for round := range 4 {
		c.setFault(fault.TargetScope(first), fault.Fault{StraggleFactor: 20, Down: round%2 == 1})
		answered, _ := c.sendBurst("Q", 30)
		total += answered
	}
	assert.Assert(t, total > 0)
}
