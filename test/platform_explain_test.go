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

// explain collects the logs of all VMs and asks vgctl for a request's story, as
// docs/OPERATIONS.md says.
func (e *edgeSite) explain(id string) string {
	e.t.Helper()
	time.Sleep(200 * time.Millisecond) // the last lines are on their way
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

// send sends one request to the first VM and gives the status and whether the
// answer was whole.
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

// A caller complains; the operators have its request's identity, the logs and
// the metrics, and nothing else. The three stories of docs/OPERATIONS.md lead
// from the identity to the cause.
func TestPlatformThreeComplaintsAreExplained(t *testing.T) {
	t.Parallel()
	e := startEdges(t, 3)
	all := func(targets []*standin.Target, b standin.Behaviour) {
		for _, target := range targets {
			target.SetBehaviour(func(*http.Request) standin.Behaviour { return b })
		}
	}

	// A refusal: every target of the service was full.
	all(e.site.Desks, standin.RejectsRequest)
	status, _ := e.send("/book/x", "refused-1")
	assert.Equal(t, status, 503)
	story := e.explain("refused-1")
	assert.Assert(t, strings.Contains(story, "Target refused."), story)
	assert.Assert(t, strings.Contains(story, "status=503"), story)
	assert.Assert(t, strings.Contains(story, "ran=0"), story)

	// A booking whose outcome nobody knows: it ran, and its answer was lost.
	all(e.site.Desks, standin.LosesAnswer)
	status, _ = e.send("/book/x", "unknown-1")
	assert.Equal(t, status, 502)
	story = e.explain("unknown-1")
	assert.Assert(t, strings.Contains(story, "Attempt got no answer."), story)
	assert.Assert(t, strings.Contains(story, "sent=true"), story)
	assert.Assert(t, strings.Contains(story, "reason=target gave no answer"), story)
	assert.Assert(t, strings.Contains(story, "ran=1"), story)

	// A stream that broke: the engines cut it, here and at the second try.
	all(e.site.Engines, standin.CutsAnswer)
	_, whole := e.send("/quote/x", "broken-1")
	assert.Assert(t, !whole)
	story = e.explain("broken-1")
	assert.Assert(t, strings.Contains(story, "Stream broke."), story)
	assert.Assert(t, strings.Contains(story, "after_event="), story)

	// A request that was served leaves no line, which says so much.
	all(e.site.Desks, standin.Normal)
	status, _ = e.send("/ask/x", "fine-1")
	assert.Equal(t, status, 200)
	assert.Assert(t, strings.Contains(e.explain("fine-1"), "No line about fine-1."))

	counted := e.metrics()
	for _, reason := range []string{"target gave no answer"} {
		assert.Assert(t, strings.Contains(counted, fmt.Sprintf("vanillagate_own_answers{reason=%q} 1", reason)), counted)
	}
	assert.Assert(t, strings.Contains(counted, "vanillagate_streams_cut 1"), counted)
}
