package test

import (
	"context"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"
)

func TestRequestsRunEndToEnd(t *testing.T) {
	c := startCluster(t, clusterOptions{})
	for _, e := range c.entries {
		got := sendNow(e.address, pipelineRequest("Q1", 16))
		assert.Equal(t, got.output(t), wholeText("Q1", 16))
		s := stream(context.Background(), e.address, "Q2", 16, nil)
		assert.NilError(t, s.err)
		assert.Equal(t, s.text, wholeText("Q2", 16))
	}
	first := sendNow(c.entries[0].address, bookingRequest("K1"))
	assert.Equal(t, first.status, http.StatusOK, "%s", first.body)
	assert.Equal(t, c.executionsWithKey("K1"), 1)
}

func TestBadInputGetsClearProblems(t *testing.T) {
	c := startCluster(t, clusterOptions{entries: 1, flags: []string{"--max-body", "4096"}})
	address := c.entries[0].address
	tests := []struct {
		name   string
		req    request
		status int
		title  string
	}{
		{"malformed JSON", request{path: "/v1/pipelines/quote", body: `{"input":`}, 400, "Malformed JSON"},
		{"text that is not UTF-8", request{path: "/v1/pipelines/quote", body: "{\"input\":\"caf\xe9\"}"}, 400, "Malformed JSON"},
		{"a key twice", request{path: "/v1/pipelines/quote", body: `{"input":"x","input":"y"}`}, 400, "Malformed JSON"},
		{"no input", request{path: "/v1/pipelines/quote", body: `{}`}, 400, "No input"},
		{"unknown pipeline", request{path: "/v1/pipelines/nope", body: `{"input":"x"}`}, 404, "No such pipeline"},
		{"too large", request{path: "/v1/pipelines/quote", body: string(make([]byte, 8192))}, 413, "Body too large"},
		{"timeout is no number", request{path: "/v1/pipelines/quote", body: `{"input":"x"}`, headers: map[string]string{"Request-Timeout": "soon"}}, 400, "Bad Request-Timeout"},
		{"negative timeout", request{path: "/v1/pipelines/quote", body: `{"input":"x"}`, headers: map[string]string{"Request-Timeout": "-5"}}, 400, "Bad Request-Timeout"},
		{"wrong key", request{path: "/v1/pipelines/quote", body: `{"input":"x"}`, headers: map[string]string{"Authorization": "Bearer nobody"}}, 401, "Wrong key"},
		{"no Idempotency-Key", request{path: "/v1/services/booking/confirm", body: `{}`}, 400, "Idempotency-Key is missing"},
		{"wrong operator key", request{method: "GET", path: "/v1/admin/config"}, 401, "Wrong key"},
		{"no such path", request{method: "GET", path: "/v2"}, 404, "No such path"},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			got := sendNow(address, tc.req)
			assert.NilError(t, got.err)
			assert.Equal(t, got.status, tc.status, "%s", got.body)
			assert.Assert(t, got.problem != nil, "%s", got.body)
			assert.Equal(t, got.problem.Title, tc.title)
			assert.Equal(t, string(got.problem.Execution), "not_run")
		})
	}
	assert.Equal(t, len(c.executions()), 0)
	assert.Equal(t, sendNow(address, pipelineRequest("Q", 4)).output(t), wholeText("Q", 4))
}
