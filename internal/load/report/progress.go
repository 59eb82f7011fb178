package report

import (
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/vanillagate/vanillagate/internal/load/runner"
)

// ShowProgress writes a progress line to out every period until the returned
// function is called.
func ShowProgress(out io.Writer, progress *runner.Progress, period time.Duration) func() {
	done := make(chan struct{})
	var writer sync.WaitGroup
	writer.Go(func() { writeProgress(out, progress, period, done) })
	return func() {
		close(done)
		writer.Wait()
	}
}

func writeProgress(out io.Writer, progress *runner.Progress, period time.Duration, done <-chan struct{}) {
	ticker := time.NewTicker(period)
	defer ticker.Stop()
	start := time.Now()
	for {
		select {
		case <-done:
			return
		case <-ticker.C:
			sent, ended, inTime := progress.Sent.Load(), progress.Completed.Load(), progress.InTime.Load()
			fmt.Fprintf(out, "seconds=%.0f sent=%d in_flight=%d ended=%d in_time=%d\n",
				time.Since(start).Seconds(), sent, sent-ended, ended, inTime)
		}
	}
}
