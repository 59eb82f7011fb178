package test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/vanillagate/vanillagate/internal/config"
	"github.com/vanillagate/vanillagate/internal/entry"
	"github.com/vanillagate/vanillagate/internal/standin/fault"
	"github.com/vanillagate/vanillagate/internal/targetapi"
)

// stagePools are the pools of the default pipeline's stages.
var stagePools = []string{"encoder", "retriever", "reranker", "llm"}

// sendBurst sends n pipeline requests at once, alternating between JSON and
// streams and between entry VMs, and checks that each answer is complete and
// belongs to its request. It counts the answers; every other reply must be a
// problem. ids maps the request IDs of the JSON answers to their references.
func (c *cluster) sendBurst(prefix string, n int) (answered int, ids map[string]string) {
	c.t.Helper()
	var all sync.WaitGroup
	replies := make([]reply, n)
	streams := make([]streamResult, n)
	for i := range n {
		all.Go(func() {
			at, ref := c.entries[i%len(c.entries)].address, refOf(prefix, i)
			if i%2 == 0 {
				replies[i] = sendNow(at, pipelineRequest(ref, 8))
				return
			}
			streams[i] = stream(context.Background(), at, ref, 8, nil)
		})
	}
	all.Wait()
	ids = map[string]string{}
	for i := range n {
		ref := refOf(prefix, i)
		if i%2 == 0 {
			answered += c.checkJSON(ref, replies[i], ids)
		} else {
			answered += c.checkStream(ref, streams[i])
		}
	}
	return answered, ids
}

func refOf(prefix string, i int) string { return fmt.Sprintf("%s%d", prefix, i) }

func (c *cluster) checkJSON(ref string, got reply, ids map[string]string) int {
	c.t.Helper()
	assert.NilError(c.t, got.err, ref)
	if got.problem != nil {
		return 0
	}
	assert.Equal(c.t, got.output(c.t), wholeText(ref, 8))
	ids[got.requestID] = ref
	return 1
}

func (c *cluster) checkStream(ref string, got streamResult) int {
	c.t.Helper()
	assert.NilError(c.t, got.err, ref)
	if got.problem != nil {
		assert.Assert(c.t, strings.HasPrefix(wholeText(ref, 8), got.text), "%s got %q", ref, got.text)
		return 0
	}
	assert.Equal(c.t, got.text, wholeText(ref, 8))
	return 1
}

// stageInputs returns the fingerprints of the bodies that the targets got for
// answered requests, by reference and stage: they show what each stage passed
// on to the next.
func (c *cluster) stageInputs(ids map[string]string) map[string]map[string]bool {
	c.t.Helper()
	inputs := map[string]map[string]bool{}
	for _, e := range c.executions() {
		id, rest, _ := strings.Cut(e.RequestID, "/")
		stage, _, _ := strings.Cut(rest, "/")
		ref, found := ids[id]
		if !found {
			continue
		}
		key := ref + "/" + stage
		if inputs[key] == nil {
			inputs[key] = map[string]bool{}
		}
		inputs[key][e.Fingerprint] = true
	}
	return inputs
}

// One target of every pool swaps the answers of two concurrent calls, on reused
// connections. Without a check of the answer's identity, a caller would get
// another caller's quote, or a quote generated from another's documents.
func TestSwappedAnswersAreNeverForwarded(t *testing.T) {
	t.Parallel()
	c := startCluster(t, clusterOptions{entries: 2})
	const requests = 60
	answered, ids := c.sendBurst("Q", requests)
	assert.Equal(t, answered, requests)
	before := c.stageInputs(ids)

	moved, swappers := map[string]string{}, map[string]*answerSwapper{}
	for _, p := range c.fleetFile.Pools {
		swapper := startAnswerSwapper(t, p.FirstAddress)
		moved[p.FirstAddress] = swapper.address()
		swappers[p.Pool] = swapper
	}
	c.moveTargets(moved)
	for _, pool := range stagePools {
		waitFor(t, "swapped answers of "+pool, func() bool {
			answered, ids = c.sendBurst("Q", requests)
			assert.Assert(t, answered > 0)
			for key, inputs := range c.stageInputs(ids) {
				assert.DeepEqual(t, inputs, before[key])
			}
			return swappers[pool].swapped.Load() > 0
		})
	}
	waitFor(t, "swapped answers of booking", func() bool {
		c.sendBookingBurst(30)
		return swappers["booking"].swapped.Load() > 0
	})
}

// sendBookingBurst sends bookings and reads at once, and checks that each
// answer belongs to its own call.
func (c *cluster) sendBookingBurst(n int) {
	c.t.Helper()
	keys := make([]string, n)
	replies, reads := make([]reply, n), make([]reply, n)
	var all sync.WaitGroup
	for i := range n {
		keys[i] = newKey()
		at := c.entries[i%len(c.entries)].address
		all.Go(func() { replies[i] = sendNow(at, bookingRequest(keys[i])) })
		all.Go(func() {
			reads[i] = sendNow(at, request{method: http.MethodGet, path: "/v1/services/booking/look/" + keys[i]})
		})
	}
	all.Wait()
	for i, key := range keys {
		c.checkExecution("swapped", key, replies[i])
		if replies[i].status == http.StatusOK {
			assert.Assert(c.t, strings.Contains(string(replies[i].body), `"[ref:`+key+`]"`), "%s got %s", key, replies[i].body)
		}
		if reads[i].status == http.StatusOK {
			assert.Assert(c.t, strings.Contains(string(reads[i].body), "/look/"+key+`"`), "%s got %s", key, reads[i].body)
		}
	}
}

// Targets answer with another request's identity, one stage at a time and then
// all at once. Every answer that a caller gets must still be its own.
func TestAnswersWithWrongIdentityAreDropped(t *testing.T) {
	t.Parallel()
	c := startCluster(t, clusterOptions{entries: 2})
	wrong := fault.Fault{WrongIdentityShare: 0.3}
	for _, pool := range stagePools {
		c.setFault(fault.PoolScope(pool), wrong)
		answered, _ := c.sendBurst(pool, 20)
		assert.Assert(t, answered > 0, pool)
		c.setFault(fault.PoolScope(pool), fault.Fault{})
	}
	for _, pool := range append([]string{"booking"}, stagePools...) {
		c.setFault(fault.PoolScope(pool), wrong)
	}
	c.sendBurst("all", 20)
	c.sendBookingBurst(10)
	// If all answers of the pool have a wrong identity, the caller gets none.
	c.setFault(bookingScope, fault.Fault{WrongIdentityShare: 1})
	got := sendNow(c.entries[0].address, bookingRequest(newKey()))
	assert.Equal(t, got.status, http.StatusBadGateway, "%s", got.body)
}

// One target in three is far slower than the others, so stages are hedged and
// retried elsewhere. The slow answers arrive late, when the request has moved
// on or another one uses the connection. None may be used twice, or for another
// request.
func TestLateAnswersOfHedgesAndEarlierAttemptsAreNotUsed(t *testing.T) {
	t.Parallel()
	c := startCluster(t, clusterOptions{entries: 2})
	answered, ids := c.sendBurst("Q", 40)
	assert.Equal(t, answered, 40)
	before := c.stageInputs(ids)
	for _, p := range c.fleetFile.Pools {
		c.setFault(fault.TargetScope(p.FirstAddress), fault.Fault{StraggleFactor: 40})
	}
	waitFor(t, "hedges", func() bool {
		answered, ids = c.sendBurst("Q", 40)
		assert.Assert(t, answered > 0)
		for key, inputs := range c.stageInputs(ids) {
			assert.DeepEqual(t, inputs, before[key])
		}
		return c.secondAttempts() > 0
	})
}

// secondAttempts counts the attempts after the first of each stage.
func (c *cluster) secondAttempts() int {
	c.t.Helper()
	n := 0
	for _, e := range c.executions() {
		if _, attempt, _ := strings.Cut(e.RequestID, "/"); attempt != "" && !strings.HasSuffix(attempt, "/1") {
			n++
		}
	}
	return n
}

// An engine followed an outdated order and runs another version of the model
// than the one in force. Its answers look like all others, and a customer would
// get a quote from a withdrawn model.
func TestAnswersOfAnotherModelVersionAreNeverForwarded(t *testing.T) {
	t.Parallel()
	c := startCluster(t, clusterOptions{entries: 1})
	at := c.entries[0].address
	old := c.fleetFile.Pools[0].FirstAddress
	c.setModel(old, targetapi.SetModelRequest{Model: "m1", Version: "0"})
	asked := false
	for i := range 40 {
		got := sendNow(at, pipelineRequest(refOf("V", i), 4))
		assert.Equal(t, got.output(t), wholeText(refOf("V", i), 4))
		var a entry.PipelineAnswer
		assert.NilError(t, json.Unmarshal(got.body, &a))
		assert.Assert(t, a.Stages[3].Target != old, "the old version answered")
		asked = asked || a.Stages[3].Attempts > 1
	}
	assert.Assert(t, asked, "the engine with the old version was never asked")

	// No engine runs the version in force.
	pool := config.Pool{Name: "llm", Kind: config.TargetEngine, ChecksFencing: true, Model: "m1", Version: "2"}
	c.waitInForce(c.putItem(at, "pools/llm", pool, c.lastChange(at, config.KindPool, "llm")))
	got := sendNow(at, pipelineRequest("V", 4))
	assert.Assert(t, got.problem != nil, "%s", got.body)
	s := stream(context.Background(), at, "V", 4, nil)
	assert.Assert(t, s.problem != nil && s.text == "")
}

// lastChange returns the revision of an item's last change.
func (c *cluster) lastChange(at string, kind config.Kind, name string) config.Revision {
	c.t.Helper()
	var state config.State
	assert.NilError(c.t, json.Unmarshal(callAdminAPI(at, http.MethodGet, "config", nil, nil).body, &state))
	return state.LastChanges[config.ItemKey(kind, name)].Revision
}

// setModel makes an engine serve another model or version.
func (c *cluster) setModel(engine string, order targetapi.SetModelRequest) {
	c.t.Helper()
	raw, err := json.Marshal(order)
	assert.NilError(c.t, err)
	resp, err := client.Post("http://"+engine+targetapi.PathSetModel, "application/json", bytes.NewReader(raw))
	assert.NilError(c.t, err)
	defer func() { _ = resp.Body.Close() }()
	assert.Equal(c.t, resp.StatusCode, http.StatusOK)
}
