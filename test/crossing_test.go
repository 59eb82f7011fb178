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

// crossing stands before a target and gives two callers that come at the same
// time each other's answers, whole and well formed. With no second caller at
// hand the answer goes where it belongs.
type crossing struct {
	target  string
	pair    chan *crossedAnswer
	crossed atomic.Int64
	server  *httptest.Server
}

type crossedAnswer struct {
	status int
	header http.Header
	body   []byte
	other  chan *crossedAnswer // where the one that waits gets the other's
}

// crossingPatience is how long an answer waits for another to be crossed with.
const crossingPatience = 30 * time.Millisecond

func crossAt(t *testing.T, target string) *crossing {
	t.Helper()
	c := &crossing{target: target, pair: make(chan *crossedAnswer)}
	c.server = httptest.NewServer(c)
	t.Cleanup(c.server.Close)
	return c
}

func (c *crossing) address() string { return strings.TrimPrefix(c.server.URL, "http://") }

// ServeHTTP answers one call.
func (c *crossing) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	own, err := c.ask(r)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	if r.URL.Path != targetapi.PathLoad && r.URL.Path != targetapi.PathHealth {
		own = c.cross(own)
	}
	for name, values := range own.header {
		w.Header()[name] = values
	}
	w.WriteHeader(own.status)
	_, _ = w.Write(own.body)
}

func (c *crossing) ask(r *http.Request) (*crossedAnswer, error) {
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
	return &crossedAnswer{status: resp.StatusCode, header: resp.Header, body: answer, other: make(chan *crossedAnswer, 1)}, err
}

func (c *crossing) cross(own *crossedAnswer) *crossedAnswer {
	select {
	case waiting := <-c.pair:
		c.crossed.Add(2)
		waiting.other <- own
		return waiting
	default:
	}
	select {
	case c.pair <- own:
		return <-own.other
	case <-time.After(crossingPatience):
		return own
	}
}

// moveTargets has the VM list name other addresses for some targets.
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
