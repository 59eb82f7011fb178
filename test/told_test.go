package test

import (
	"io"
	"net/http"
	"syscall"
	"testing"

	"gotest.tools/v3/assert"
)

// A request is on its way when its entry VM is stopped; its answer comes while the
// VM leaves. The answer has to say that the connection closes: a caller that isn't
// told sends its next request on it, and may find it closed with that request unread.
func TestAnAnswerThatComesDuringALeaveSaysThatItsConnectionCloses(t *testing.T) {
	t.Parallel()
	c := startCluster(t, shape{})
	c.waitLinked()
	leaving := c.entries[0]
	answers := make(chan *http.Response, 1)
	kept := &http.Client{Transport: &http.Transport{}}
	go func() {
		defer close(answers)
		answer, err := kept.Do(pipelineRequest("T", longTokens/4).build(leaving.address))
		if err == nil {
			_, err = io.Copy(io.Discard, answer.Body)
			_ = answer.Body.Close()
		}
		if assert.Check(t, err == nil, "%v", err) {
			answers <- answer
		}
	}()
	waitFor(t, "the request to be at an engine", func() bool { return c.running("llm") == 1 })
	leaving.signal(t, syscall.SIGTERM)
	answer := <-answers
	assert.Assert(t, answer != nil)
	assert.Equal(t, answer.StatusCode, http.StatusOK)
	assert.Assert(t, answer.Close)
}
