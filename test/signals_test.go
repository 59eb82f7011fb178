package test

import (
	"os"
	"os/exec"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// runs checks that none of the processes has ended.
func runs(t *testing.T, all ...*process) {
	t.Helper()
	for _, p := range all {
		select {
		case <-p.done:
			t.Errorf("%s ended: %v", p.name, p.err)
		default:
		}
	}
}

// writesTo has a program write its logs to a file instead of to the test.
func writesTo(out *os.File) func(*exec.Cmd) {
	return func(cmd *exec.Cmd) { cmd.Stdout, cmd.Stderr = out, out }
}

// Operators, or what keeps the processes running, tell every process of a VM to
// read its settings again (SIGHUP) while streams are on their way. Callers got
// half a stream, and others no answer at all: a process that doesn't handle this
// signal ends at it, with exit code 129 and without a line in its log. The same
// load without the signal was whole.
func TestAskedToReadSettingsAgainCutsNothing(t *testing.T) {
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
		runs(t, all...)
		for _, p := range all {
			p.signal(t, syscall.SIGHUP)
		}
	}
	streams.whole(t, "H")
	l.stopAndCheck(t)
	runs(t, all...)
}

// What collects the logs of a process ends, or is replaced, and nobody reads them
// any more. A process that leaves SIGPIPE to its default action ends at the next
// line that it writes, without a trace, and callers get half a stream and then no
// connection. With a reader that stays the same calls are whole.
func TestALogReaderThatEndsCutsNothing(t *testing.T) {
	t.Parallel()
	t.Run("vanillagate", func(t *testing.T) {
		t.Parallel()
		c := startCluster(t, clusterOptions{})
		reader, out := logPipe(t)
		e := c.replaceEntry(2, writesTo(out), "--log-level", "debug")
		c.waitLinked()
		streams := startStreams("R", 2, e.address)
		waitFor(t, "the streams to be at engines", func() bool { return c.running("llm") == 2 })
		assert.NilError(t, reader.Close())
		for i := range 20 {
			assert.Equal(t, sendNow(e.address, pipelineRequest("L", 8)).output(t), wholeText("L", 8), "request %d", i)
		}
		c.entries[0].kill(t) // something to write about
		waitFor(t, "the killed VM to be known as gone", func() bool { return len(c.entriesAt(e.address)) < len(c.entries) })
		streams.whole(t, "R")
		runs(t, e.process)
	})
	t.Run("vgedge", func(t *testing.T) {
		t.Parallel()
		e := startEdges(t, 3)
		reader, out := logPipe(t)
		e.processes[0].kill(t)
		e.startAfter(0, writesTo(out))
		e.waitReady(0)
		tally := e.load(60, 3*time.Second, func() {
			assert.NilError(t, reader.Close())
			for range 4 {
				time.Sleep(500 * time.Millisecond)
				e.processes[0].signal(t, syscall.SIGHUP) // something to write about
			}
		})
		runs(t, e.processes...)
		assert.Equal(t, tally.Lost, 0)
		assert.Equal(t, tally.Failed, 0)
	})
}

// What reads the logs stands still while a process writes a lot of them. Callers
// waited for their answers until their time was up: each request wrote its lines
// to a pipe that was full.
func TestAStuckLogReaderDelaysNobody(t *testing.T) {
	t.Parallel()
	c := startCluster(t, clusterOptions{})
	_, out := logPipe(t)
	fillPipe(t, out)
	e := c.replaceEntry(2, writesTo(out), "--log-level", "debug")
	c.waitLinked()
	for i := range 50 {
		assert.Equal(t, sendNow(e.address, pipelineRequest("S", 8)).output(t), wholeText("S", 8), "request %d", i)
	}
}

// logPipe is where a process writes its logs and where they are read.
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

// fillPipe writes until the pipe takes no more.
func fillPipe(t *testing.T, out *os.File) {
	t.Helper()
	assert.NilError(t, out.SetWriteDeadline(time.Now().Add(100*time.Millisecond)))
	_, err := out.Write(make([]byte, 1<<20))
	assert.ErrorIs(t, err, os.ErrDeadlineExceeded)
}
