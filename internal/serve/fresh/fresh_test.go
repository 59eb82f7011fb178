package fresh

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against results of calls that began before the question, and against a call for each question.
func TestResultIsOfACallSinceTheQuestion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var calls Calls[time.Time]
		var made atomic.Int64
		do := func(context.Context) (time.Time, error) {
			made.Add(1)
			began := time.Now()
			time.Sleep(300 * time.Millisecond)
			return began, nil
		}
		for range 100 {
			asked := time.Now()
			began, err := calls.Since(t.Context(), asked, 500*time.Millisecond, do).Await(t.Context())
			assert.NilError(t, err)
			assert.Assert(t, !began.Before(asked))
			time.Sleep(50 * time.Millisecond)
		}
		assert.Equal(t, made.Load(), int64(100))

		made.Store(0)
		var last *Call[time.Time]
		for range 1000 { // in 5 s
			last = calls.Since(t.Context(), time.Now(), 500*time.Millisecond, do)
			time.Sleep(5 * time.Millisecond)
		}
		<-last.Done()
		assert.Assert(t, made.Load() <= 12, "%d calls", made.Load())
	})
}

// Guards against calls in quick succession while they fail, and questions that wait for them.
func TestFailureIsSharedForAPause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var calls Calls[int]
		failure, made := errors.New("failed"), 0
		do := func(context.Context) (int, error) {
			made++
			return 0, failure
		}
		for range 20 { // in 1 s
			asked := time.Now()
			_, err := calls.Since(t.Context(), asked, 500*time.Millisecond, do).Await(t.Context())
			assert.ErrorIs(t, err, failure)
			assert.Equal(t, time.Since(asked), time.Duration(0))
			time.Sleep(50 * time.Millisecond)
		}
		assert.Equal(t, made, 2)
	})
}
