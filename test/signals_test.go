package test

import (
	"os"
	"os/exec"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// checkRunning checks that none of the processes has ended.
func checkRunning(t *testing.T, all ...*process) {
	t.Helper()
	for _, p := range all {
		select {
		case <-p.done:
			t.Errorf("%s ended: %v", p.name, p.err)
		default:
		}
	}
}

// redirectOutput lets a program write its logs to a file instead of to the test.
func redirectOutput(out *os.File) func(*exec.Cmd) {
	return func(cmd *exec.Cmd) { cmd.Stdout, cmd.Stderr = out, out }
}

// SIGHUP is sent to all processes while streams are in flight, as operators or a service manager do
// to make them reload their settings. Guards against a process that doesn't handle the signal: it
// ends with exit code 129 and no log line, and callers get half a stream or no answer. Without the
// signal the same load succeeded.
func TestReloadSignalCutsNothing(t *testing.T) {
	t.Parallel()
	c := startCluster(t, clusterOptions{})
	s := c.startSteward("steward")
	c.waitLinked()
	all := []*process{s.process}
	for _, e := range c.entries {
		all = append(all, e.process)
	}
	streams := startStreams("H", 6, c.addresses()...)
	waitFor(t, "all streams to be at engines", func() bool { return c.running("llm") == 6 })
	l := startLoad(c, 2, nil)
	for range 3 {
		l.waitServed(5, c.addresses()...)
		checkRunning(t, all...)
		for _, p := range all {
			p.signal(t, syscall.SIGHUP)
		}
	}
	streams.checkWhole(t, "H")
	l.stopAndCheck(t)
	checkRunning(t, all...)
}

// The log collector ends or is replaced, and nobody reads the logs any more. Guards against a process
// that leaves SIGPIPE at its default action: it ends at the next log line without a trace, and callers
// get half a stream and then no connection. With a reader that stays the same calls succeeded.
func TestClosedLogPipeCutsNothing(t *testing.T) {
	t.Parallel()
	t.Run("vanillagate", func(t *testing.T) {
		t.Parallel()
		c := startCluster(t, clusterOptions{})
		reader, out := logPipe(t)
		e := c.replaceEntry(2, redirectOutput(out), "--log-level", "debug")
		c.waitLinked()
		streams := startStreams("R", 2, e.address)
		waitFor(t, "the streams to be at engines", func() bool { return c.running("llm") == 2 })
		assert.NilError(t, reader.Close())
		for i := range 20 {
			assert.Equal(t, sendNow(e.address, pipelineRequest("L", 8)).output(t), wholeText("L", 8), "request %d", i)
		}
		c.entries[0].kill(t) // makes the process write log lines
		waitFor(t, "the killed VM to be removed from the list of entry VMs", func() bool { return len(c.entriesAt(e.address)) < len(c.entries) })
		streams.checkWhole(t, "R")
		checkRunning(t, e.process)
	})
	t.Run("vgedge", func(t *testing.T) {
		t.Parallel()
		e := startEdgeSite(t, 3)
		reader, out := logPipe(t)
		e.processes[0].kill(t)
		e.startPrepared(0, redirectOutput(out))
		e.waitReady(0)
		tally := e.runCallers(60, 3*time.Second, func() {
			assert.NilError(t, reader.Close())
			for range 4 {
				time.Sleep(500 * time.Millisecond)
				e.processes[0].signal(t, syscall.SIGHUP) // makes the process write log lines
			}
		})
		checkRunning(t, e.processes...)
		assert.Equal(t, tally.Lost, 0)
		assert.Equal(t, tally.Failed, 0)
	})
}

// The log collector stops reading while a process writes many log lines. Guards against requests that
// wait for their log lines to be written to a full pipe, until they time out.
func TestStuckLogReaderDelaysNoRequest(t *testing.T) {
	t.Parallel()
	c := startCluster(t, clusterOptions{})
	_, out := logPipe(t)
	fillPipe(t, out)
	e := c.replaceEntry(2, redirectOutput(out), "--log-level", "debug")
	c.waitLinked()
	for i := range 50 {
		assert.Equal(t, sendNow(e.address, pipelineRequest("S", 8)).output(t), wholeText("S", 8), "request %d", i)
	}
}

// logPipe returns the two ends of a pipe for the logs of a process.
func logPipe(t *testing.T) (reader, out *os.File) {
	t.Helper()
	reader, out, err := os.Pipe()
	assert.NilError(t, err)
	t.Cleanup(func() {
		_ = reader.Close()
		_ = out.Close()
	})
	return reader, out
}

// fillPipe writes to a pipe until it is full.
func fillPipe(t *testing.T, out *os.File) {
	t.Helper()
	assert.NilError(t, out.SetWriteDeadline(time.Now().Add(100*time.Millisecond)))
	_, err := out.Write(make([]byte, 1<<20))
	assert.ErrorIs(t, err, os.ErrDeadlineExceeded)
}
