package fleet

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/vanillagate/vanillagate/internal/config"
	"github.com/vanillagate/vanillagate/internal/standin/count"
	"github.com/vanillagate/vanillagate/internal/standin/engine"
	"github.com/vanillagate/vanillagate/internal/standin/fault"
	"github.com/vanillagate/vanillagate/internal/standin/service"
	"github.com/vanillagate/vanillagate/internal/standin/stagepool"
	"github.com/vanillagate/vanillagate/internal/standin/vmlist"
	"github.com/vanillagate/vanillagate/internal/targetapi"
)

const anyPort = "127.0.0.1:0"

// client doesn't reuse connections, so that each call depends on the current state
// of the listener.
var client = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}

func start(t *testing.T, change func(*File)) *Fleet {
	t.Helper()
	quick := stagepool.Costs{BaseUS: 100, LoadLagMS: -1}
	pool := func(name string, kind config.TargetKind, count int) Pool {
		return Pool{
			Pool: name, Kind: kind, Model: "m1", Version: "1", FirstAddress: anyPort, Count: count, Zones: []string{"a", "b"},
			ChecksFencing: true, Engine: engine.Costs{StepUS: 200, PerSequenceUS: 10, ModelLoadMS: 1, LoadLagMS: -1}, Service: quick,
		}
	}
	file := File{
		Seed: 1, Table: anyPort, Objects: anyPort, VMList: anyPort, Control: anyPort,
		Entries: []Entry{{Address: "127.0.0.1:7501", PeerAddress: "127.0.0.1:7601", Zone: "a"}},
		Pools: []Pool{
			pool("llm", config.TargetEngine, 2), pool("encoder", config.TargetEncoder, 1), pool("retriever", config.TargetRetriever, 1),
			pool("reranker", config.TargetReranker, 1), pool("booking", config.TargetService, 2),
		},
	}
	if change != nil {
		change(&file)
	}
	assert.NilError(t, file.Check())
	f, err := Open(file, Parts{Platform: true, Targets: true}, zap.NewNop())
	assert.NilError(t, err)
	t.Cleanup(func() { assert.NilError(t, f.Stop()) })
	return f
}

type headers map[string]string

func do(ctx context.Context, method, url string, body any, h headers) (*http.Response, error) {
	raw, err := json.Marshal(body)
	if err != nil {
		return nil, err
	}
	r, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(string(raw)))
	if err != nil {
		return nil, err
	}
	for name, value := range h {
		r.Header.Set(name, value)
	}
	return client.Do(r)
}

func call[T any](t *testing.T, method, url string, body any, h headers) (int, T) {
	t.Helper()
	var answer T
	response, err := do(context.Background(), method, url, body, h)
	assert.NilError(t, err)
	defer response.Body.Close()
	raw, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	if len(raw) > 0 {
		assert.NilError(t, json.Unmarshal(raw, &answer), "%s", raw)
	}
	return response.StatusCode, answer
}

func (f *Fleet) setFault(t *testing.T, scope string, ft fault.Fault) {
	t.Helper()
	status, _ := call[struct{}](t, "PUT", "http://"+f.Control+"/faults", FaultRequest{Scope: scope, Fault: ft}, nil)
	assert.Equal(t, status, http.StatusNoContent)
}

func (f *Fleet) executions(t *testing.T) []count.Execution {
	t.Helper()
	_, counts := call[Counts](t, "GET", "http://"+f.Control+"/counts", nil, nil)
	return counts.Executions
}

func waitUntil(t *testing.T, what string, holds func() bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if holds() {
			return poll.Success()
		}
		return poll.Continue("waiting for %s", what)
	}, poll.WithTimeout(30*time.Second), poll.WithDelay(5*time.Millisecond))
}

func completions(f *Fleet, target int) string {
	return "http://" + f.Targets["llm"][target] + targetapi.PathCompletions
}

// readStream reads a stream to its end; whole tells whether it ended with [DONE].
func readStream(t *testing.T, url string, r targetapi.CompletionRequest) (text string, whole bool) {
	t.Helper()
	r.Stream = true
	response, err := do(context.Background(), "POST", url, r, nil)
	assert.NilError(t, err)
	defer response.Body.Close()
	for lines := bufio.NewScanner(response.Body); lines.Scan(); {
		data, found := strings.CutPrefix(lines.Text(), "data: ")
		if data == "[DONE]" {
			return text, true
		}
		if !found {
			continue
		}
		var event targetapi.Completion
		assert.NilError(t, json.Unmarshal([]byte(data), &event))
		text += event.Choices[0].Text
	}
	return text, false
}

func TestFourStages(t *testing.T) {
	f := start(t, nil)
	at := func(pool, path string) string { return "http://" + f.Targets[pool][0] + path }
	h := headers{targetapi.HeaderRequestID: "r/s/1", targetapi.HeaderCustomer: "granite"}
	_, vector := call[targetapi.EmbeddingAnswer](t, "POST", at("encoder", targetapi.PathEmbeddings), targetapi.EmbeddingRequest{Input: "q [ref:R]"}, h)
	assert.DeepEqual(t, vector.Data[0].Embedding, stagepool.Vector("q [ref:R]"))
	_, found := call[targetapi.SearchAnswer](t, "POST", at("retriever", targetapi.PathSearch), targetapi.SearchRequest{Query: "q [ref:R]", MaxResults: 3}, h)
	assert.Equal(t, found.Data[2].Content, "doc 2 for [ref:R]")
	documents := []string{found.Data[0].Content, found.Data[1].Content, found.Data[2].Content}
	_, best := call[targetapi.RerankAnswer](t, "POST", at("reranker", targetapi.PathRerank), targetapi.RerankRequest{Query: "q", Documents: documents, TopN: 2}, h)
	assert.Equal(t, best.ID, "r/s/1")
	assert.Equal(t, len(best.Results), 2)
	assert.Assert(t, best.Results[0].Score >= best.Results[1].Score)
	_, text := call[targetapi.Completion](t, "POST", completions(f, 0), targetapi.CompletionRequest{Model: "m1", Prompt: "q [ref:R] Answer:", MaxTokens: 3}, h)
	assert.Equal(t, text.Choices[0].Text, "R:0 R:1 R:2")
	assert.Equal(t, text.ID, "cmpl-r/s/1")
	executions := f.executions(t)
	assert.Equal(t, len(executions), 4)
	for _, e := range executions {
		assert.Assert(t, e.Finished && e.EngineUS > 0 && e.RequestID == "r/s/1" && e.Customer == "granite", "%+v", e)
	}
}

// A caller disconnects while an engine generates its answer, once with streaming and
// once without. If the engine didn't notice, it would go on generating tokens that
// nobody receives.
func TestDisconnectCancelsExecution(t *testing.T) {
	f := start(t, nil)
	for _, stream := range []bool{true, false} {
		ctx, disconnect := context.WithCancel(context.Background())
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			response, err := do(ctx, "POST", completions(f, 0), targetapi.CompletionRequest{Prompt: "[ref:R]", MaxTokens: 1 << 30, Stream: stream}, nil)
			if err == nil {
				_, _ = io.Copy(io.Discard, response.Body)
				_ = response.Body.Close()
			}
		}()
		waitUntil(t, "the execution to start", func() bool { return len(f.executions(t)) == 1 })
		disconnect()
		<-ended
		waitUntil(t, "the execution to be cancelled", func() bool {
			return f.executions(t)[0].Cancelled
		})
		_, _ = call[struct{}](t, "POST", "http://"+f.Control+"/counts/reset", nil, nil)
		assert.Equal(t, len(f.executions(t)), 0)
	}
	_, load := call[targetapi.LoadReport](t, "GET", "http://"+f.Targets["llm"][0]+targetapi.PathLoad, nil, nil)
	assert.Equal(t, load.Named.Running, 0.0)
}

// A request with the crash marker crashes its engine, so that another request in
// progress on the engine fails too. Callers see their connections close, and new
// connections are refused until the engine has restarted.
func TestCrashMarkerCrashesTarget(t *testing.T) {
	f := start(t, nil)
	f.setFault(t, fault.PoolScope("llm"), fault.Fault{CrashMarker: "[crash]", RestartMS: 1500})
	other := make(chan error, 1)
	go func() {
		_, err := do(context.Background(), "POST", completions(f, 0), targetapi.CompletionRequest{Prompt: "[ref:i]", MaxTokens: 1 << 30}, nil)
		other <- err
	}()
	waitUntil(t, "the other request to run", func() bool { return len(f.executions(t)) == 1 })
	_, err := do(context.Background(), "POST", completions(f, 0), targetapi.CompletionRequest{Prompt: "[crash] [ref:c]", MaxTokens: 1}, nil)
	assert.Assert(t, err != nil)
	assert.Assert(t, <-other != nil)
	_, err = do(context.Background(), "GET", "http://"+f.Targets["llm"][0]+targetapi.PathHealth, nil, nil)
	assert.Assert(t, errors.Is(err, syscall.ECONNREFUSED), "%v", err)
	waitUntil(t, "the engine to come back", func() bool {
		response, err := do(context.Background(), "GET", "http://"+f.Targets["llm"][0]+targetapi.PathHealth, nil, nil)
		return err == nil && response.Body.Close() == nil
	})
	_, summary := call[map[string]count.PoolSummary](t, "GET", "http://"+f.Control+"/summary", nil, nil)
	assert.Equal(t, summary["llm"].Crashes, 1)
	assert.Equal(t, summary["llm"].Executions, 2)
	assert.Equal(t, summary["llm"].Finished, 0)
	assert.Equal(t, summary["llm"].Cancelled, 0) // the caller did not disconnect
}

// A stream breaks in the middle. Resuming it on another engine with the text received
// so far must yield exactly the rest of the text.
func TestInterruptedStreamIsResumedOnAnotherTarget(t *testing.T) {
	f := start(t, nil)
	f.setFault(t, fault.TargetScope(f.Targets["llm"][0]), fault.Fault{DropStreamAfterTokens: 2})
	prompt := "question [ref:R] Answer:"
	got, whole := readStream(t, completions(f, 0), targetapi.CompletionRequest{Prompt: prompt, MaxTokens: 5})
	assert.Equal(t, got, "R:0 R:1")
	assert.Assert(t, !whole)
	rest, whole := readStream(t, completions(f, 1), targetapi.CompletionRequest{Prompt: prompt + got, MaxTokens: 3})
	assert.Equal(t, got+rest, "R:0 R:1 R:2 R:3 R:4")
	assert.Assert(t, whole)
}

// A service executes a booking and its answer is lost. The caller can't tell whether
// it was executed, but the target's execution log must show it.
func TestLostAnswerOfAServiceIsCountedAsRun(t *testing.T) {
	f := start(t, nil)
	url := "http://" + f.Targets["booking"][0] + "/hold/7"
	h := headers{targetapi.HeaderIdempotencyKey: "k"}
	f.setFault(t, fault.PoolScope("booking"), fault.Fault{LoseAnswerShare: 1})
	_, err := do(context.Background(), "PUT", url, "seven", h)
	assert.Assert(t, err != nil)
	f.setFault(t, fault.PoolScope("booking"), fault.Fault{})
	executions := f.executions(t)
	assert.Equal(t, len(executions), 1)
	assert.Assert(t, executions[0].Finished && executions[0].IdempotencyKey == "k")
	_, again := call[service.Answer](t, "PUT", url, "seven", h)
	assert.Equal(t, again.Execution, 2)
	assert.Equal(t, again.Path, "/hold/7")
	assert.Equal(t, string(again.Echo), `"seven"`)
}

// A lock holder that was paused resumes and sends its call with an outdated fencing
// token, to another target of the service than the one that executed the call with
// the newer token. If it were executed, the booking would be made twice.
func TestOldFencingTokenIsRefused(t *testing.T) {
	for _, checks := range []bool{true, false} {
		f := start(t, func(file *File) {
			for i := range file.Pools {
				file.Pools[i].ChecksFencing = checks
			}
		})
		wantStatus := http.StatusOK
		if checks {
			wantStatus = http.StatusConflict
		}
		send := func(target int, key, token string) int {
			h := headers{targetapi.HeaderIdempotencyKey: key, targetapi.HeaderFencingToken: token}
			status, _ := call[json.RawMessage](t, "POST", "http://"+f.Targets["booking"][target]+"/", "x", h)
			return status
		}
		assert.Equal(t, send(0, "k", "5"), http.StatusOK)
		assert.Equal(t, send(1, "k", "4"), wantStatus)
		assert.Equal(t, send(1, "other", "4"), http.StatusOK)
		setModel := func(version, token string) int {
			status, _ := call[json.RawMessage](t, "POST", "http://"+f.Targets["llm"][0]+targetapi.PathSetModel,
				targetapi.SetModelRequest{Model: "m1", Version: version}, headers{targetapi.HeaderFencingToken: token})
			return status
		}
		assert.Equal(t, setModel("2", "9"), http.StatusOK)
		assert.Equal(t, setModel("1", "8"), wantStatus)
		_, models := call[targetapi.ModelList](t, "GET", "http://"+f.Targets["llm"][0]+targetapi.PathModels, nil, nil)
		assert.Equal(t, models.Data[0].Version == "2", checks)
	}
}

// A target returns the answer of another request. The caller can detect this only by
// the request ID in the answer.
func TestWrongIdentity(t *testing.T) {
	f := start(t, nil)
	f.setFault(t, fault.PoolScope("encoder"), fault.Fault{WrongIdentityShare: 1})
	for _, id := range []string{"r1/e/1", "r2/e/1", "r2/e/1"} {
		response, err := do(context.Background(), "POST", "http://"+f.Targets["encoder"][0]+targetapi.PathEmbeddings,
			targetapi.EmbeddingRequest{Input: "x"}, headers{targetapi.HeaderRequestID: id})
		assert.NilError(t, err)
		assert.NilError(t, response.Body.Close())
		assert.Assert(t, response.Header.Get(targetapi.HeaderRequestID) != id)
		assert.Equal(t, response.StatusCode, http.StatusOK)
	}
}

func TestDownRefusesConnectionsUntilCleared(t *testing.T) {
	f := start(t, nil)
	for scope, url := range map[string]string{
		fault.ScopeTable:           "http://" + f.Table,
		fault.ScopeObjects:         "http://" + f.Objects,
		fault.ScopeVMList:          "http://" + f.VMList,
		fault.PoolScope("booking"): "http://" + f.Targets["booking"][1],
	} {
		f.setFault(t, scope, fault.Fault{Down: true})
		_, err := do(context.Background(), "GET", url, nil, nil)
		assert.Assert(t, errors.Is(err, syscall.ECONNREFUSED), "%s: %v", scope, err)
		f.setFault(t, scope, fault.Fault{})
		waitUntil(t, scope+" to come back", func() bool {
			response, err := do(context.Background(), "GET", url, nil, nil)
			return err == nil && response.Body.Close() == nil
		})
	}
}

// A VM changes to leaving, then to gone. The served list must show the change only
// after the lag.
func TestVMListLags(t *testing.T) {
	f := start(t, func(file *File) { file.VMListLagMS = 300 })
	target := f.Targets["llm"][1]
	state := func(url string) string {
		_, rows := call[[]vmlist.Row](t, "GET", url, nil, nil)
		for _, r := range rows {
			if r.Targets[0] == target {
				assert.Equal(t, r.Labels.Zone, "b")
				return r.Labels.State
			}
		}
		return vmlist.StateGone
	}
	served, truth := "http://"+f.VMList+"/", "http://"+f.Control+"/vms"
	assert.Equal(t, state(served), vmlist.StateLive)
	began := time.Now()
	for _, next := range []string{vmlist.StateLeaving, vmlist.StateGone} {
		status, _ := call[struct{}](t, "POST", truth+"/state", StateRequest{Address: target, State: next}, nil)
		assert.Equal(t, status, http.StatusNoContent)
		assert.Equal(t, state(truth), next)
	}
	waitUntil(t, "the list to show it as gone", func() bool { return state(served) == vmlist.StateGone })
	assert.Assert(t, time.Since(began) >= 300*time.Millisecond)
}

func TestControlRejectsUnknownScopesAndStates(t *testing.T) {
	f := start(t, nil)
	for _, c := range []struct {
		method, path string
		body         any
		want         int
	}{
		{"PUT", "/faults", FaultRequest{Scope: "pool:lmm"}, http.StatusNotFound},
		{"PUT", "/faults", map[string]string{"scoop": "table"}, http.StatusBadRequest},
		{"POST", "/vms/state", StateRequest{Address: "127.0.0.1:1", State: "live"}, http.StatusNotFound},
		{"POST", "/vms/state", StateRequest{Address: f.Targets["llm"][0], State: "dead"}, http.StatusBadRequest},
	} {
		status, _ := call[json.RawMessage](t, c.method, "http://"+f.Control+c.path, c.body, nil)
		assert.Equal(t, status, c.want, "%s %s", c.method, c.path)
	}
}

// Two processes host the parts of a deployment, one the targets, so that it can be
// killed on its own, and another the rest.
func TestPartsInSeparateProcesses(t *testing.T) {
	file := File{
		Seed: 1, Table: anyPort, Objects: anyPort, VMList: anyPort, Control: anyPort,
		Pools: []Pool{
			{Pool: "a", Kind: config.TargetService, FirstAddress: anyPort, Count: 2, Zones: []string{"a"}},
			{Pool: "b", Kind: config.TargetService, FirstAddress: anyPort, Count: 1, Zones: []string{"a"}},
		},
	}
	targets, err := Open(file, Parts{Targets: true, Pools: []string{"a"}}, zap.NewNop())
	assert.NilError(t, err)
	defer func() { assert.NilError(t, targets.Stop()) }()
	assert.Equal(t, len(targets.Targets["a"]), 2)
	assert.Equal(t, len(targets.Targets["b"]), 0)
	assert.Equal(t, targets.Table+targets.Objects+targets.VMList, "")
	platform, err := Open(file, Parts{Platform: true}, zap.NewNop())
	assert.NilError(t, err)
	defer func() { assert.NilError(t, platform.Stop()) }()
	assert.Equal(t, len(platform.Targets), 0)
	_, rows := call[[]vmlist.Row](t, "GET", "http://"+platform.VMList, nil, nil)
	assert.Equal(t, len(rows), 3)
}
