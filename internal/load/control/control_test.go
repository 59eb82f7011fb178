package control

import (
	"encoding/json"
	"net/http"
	"testing"

	"github.com/valyala/fasthttp"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/vanillagate/vanillagate/internal/config"
	"github.com/vanillagate/vanillagate/internal/standin/fleet"
	"github.com/vanillagate/vanillagate/internal/targetapi"
)

// Runs against the real stand-ins, so that a difference between the formats of
// client and server fails the test.
func TestClientAndStandInsAgree(t *testing.T) {
	file := fleet.File{
		Table: "127.0.0.1:0", Objects: "127.0.0.1:0", VMList: "127.0.0.1:0", Control: "127.0.0.1:0",
		Pools: []fleet.Pool{{Pool: "booking", Kind: config.TargetService, FirstAddress: "127.0.0.1:0", Count: 1, Zones: []string{"a"}}},
	}
	stands, err := fleet.Open(file, fleet.Parts{Platform: true, Targets: true}, zap.NewNop())
	assert.NilError(t, err)
	t.Cleanup(func() { assert.NilError(t, stands.Stop()) })
	target := stands.Targets["booking"][0]
	c := New(stands.Control)

	assert.Equal(t, confirmStatus(t, target), http.StatusOK)
	counts, err := c.CountsWhenIdle(DefaultIdleWait)
	assert.NilError(t, err)
	assert.Equal(t, len(counts.Executions), 1)
	got := counts.Executions[0]
	assert.Equal(t, got.IdempotencyKey, "key-1")
	assert.Equal(t, got.RequestID, "r/service/1")
	assert.Equal(t, got.Pool, "booking")
	assert.Assert(t, got.Finished && got.EngineUS > 0)

	assert.NilError(t, c.SetFault(FaultRequest{Scope: "pool:booking", Fault: json.RawMessage(`{"refuse":true}`)}))
	assert.Equal(t, confirmStatus(t, target), http.StatusServiceUnavailable)
	assert.NilError(t, c.SetFault(FaultRequest{Scope: "pool:booking", Fault: json.RawMessage(`{}`)}))
	assert.NilError(t, c.Reset())
	counts, err = c.Counts()
	assert.NilError(t, err)
	assert.Equal(t, len(counts.Executions), 0)

	assert.NilError(t, c.SetVMState(VMStateRequest{Address: target, State: "leaving"}))
	assert.ErrorContains(t, c.SetVMState(VMStateRequest{Address: "127.0.0.1:1", State: "leaving"}), "404")
	assert.ErrorContains(t, c.SetFault(FaultRequest{Scope: "pool:none", Fault: json.RawMessage(`{}`)}), "no such scope")
}

func confirmStatus(t *testing.T, target string) int {
	t.Helper()
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(http.MethodPost)
	req.SetRequestURI("http://" + target + "/confirm")
	req.Header.Set(targetapi.HeaderRequestID, "r/service/1")
	req.Header.Set(targetapi.HeaderIdempotencyKey, "key-1")
	req.SetBodyString(`{}`)
	assert.NilError(t, fasthttp.Do(req, resp))
	return resp.StatusCode()
}
