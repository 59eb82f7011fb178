package claim

import (
	"context"
	"sync"
	"time"
)

// Limits of the work that waits for the store in the background.
const (
	// backgroundTimeout is how long recording an outcome is retried while the
	// store is down. A claim whose outcome is not recorded by then stays held
	// forever, and callers that repeat the request are told "unknown".
	backgroundTimeout = 15 * time.Minute
	// maxJobs and maxJobBytes limit the background jobs and the size of their
	// bodies. Above them the request itself waits, up to inlineTimeout; the
	// number of such requests is bounded by the request limits.
	maxJobs       = 4096
	maxJobBytes   = 64 << 20
	inlineTimeout = 2 * time.Second
)

// backgroundJobs runs work that outlives its request.
type backgroundJobs struct {
	running sync.WaitGroup

	mu    sync.Mutex // guards jobs and bytes
	jobs  int
	bytes int
}

func newBackgroundJobs() *backgroundJobs { return &backgroundJobs{} }

// start runs work in the background, or synchronously if the limits are
// reached.
func (j *backgroundJobs) start(bytes int, work func(context.Context)) {
	if !j.admit(bytes) {
		ctx, cancel := context.WithTimeout(context.Background(), inlineTimeout)
		defer cancel()
		work(ctx)
		return
	}
	j.running.Go(func() {
		defer j.finishJob(bytes)
		ctx, cancel := context.WithTimeout(context.Background(), backgroundTimeout)
		defer cancel()
		work(ctx)
	})
}

func (j *backgroundJobs) admit(bytes int) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.jobs == maxJobs || j.bytes+bytes > maxJobBytes {
		return false
	}
	j.jobs++
	j.bytes += bytes
	return true
}

func (j *backgroundJobs) finishJob(bytes int) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.jobs--
	j.bytes -= bytes
}

// Drain waits for the background jobs until the context ends. Call it after the
// last request was answered and before the context of Run ends.
func (c *Claims) Drain(ctx context.Context) error {
	done := make(chan struct{})
	go func() {
		c.background.running.Wait()
		close(done)
	}()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}
