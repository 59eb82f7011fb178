package test

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/vanillagate/vanillagate/internal/standin/vmlist"
	"github.com/vanillagate/vanillagate/internal/targetapi"
)

// answerSwapper is a proxy in front of a target that gives two concurrent
// callers each other's answers, complete and well formed. Without a second
// caller within swapTimeout, the answer goes to its own caller.
type answerSwapper struct {
	target  string
	offers  chan *pendingAnswer
	swapped atomic.Int64
	server  *httptest.Server
}

// pendingAnswer is a target's answer that may be swapped with another.
type pendingAnswer struct {
	status int
	header http.Header
	body   []byte
	other  chan *pendingAnswer // receives the answer to swap with
}

// swapTimeout is how long an answer waits for another to be swapped with.
const swapTimeout = 30 * time.Millisecond

func startAnswerSwapper(t *testing.T, target string) *answerSwapper {
	t.Helper()
	c := &answerSwapper{target: target, offers: make(chan *pendingAnswer)}
	c.server = httptest.NewServer(c)
	t.Cleanup(c.server.Close)
	return c
}

func (c *answerSwapper) address() string { return strings.TrimPrefix(c.server.URL, "http://") }

// ServeHTTP forwards one call and swaps its answer, except those of load and
// health checks.
func (c *answerSwapper) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	own, err := c.forward(r)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	if r.URL.Path != targetapi.PathLoad && r.URL.Path != targetapi.PathHealth {
		own = c.swap(own)
	}
	for name, values := range own.header {
		w.Header()[name] = values
	}
	w.WriteHeader(own.status)
	_, _ = w.Write(own.body)
}

func (c *answerSwapper) forward(r *http.Request) (*pendingAnswer, error) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return nil, err
	}
	req, err := http.NewRequestWithContext(r.Context(), r.Method, "http://"+c.target+r.URL.RequestURI(), bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header = r.Header.Clone()
	resp, err := client.Do(req)
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	answer, err := io.ReadAll(resp.Body)
	resp.Header.Del("Trailer")
	return &pendingAnswer{status: resp.StatusCode, header: resp.Header, body: answer, other: make(chan *pendingAnswer, 1)}, err
}

func (c *answerSwapper) swap(own *pendingAnswer) *pendingAnswer {
	select {
	case waiting := <-c.offers:
		c.swapped.Add(2)
		waiting.other <- own
		return waiting
	default:
	}
	select {
	case c.offers <- own:
		return <-own.other
	case <-time.After(swapTimeout):
		return own
	}
}

// moveTargets replaces the addresses of some targets in the VM list.
func (c *cluster) moveTargets(moved map[string]string) {
	c.t.Helper()
	resp, err := client.Get("http://" + c.controlAddress + "/vms")
	assert.NilError(c.t, err)
	defer func() { _ = resp.Body.Close() }()
	var rows []vmlist.Row
	assert.NilError(c.t, json.NewDecoder(resp.Body).Decode(&rows))
	for i := range rows {
		for j, address := range rows[i].Targets {
			if to, found := moved[address]; found {
				rows[i].Targets[j] = to
			}
		}
	}
	raw, err := json.Marshal(rows)
	assert.NilError(c.t, err)
	req, err := http.NewRequest(http.MethodPut, "http://"+c.controlAddress+"/vms", bytes.NewReader(raw))
	assert.NilError(c.t, err)
	put, err := client.Do(req)
	assert.NilError(c.t, err)
	defer func() { _ = put.Body.Close() }()
	assert.Equal(c.t, put.StatusCode, http.StatusNoContent)
}
