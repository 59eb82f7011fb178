package test

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// benchCommand returns a command that runs the bench script with one short scenario.
func benchCommand(t *testing.T, out string) *exec.Cmd {
	t.Helper()
	bin, err := filepath.Abs(filepath.Dir(binaryPath("vgload")))
	assert.NilError(t, err)
	cmd := exec.Command(filepath.Join("..", "scripts", "bench.sh"))
	cmd.Env = append(os.Environ(),
		"BIN="+bin, "BENCH_OUT="+out, "BENCH_QUICK=1", "BENCH_SCENARIOS=straggler", "BENCH_POLICIES=present")
	return cmd
}

func TestBenchPrintsALineAndWritesTheReport(t *testing.T) {
	out := t.TempDir()
	cmd := benchCommand(t, out)
	var stdout, stderr strings.Builder
	cmd.Stdout, cmd.Stderr = &stdout, &stderr
	assert.NilError(t, cmd.Run(), "%s", &stderr)
	line := stdout.String()
	assert.Assert(t, strings.HasPrefix(line, "policy=present scenario=straggler attainment="), line)
	for _, want := range []string{" p50_ms=", " p95_ms=", " cost=", " lost=0 doubled=0 crossed=0 false_not_run=0 "} {
		assert.Assert(t, strings.Contains(line, want), "%s in %s", want, line)
	}
	page, err := os.ReadFile(filepath.Join(out, "report.html"))
	assert.NilError(t, err)
	assert.Assert(t, strings.Contains(string(page), "<svg"))
}

// Somebody interrupts the bench script. Guards against entry VMs and stand-ins that keep running and slow the
// machine down for later measurements.
func TestInterruptedBenchLeavesNothingRunning(t *testing.T) {
	out := t.TempDir()
	cmd := benchCommand(t, out)
	assert.NilError(t, cmd.Start())
	pids := filepath.Join(out, "run", "*", "entry-*.pid")
	until := time.Now().Add(waitTimeout)
	var files []string
	for len(files) < 3 && time.Now().Before(until) {
		files, _ = filepath.Glob(pids)
		time.Sleep(pollInterval)
	}
	assert.Equal(t, len(files), 3)
	assert.NilError(t, cmd.Process.Signal(syscall.SIGTERM))
	assert.ErrorContains(t, cmd.Wait(), "exit status 130")
	files, err := filepath.Glob(pids)
	assert.NilError(t, err)
	assert.Equal(t, len(files), 0, "%v", files)
}
