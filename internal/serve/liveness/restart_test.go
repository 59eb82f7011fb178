package liveness

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/vanillagate/vanillagate/internal/serve/upstream"
)

const (
	firstBorn = 1
	laterBorn = 2
)

// pause is longer than a target needs to start again.
const pause = 2 * upstream.RestartTime

// answeringBorn serves all requests with an answer that says when the process started; 0 for one that doesn't.
func answeringBorn(born int64) func(net.Conn, *bufio.Reader) {
	return answering(fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n%d", born))
}

// restartQuestion asks about a process that was last known to run a time ago.
func restartQuestion(address string, ago time.Duration) *Question {
	q := question(address)
	q.Process.Born = firstBorn
	q.KnownUntil = time.Now().Add(-ago)
	q.SentAt = q.KnownUntil
	q.Born = func(body io.Reader) int64 {
		var born int64
		_, _ = fmt.Fscan(body, &born) // 0 if there is none
		return born
	}
	return q
}

// Guards against a later start of a target under its ID that passes as the process that has died.
func TestLaterStartUnderTheSameID(t *testing.T) {
	t.Parallel()
	for name, tc := range map[string]struct {
		serve   func(net.Conn, *bufio.Reader)
		ago     time.Duration
		verdict Verdict
	}{
		"the process":                         {answeringBorn(firstBorn), pause, Alive},
		"a later start":                       {answeringBorn(laterBorn), pause, Replaced},
		"a later start at once":               {answeringBorn(laterBorn), 0, Replaced},
		"a start that isn't named":            {answeringBorn(0), pause, Unidentified},
		"a start that isn't named, no time":   {answeringBorn(0), 0, Alive},
		"at its connection limit":             {closing, pause, Unidentified},
		"at its connection limit, no time":    {closing, 0, Accepting},
		"another target":                      {answering(otherAnswer), pause, Replaced},
		"a failure that names no start":       {answering("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"), pause, Unidentified},
		"a start that isn't named in a pause": {answeringBorn(0), upstream.RestartTime, Unidentified},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			address, _ := server(t, tc.serve)
			got := (&Checker{}).Check(t.Context(), &upstream.Client{}, restartQuestion(address, tc.ago))
			assert.Equal(t, got, tc.verdict)
		})
	}
}

// Guards against whole answers that count as cut because the target doesn't say when it started.
func TestProcessThatAnswersOnAConnectionFromBeforeThePause(t *testing.T) {
	t.Parallel()
	for name, before := range map[string]bool{"before": true, "after": false} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			address, _ := server(t, answeringBorn(0))
			client, q := &upstream.Client{}, restartQuestion(address, pause)
			client.KeepSpare(t.Context(), &q.Request)
			want := Unidentified
			if before {
				q = restartQuestion(address, 0)
				time.Sleep(pause)
				want = Alive
			}
			assert.Equal(t, (&Checker{}).Check(t.Context(), client, q), want)
		})
	}
}

// Guards against whole answers that count as cut while the list names an earlier start of their target.
func TestStartThatWasMetBeforeTheRequestIsItsProcess(t *testing.T) {
	t.Parallel()
	address, _ := server(t, answeringBorn(laterBorn))
	client, checker := &upstream.Client{}, &Checker{}
	assert.Equal(t, checker.Check(t.Context(), client, restartQuestion(address, pause)), Replaced)
	assert.Equal(t, checker.Check(t.Context(), client, restartQuestion(address, 0)), Alive)
	assert.Equal(t, checker.Check(t.Context(), client, restartQuestion(address, pause)), Replaced)
}

// Guards against a verdict about one start that is given about another.
func TestCheckIsNotSharedByQuestionsAboutOtherTimes(t *testing.T) {
	t.Parallel()
	q := restartQuestion("127.0.0.1:1", pause)
	for name, tc := range map[string]struct {
		later time.Duration
		holds bool
	}{"the same": {0, true}, "earlier": {-1, false}, "later": {upstream.RestartTime, true}, "much later": {upstream.RestartTime + 1, false}} {
		other := *q
		other.KnownUntil = q.KnownUntil.Add(tc.later)
		assert.Equal(t, (&check{question: q, afterPause: true}).answers(&other, true), tc.holds, name)
		assert.Assert(t, !(&check{question: q, afterPause: true}).answers(&other, false), name)
	}
}
