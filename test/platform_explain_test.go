package test

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/vanillagate/vanillagate/platform/standin"
)

// explain collects the logs of all VMs and runs vgctl explain for a request, as
// docs/OPERATIONS.md describes.
func (e *edgeSite) explain(id string) string {
	e.t.Helper()
	time.Sleep(200 * time.Millisecond) // until the last log lines have been read
	folder := e.t.TempDir()
	args := []string{"explain", id}
	for i, p := range e.processes {
		path := filepath.Join(folder, e.vms[i].Name+".log")
		assert.NilError(e.t, os.WriteFile(path, []byte(p.logs()), 0o600))
		args = append(args, path)
	}
	out, err := exec.Command(binaryPath("vgctl"), args...).CombinedOutput()
	assert.NilError(e.t, err, string(out))
	e.t.Log(string(out))
	return string(out)
}

// send sends a request to the first VM. It returns the status, and whether the answer was
// complete.
func (e *edgeSite) send(path, id string) (status int, whole bool) {
	e.t.Helper()
	req, err := http.NewRequest(http.MethodPost, "http://"+e.vms[0].RequestAddress()+path, strings.NewReader("body"))
	assert.NilError(e.t, err)
	req.Host = standin.Host
	req.Header.Set("X-Attempt-Id", id)
	req.Header.Set("X-Api-Key", standin.TeamKey)
	req.Header.Set("X-Pieces", "1,2")
	req.Header.Set("X-Piece-Key", "k")
	resp, err := http.DefaultTransport.RoundTrip(req)
	if err != nil {
		return 0, false
	}
	defer func() { _ = resp.Body.Close() }()
	_, err = io.ReadAll(resp.Body)
	return resp.StatusCode, err == nil
}

func (e *edgeSite) metrics() string {
	e.t.Helper()
	resp, err := http.Get("http://" + e.vms[0].IP + ":9464/metrics")
	assert.NilError(e.t, err)
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	assert.NilError(e.t, err)
	return string(body)
}

// A caller reports a failed request. With nothing but the request's ID, the logs and the metrics,
// the three procedures of docs/OPERATIONS.md lead operators to the cause.
func TestPlatformFailedRequestsAreExplained(t *testing.T) {
	t.Parallel()
	e := startEdgeSite(t, 3)
	setBehaviour := func(targets []*standin.Target, b standin.Behaviour) {
		for _, target := range targets {
			target.SetBehaviour(func(*http.Request) standin.Behaviour { return b })
		}
	}

	// A rejected request: every target of the service was full.
	setBehaviour(e.site.Desks, standin.RejectsRequest)
	status, _ := e.send("/book/x", "refused-1")
	assert.Equal(t, status, 503)
	requestLog := e.explain("refused-1")
	assert.Assert(t, strings.Contains(requestLog, "Target refused."), requestLog)
	assert.Assert(t, strings.Contains(requestLog, "status=503"), requestLog)
	assert.Assert(t, strings.Contains(requestLog, "ran=0"), requestLog)

	// A booking of unknown outcome: it ran, and its answer was lost.
	setBehaviour(e.site.Desks, standin.LosesAnswer)
	status, _ = e.send("/book/x", "unknown-1")
	assert.Equal(t, status, 502)
	requestLog = e.explain("unknown-1")
	assert.Assert(t, strings.Contains(requestLog, "Attempt got no answer."), requestLog)
	assert.Assert(t, strings.Contains(requestLog, "sent=true"), requestLog)
	assert.Assert(t, strings.Contains(requestLog, "reason=target gave no answer"), requestLog)
	assert.Assert(t, strings.Contains(requestLog, "ran=1"), requestLog)

	// A broken stream: the engine closed it, at the first attempt and at the retry.
	setBehaviour(e.site.Engines, standin.CutsAnswer)
	_, whole := e.send("/quote/x", "broken-1")
	assert.Assert(t, !whole)
	requestLog = e.explain("broken-1")
	assert.Assert(t, strings.Contains(requestLog, "Stream broke."), requestLog)
	assert.Assert(t, strings.Contains(requestLog, "after_event="), requestLog)

	// A request that was served leaves no log line, and vgctl says so.
	setBehaviour(e.site.Desks, standin.Normal)
	status, _ = e.send("/ask/x", "fine-1")
	assert.Equal(t, status, 200)
	assert.Assert(t, strings.Contains(e.explain("fine-1"), "No line about fine-1."))

	counted := e.metrics()
	for _, reason := range []string{"target gave no answer"} {
		assert.Assert(t, strings.Contains(counted, fmt.Sprintf("vanillagate_own_answers{reason=%q} 1", reason)), counted)
	}
	assert.Assert(t, strings.Contains(counted, "vanillagate_streams_cut 1"), counted)
}
