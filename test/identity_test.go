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

// stagePools are the pools of the usual pipeline.
var stagePools = []string{"encoder", "retriever", "reranker", "llm"}

// burst sends many pipeline requests at once, JSON and streams by turns, over
// all entry VMs, and checks that each answer is its own request's and whole.
// It counts the answers; whatever is none has to be a clear problem.
func (c *cluster) burst(prefix string, n int) (answered int, ids map[string]string) {
	c.t.Helper()
	var all sync.WaitGroup
	replies := make([]reply, n)
	streams := make([]streamed, n)
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
	ids[got.id] = ref
	return 1
}

func (c *cluster) checkStream(ref string, got streamed) int {
	c.t.Helper()
	assert.NilError(c.t, got.err, ref)
	if got.problem != nil {
		assert.Assert(c.t, strings.HasPrefix(wholeText(ref, 8), got.text), "%s got %q", ref, got.text)
		return 0
	}
	assert.Equal(c.t, got.text, wholeText(ref, 8))
	return 1
}

// stageInputs are the bodies that the targets got for answered requests, by
// reference and stage: what one stage hands to the next shows in them.
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

// One target of every pool mixes up its callers: two that come at the same time
// get each other's answers, on connections that are kept. Without a look at
// whose answer it is, a caller would read another's quote, or a quote made from
// another's documents.
func TestCrossedAnswersAreNeverForwarded(t *testing.T) {
	t.Parallel()
	c := startCluster(t, clusterOptions{entries: 2})
	const requests = 60
	answered, ids := c.burst("Q", requests)
	assert.Equal(t, answered, requests)
	before := c.stageInputs(ids)

	moved, mixers := map[string]string{}, map[string]*crossing{}
	for _, p := range c.fleetFile.Pools {
		mixer := crossAt(t, p.FirstAddress)
		moved[p.FirstAddress] = mixer.address()
		mixers[p.Pool] = mixer
	}
	c.moveTargets(moved)
	for _, pool := range stagePools {
		waitFor(t, "crossed answers of "+pool, func() bool {
			answered, ids = c.burst("Q", requests)
			assert.Assert(t, answered > 0)
			for key, inputs := range c.stageInputs(ids) {
				assert.DeepEqual(t, inputs, before[key])
			}
			return mixers[pool].crossed.Load() > 0
		})
	}
	waitFor(t, "crossed answers of booking", func() bool {
		c.burstOfBookings(30)
		return mixers["booking"].crossed.Load() > 0
	})
}

// burstOfBookings sends bookings and looks at once, and checks that each answer
// is its own call's.
func (c *cluster) burstOfBookings(n int) {
	c.t.Helper()
	keys := make([]string, n)
	replies, looks := make([]reply, n), make([]reply, n)
	var all sync.WaitGroup
	for i := range n {
		keys[i] = newKey()
		at := c.entries[i%len(c.entries)].address
		all.Go(func() { replies[i] = sendNow(at, confirm(keys[i])) })
		all.Go(func() {
			looks[i] = sendNow(at, request{method: http.MethodGet, path: "/v1/services/booking/look/" + keys[i]})
		})
	}
	all.Wait()
	for i, key := range keys {
		c.checkTrue("crossed", key, replies[i])
		if replies[i].status == http.StatusOK {
			assert.Assert(c.t, strings.Contains(string(replies[i].body), `"[ref:`+key+`]"`), "%s got %s", key, replies[i].body)
		}
		if looks[i].status == http.StatusOK {
			assert.Assert(c.t, strings.Contains(string(looks[i].body), "/look/"+key+`"`), "%s got %s", key, looks[i].body)
		}
	}
}

// Targets answer under another request's identity, of each stage in turn and
// then of all at once. Every answer that a caller gets is its own all the same.
func TestAnswersWithAnothersIdentityAreDropped(t *testing.T) {
	t.Parallel()
	c := startCluster(t, clusterOptions{entries: 2})
	wrong := fault.Fault{WrongIdentityShare: 0.3}
	for _, pool := range stagePools {
		c.setFault(fault.PoolScope(pool), wrong)
		answered, _ := c.burst(pool, 20)
		assert.Assert(t, answered > 0, pool)
		c.setFault(fault.PoolScope(pool), fault.Fault{})
	}
	for _, pool := range append([]string{"booking"}, stagePools...) {
		c.setFault(fault.PoolScope(pool), wrong)
	}
	c.burst("all", 20)
	c.burstOfBookings(10)
	// With the whole pool at it there is no answer at all.
	c.setFault(bookingPool, fault.Fault{WrongIdentityShare: 1})
	got := sendNow(c.entries[0].address, confirm(newKey()))
	assert.Equal(t, got.status, http.StatusBadGateway, "%s", got.body)
}

// One target in three is far slower than the others. The stages are hedged and
// tried again elsewhere, and the slow answers come late, when the request has
// long gone on or another one uses the connection. None may be used twice, or
// for another.
func TestLateAnswersOfHedgesAndEarlierAttemptsAreNotUsed(t *testing.T) {
	t.Parallel()
	c := startCluster(t, clusterOptions{entries: 2})
	answered, ids := c.burst("Q", 40)
	assert.Equal(t, answered, 40)
	before := c.stageInputs(ids)
	for _, p := range c.fleetFile.Pools {
		c.setFault(fault.TargetScope(p.FirstAddress), fault.Fault{StraggleFactor: 40})
	}
	waitFor(t, "hedges", func() bool {
		answered, ids = c.burst("Q", 40)
		assert.Assert(t, answered > 0)
		for key, inputs := range c.stageInputs(ids) {
			assert.DeepEqual(t, inputs, before[key])
		}
		return c.secondAttempts() > 0
	})
}

// secondAttempts counts attempts after the first of their stage.
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

// An engine took an old order and runs another version of the model than the
// one in force. Its answers look like all others, and a customer would be
// quoted by a model that was withdrawn.
func TestAnswersOfAnotherModelVersionAreNeverForwarded(t *testing.T) {
	t.Parallel()
	c := startCluster(t, clusterOptions{entries: 1})
	at := c.entries[0].address
	old := c.fleetFile.Pools[0].FirstAddress
	c.orderModel(old, targetapi.SetModelRequest{Model: "m1", Version: "0"})
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
	c.waitInForce(c.put(at, "pools/llm", pool, c.lastChange(at, config.KindPool, "llm")))
	got := sendNow(at, pipelineRequest("V", 4))
	assert.Assert(t, got.problem != nil, "%s", got.body)
	s := stream(context.Background(), at, "V", 4, nil)
	assert.Assert(t, s.problem != nil && s.text == "")
}

// lastChange is the revision of an item's last change.
func (c *cluster) lastChange(at string, kind config.Kind, name string) config.Revision {
	c.t.Helper()
	var state config.State
	assert.NilError(c.t, json.Unmarshal(operate(at, http.MethodGet, "config", nil, nil).body, &state))
	return state.LastChanges[config.ItemKey(kind, name)].Revision
}

// orderModel has an engine serve another model or version.
func (c *cluster) orderModel(engine string, order targetapi.SetModelRequest) {
	c.t.Helper()
	raw, err := json.Marshal(order)
	assert.NilError(c.t, err)
	resp, err := client.Post("http://"+engine+targetapi.PathSetModel, "application/json", bytes.NewReader(raw))
	assert.NilError(c.t, err)
	defer func() { _ = resp.Body.Close() }()
	assert.Equal(c.t, resp.StatusCode, http.StatusOK)
}
