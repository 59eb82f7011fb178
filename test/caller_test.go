package test

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/vanillagate/vanillagate/internal/config"
	"github.com/vanillagate/vanillagate/internal/entry"
	"github.com/vanillagate/vanillagate/internal/inforce"
	"github.com/vanillagate/vanillagate/internal/problem"
	"github.com/vanillagate/vanillagate/internal/standin/count"
	"github.com/vanillagate/vanillagate/internal/standin/fault"
	"github.com/vanillagate/vanillagate/internal/targetapi"
)

// client opens a new connection for each request, as short-lived callers do, so
// that the transport never resends a request on its own.
var client = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}

// probeClient polls the state of processes. Its timeout keeps a frozen process
// from blocking the test.
var probeClient = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 5 * time.Second}

func httpOK(url string) bool {
	resp, err := probeClient.Get(url)
	if err != nil {
		return false
	}
	defer func() { _ = resp.Body.Close() }()
	return resp.StatusCode == http.StatusOK
}

// request is one request of a caller.
type request struct {
	method  string // POST if empty
	path    string
	body    string
	key     string // Idempotency-Key
	timeout time.Duration
	headers map[string]string
}

// reply is the result of one request. err is set if no complete answer arrived.
type reply struct {
	status    int
	body      []byte
	problem   *problem.Problem
	requestID string
	err       error
	took      time.Duration
}

// pipelineRequest asks the default pipeline for the given number of tokens.
func pipelineRequest(ref string, tokens int) request {
	return request{
		path: "/v1/pipelines/quote",
		body: fmt.Sprintf(`{"input":"hall for forty [ref:%s]","max_tokens":%d}`, ref, tokens),
	}
}

// bookingRequest is a booking, a call that must run at most once.
func bookingRequest(key string) request {
	return request{path: "/v1/services/booking/confirm", body: fmt.Sprintf(`{"hall":"[ref:%s]"}`, key), key: key}
}

func (r request) build(address string) *http.Request {
	method := r.method
	if method == "" {
		method = http.MethodPost
	}
	req, err := http.NewRequest(method, "http://"+address+r.path, strings.NewReader(r.body))
	if err != nil {
		panic(err)
	}
	req.Header.Set("Authorization", "Bearer "+customerKey)
	if r.key != "" {
		req.Header.Set(targetapi.HeaderIdempotencyKey, r.key)
	}
	if r.timeout > 0 {
		req.Header.Set("Request-Timeout", strconv.FormatInt(r.timeout.Milliseconds(), 10))
	}
	for name, value := range r.headers {
		req.Header.Set(name, value)
	}
	return req
}

// send makes one request to one entry VM and reads the whole answer.
func send(ctx context.Context, address string, r request) reply {
	return sendBy(client, r.build(address).WithContext(ctx))
}

func sendBy(httpClient *http.Client, req *http.Request) reply {
	start := time.Now()
	resp, err := httpClient.Do(req)
	if err != nil {
		return reply{err: err, took: time.Since(start)}
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	got := reply{status: resp.StatusCode, body: body, requestID: resp.Header.Get(targetapi.HeaderRequestID), err: err, took: time.Since(start)}
	if resp.Header.Get("Content-Type") == problem.ContentType {
		got.problem = &problem.Problem{}
		if err := json.Unmarshal(body, got.problem); err != nil {
			got.err = err
		}
	}
	return got
}

func sendNow(address string, r request) reply { return send(context.Background(), address, r) }

// output returns the generated text of a pipeline's answer.
func (r reply) output(t *testing.T) string {
	t.Helper()
	assert.NilError(t, r.err)
	assert.Equal(t, r.status, http.StatusOK, "%s", r.body)
	var a entry.PipelineAnswer
	assert.NilError(t, json.Unmarshal(r.body, &a))
	return a.Output
}

// wholeText is the only correct output for a request of the given number of
// tokens.
func wholeText(ref string, tokens int) string {
	words := make([]string, tokens)
	for i := range words {
		words[i] = fmt.Sprintf("%s:%d", ref, i)
	}
	return strings.Join(words, " ")
}

// errStreamCut says that a stream ended without its end marker or a problem.
var errStreamCut = errors.New("stream ended without end marker or problem")

// streamResult is what a caller received on a stream.
type streamResult struct {
	text    string
	status  int
	problem *problem.Problem
	err     error
}

// stream requests a stream and calls onText for every piece of text.
func stream(ctx context.Context, address, ref string, tokens int, onText func(text string)) streamResult {
	r := request{
		path:    "/v1/pipelines/quote",
		body:    fmt.Sprintf(`{"input":"hall for forty [ref:%s]","max_tokens":%d,"stream":true}`, ref, tokens),
		timeout: time.Minute,
	}
	resp, err := client.Do(r.build(address).WithContext(ctx))
	if err != nil {
		return streamResult{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	got := streamResult{status: resp.StatusCode}
	if resp.StatusCode != http.StatusOK {
		got.problem = &problem.Problem{}
		got.err = json.NewDecoder(resp.Body).Decode(got.problem)
		return got
	}
	got.read(resp.Body, onText)
	return got
}

func (s *streamResult) read(body io.Reader, onText func(string)) {
	lines := bufio.NewScanner(body)
	lines.Buffer(nil, 1<<20)
	failed := false
	for lines.Scan() {
		line := lines.Text()
		if line == "event: error" {
			failed = true
			continue
		}
		data, found := strings.CutPrefix(line, "data: ")
		if !found {
			continue
		}
		if data == "[DONE]" {
			return
		}
		if failed {
			s.problem = &problem.Problem{}
			s.err = json.Unmarshal([]byte(data), s.problem)
			return
		}
		var c targetapi.Completion
		if s.err = json.Unmarshal([]byte(data), &c); s.err != nil {
			return
		}
		for _, choice := range c.Choices {
			s.text += choice.Text
			if onText != nil && choice.Text != "" {
				onText(choice.Text)
			}
		}
	}
	s.err = errStreamCut
}

// operatorClient times out on a frozen process.
var operatorClient = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 20 * time.Second}

// callAdminAPI makes one call to the admin API as an operator.
func callAdminAPI(address, method, path string, body any, headers map[string]string) reply {
	raw, err := json.Marshal(body)
	if err != nil {
		return reply{err: err}
	}
	if body == nil {
		raw = nil
	}
	r := request{method: method, path: "/v1/admin/" + path, body: string(raw), headers: map[string]string{
		"Authorization": "Bearer " + operatorKey, "X-Operator": "night shift",
	}}
	for name, value := range headers {
		r.headers[name] = value
	}
	return sendBy(operatorClient, r.build(address))
}

// putItem writes a configuration item through one entry VM and returns the
// accepted revision.
func (c *cluster) putItem(address, path string, item any, expect config.Revision) config.Revision {
	c.t.Helper()
	got := callAdminAPI(address, http.MethodPut, path, item, map[string]string{"If-Match": strconv.FormatUint(uint64(expect), 10)})
	assert.NilError(c.t, got.err)
	assert.Equal(c.t, got.status, http.StatusOK, "%s", got.body)
	var accepted entry.Accepted
	assert.NilError(c.t, json.Unmarshal(got.body, &accepted))
	return accepted.Revision
}

// applyDefaultConfig writes the default pools, pipeline, service and contract
// and waits until they are in force at every entry VM.
func (c *cluster) applyDefaultConfig() {
	c.t.Helper()
	first := c.entries[0].address
	for _, p := range c.fleetFile.Pools {
		pool := config.Pool{Name: p.Pool, Kind: p.Kind, ChecksFencing: p.ChecksFencing, Model: p.Model, Version: p.Version}
		c.putItem(first, "pools/"+p.Pool, pool, 0)
	}
	c.putItem(first, "pipelines/quote", config.Pipeline{Name: "quote", Stages: []config.Stage{
		{Name: "encode", Pool: "encoder"},
		{Name: "retrieve", Pool: "retriever"},
		{Name: "rerank", Pool: "reranker"},
		{Name: "generate", Pool: "llm", MaxTokens: 16},
	}}, 0)
	c.putItem(first, "services/booking", config.Service{Name: "booking", Pool: "booking", Routes: []config.Route{
		{Method: http.MethodPost, PathPrefix: "/", NonIdempotent: true},
		{Method: http.MethodPut, PathPrefix: "/", NonIdempotent: true},
		{Method: http.MethodDelete, PathPrefix: "/", NonIdempotent: true},
		{Method: http.MethodGet, PathPrefix: "/once/", NonIdempotent: true},
		{Method: http.MethodGet, PathPrefix: "/"},
	}}, 0)
	last := c.putItem(first, "contracts/"+customer, config.Contract{Customer: customer, KeyHashes: []string{hashOf(customerKey)}}, 0)
	c.waitInForce(last)
}

// revisionAt returns the revision that one entry VM has in force, 0 if it can't
// be read.
func revisionAt(address string) config.Revision {
	got := callAdminAPI(address, http.MethodGet, "config", nil, nil)
	var state config.State
	if got.err != nil || json.Unmarshal(got.body, &state) != nil {
		return 0
	}
	return state.Revision
}

// waitInForce waits until every entry VM has the revision or a newer one in
// force.
func (c *cluster) waitInForce(revision config.Revision) {
	c.t.Helper()
	for _, e := range c.entries {
		waitFor(c.t, fmt.Sprintf("revision %d at %s", revision, e.address), func() bool {
			return revisionAt(e.address) >= revision
		})
	}
}

// setFault sets a fault of the stand-ins; an empty fault clears it.
func (c *cluster) setFault(scope string, f fault.Fault) {
	c.t.Helper()
	raw, err := json.Marshal(struct {
		Scope string      `json:"scope"`
		Fault fault.Fault `json:"fault"`
	}{scope, f})
	assert.NilError(c.t, err)
	req, err := http.NewRequest(http.MethodPut, "http://"+c.controlAddress+"/faults", bytes.NewReader(raw))
	assert.NilError(c.t, err)
	resp, err := client.Do(req)
	assert.NilError(c.t, err)
	defer func() { _ = resp.Body.Close() }()
	assert.Assert(c.t, resp.StatusCode < 300, "fault %s: status %d", scope, resp.StatusCode)
}

// executions returns the executions that the targets recorded.
func (c *cluster) executions() []count.Execution {
	c.t.Helper()
	resp, err := client.Get("http://" + c.controlAddress + "/counts")
	assert.NilError(c.t, err)
	defer func() { _ = resp.Body.Close() }()
	var all struct {
		Executions []count.Execution `json:"executions"`
	}
	assert.NilError(c.t, json.NewDecoder(resp.Body).Decode(&all))
	return all.Executions
}

// executionsWithKey counts the executions under an idempotency key.
func (c *cluster) executionsWithKey(key string) int {
	c.t.Helper()
	n := 0
	for _, e := range c.executions() {
		if e.IdempotencyKey == key {
			n++
		}
	}
	return n
}

// processRevisions asks one entry VM which revision each process has in force.
func processRevisions(address string) []inforce.ProcessRevision {
	got := callAdminAPI(address, http.MethodGet, "in_force", nil, nil)
	var all entry.InForce
	if got.err != nil || json.Unmarshal(got.body, &all) != nil {
		return nil
	}
	return all.VMs
}

// waitLinked waits until every entry VM reaches every other as its peer. From
// then on, peers pass on changes immediately.
func (c *cluster) waitLinked() {
	c.t.Helper()
	for _, e := range c.entries {
		waitFor(c.t, e.name+" to reach its peers", func() bool { return len(reachableProcesses(e.address)) == len(c.entries) })
	}
}

// reachableProcesses lists the processes that one entry VM gets an answer from.
func reachableProcesses(address string) []inforce.ProcessRevision {
	var list []inforce.ProcessRevision
	for _, st := range processRevisions(address) {
		if st.Incarnation != "" {
			list = append(list, st)
		}
	}
	return list
}

// entriesAt returns the entry VMs that the one at address tells callers to use.
func (c *cluster) entriesAt(address string) []entry.Entry {
	resp, err := client.Get("http://" + address + "/v1/entries")
	if err != nil {
		return nil
	}
	defer func() { _ = resp.Body.Close() }()
	var listed entry.Entries
	if json.NewDecoder(resp.Body).Decode(&listed) != nil {
		return nil
	}
	return listed.Entries
}
