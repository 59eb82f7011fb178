package ctl

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/vanillagate/vanillagate/internal/backing/memory"
	command "github.com/vanillagate/vanillagate/internal/command/change"
	"github.com/vanillagate/vanillagate/internal/config"
	"github.com/vanillagate/vanillagate/internal/problem"
	"github.com/vanillagate/vanillagate/internal/query/changes"
	"github.com/vanillagate/vanillagate/internal/query/status"
)

const operatorKey = "operators-key"

// fakeEntry answers operators' requests as an entry process does, with a table in
// memory.
type fakeEntry struct {
	store *memory.Store
	// dropAnswers makes changes take effect but closes their connections without
	// an answer.
	dropAnswers atomic.Bool
	// revisionLag is by how much the revision in the answer of in_force is too
	// low. Each answer lowers it by one first.
	revisionLag atomic.Int64
	address     string
}

func startFakeEntry(t *testing.T, store *memory.Store) *fakeEntry {
	e := &fakeEntry{store: store}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/admin/config", func(w http.ResponseWriter, r *http.Request) { reply(w, 200, e.state(r)) })
	mux.HandleFunc("/v1/admin/{section}/{name}", e.change)
	mux.HandleFunc("GET /v1/admin/in_force", func(w http.ResponseWriter, r *http.Request) {
		revision := e.state(r).Revision
		revision -= min(revision, config.Revision(max(e.revisionLag.Add(-1), 0)))
		reply(w, 200, inForceAnswer{VMs: []vmRevision{{Incarnation: "i", CallerAddress: e.address, Zone: "a", Revision: revision}}})
	})
	mux.HandleFunc("GET /v1/entries", func(w http.ResponseWriter, _ *http.Request) {
		reply(w, 200, entriesAnswer{Entries: []entryAddress{{Address: e.address, Zone: "a"}}})
	})
	mux.HandleFunc("GET /v1/admin/status", func(w http.ResponseWriter, r *http.Request) {
		var stops []config.Stop
		for _, stop := range e.state(r).Stops {
			stops = append(stops, stop)
		}
		reply(w, 200, status.Merge(status.Sources{Reports: []status.Report{{Incarnation: "i", CallerAddress: e.address}}, Stops: stops}))
	})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if strings.HasPrefix(r.URL.Path, "/v1/admin/") && r.Header.Get("Authorization") != "Bearer "+operatorKey {
			reply(w, 401, problem.New(401, "key", "Wrong key", "", problem.NotRun))
			return
		}
		mux.ServeHTTP(w, r)
	}))
	t.Cleanup(server.Close)
	e.address = server.Listener.Addr().String()
	return e
}

func reply(w http.ResponseWriter, code int, body any) {
	w.WriteHeader(code)
	_ = json.NewEncoder(w).Encode(body)
}

func (e *fakeEntry) state(r *http.Request) *config.State {
	state, _, err := changes.CatchUp(r.Context(), e.store, config.NewState())
	if err != nil {
		panic(err)
	}
	return state
}

func (e *fakeEntry) change(w http.ResponseWriter, r *http.Request) {
	expect, _ := strconv.ParseUint(strings.Trim(r.Header.Get("If-Match"), `"`), 10, 64)
	var body bytes.Buffer
	_, _ = body.ReadFrom(r.Body)
	req := command.Request{
		ID: r.Header.Get("Change-Id"), Kind: config.Kind(strings.TrimSuffix(r.PathValue("section"), "s")), Name: r.PathValue("name"),
		Body: body.Bytes(), Deleted: r.Method == http.MethodDelete, By: r.Header.Get("X-Operator"), ExpectedRevision: config.Revision(expect),
	}
	out := command.New(e.store, config.NewState).Submit(r.Context(), req)
	switch {
	case e.dropAnswers.Load():
		panic(http.ErrAbortHandler)
	case out.Result == command.Accepted:
		reply(w, 200, changeAnswer{Revision: out.Revision})
	case out.Result == command.Conflict:
		detail := fmt.Sprintf("%s changed this item at revision %d", out.Last.By, out.Last.Revision)
		reply(w, 412, problem.New(412, "conflict", "Somebody else changed it", detail, problem.NotRun))
	default:
		reply(w, 400, problem.New(400, "invalid", "Not valid", strings.Join(out.ValidationErrors, "; "), problem.NotRun))
	}
}

// run runs vgctl and returns its exit code and output.
func run(t *testing.T, entries string, args ...string) (ExitCode, string) {
	var out bytes.Buffer
	all := append([]string{"vgctl", "--entries", entries, "--operator-key", operatorKey, "--operator", "day"}, args...)
	code := Main(t.Context(), all, strings.NewReader(""), &out, &out)
	return code, out.String()
}

func mustRun(t *testing.T, entries string, args ...string) string {
	t.Helper()
	code, out := run(t, entries, args...)
	assert.Equal(t, code, ExitOK, out)
	return out
}

func TestContracts(t *testing.T) {
	e := startFakeEntry(t, memory.New())
	out := mustRun(t, e.address, "contract", "create", "granite", "--requests-per-second", "5", "--balance", "0.5")
	assert.Equal(t, out, "contract  granite  created  revision 1\n")
	mustRun(t, e.address, "contract", "set", "granite", "--share", "3", "--key-hash", strings.Repeat("ab", 32))
	out = mustRun(t, e.address, "contract", "get", "granite")
	for _, part := range []string{`"requests_per_second": 5`, `"share": 3`, `"balance": 0.5`, "abab", "revision 2 by day"} {
		assert.Assert(t, strings.Contains(out, part), out)
	}
	mustRun(t, e.address, "contract", "delete", "granite")
	assert.Equal(t, mustRun(t, e.address, "--output", "json", "contract", "list"), "[]\n")
	code, out := run(t, e.address, "contract", "get", "granite")
	assert.Equal(t, code, ExitRefused, out)
	code, out = run(t, e.address, "contract", "create", "granite", "--in-flight", "-1")
	assert.Equal(t, code, ExitRefused)
	assert.Assert(t, strings.Contains(out, "in_flight: not negative"), out)
}

// Another operator changes the contract after this one has read it. vgctl must not
// overwrite that change, and must name the other operator.
func TestConflictNamesOtherOperator(t *testing.T) {
	e := startFakeEntry(t, memory.New())
	mustRun(t, e.address, "contract", "create", "granite")
	mustRun(t, e.address, "--operator", "night", "contract", "set", "granite", "--share", "2")
	code, out := run(t, e.address, "contract", "set", "granite", "--share", "3", "--if-revision", "1")
	assert.Equal(t, code, ExitConflict)
	assert.Assert(t, strings.Contains(out, "night changed this item at revision 2"), out)
}

// The entry process accepts a change and dies before it answers. vgctl retries
// with the next entry process and must report the revision of the first attempt.
// If there is no other entry process, it must not report that nothing was changed.
func TestEntryProcessDiesBeforeAnswering(t *testing.T) {
	store := memory.New()
	first, second := startFakeEntry(t, store), startFakeEntry(t, store)
	first.dropAnswers.Store(true)
	out := mustRun(t, first.address+","+second.address, "contract", "create", "granite")
	assert.Assert(t, strings.Contains(out, "revision 1"), out)
	code, out := run(t, first.address, "contract", "set", "granite", "--share", "2", "--change-id", "mine")
	assert.Equal(t, code, ExitUnavailable)
	assert.Assert(t, strings.Contains(out, "may have been accepted; retry with --change-id mine"), out)
	out = mustRun(t, second.address, "contract", "set", "granite", "--share", "2", "--change-id", "mine", "--if-revision", "1")
	assert.Assert(t, strings.Contains(out, "revision 2"), out)
	code, out = run(t, "127.0.0.1:1", "contract", "create", "other")
	assert.Equal(t, code, ExitUnavailable)
	assert.Assert(t, strings.Contains(out, "nothing was changed"), out)
}

func TestApplySkipsUnchangedItems(t *testing.T) {
	e := startFakeEntry(t, memory.New())
	file := filepath.Join(t.TempDir(), "deployment.json")
	assert.NilError(t, os.WriteFile(file, []byte(`{
		"contracts": [{"customer": "granite", "key_hashes": []}],
		"pipelines": [{"name": "quote", "stages": [{"name": "generate", "pool": "llm"}]}],
		"pools": [{"name": "llm", "kind": "engine"}]
	}`), 0o600))
	out := mustRun(t, e.address, "apply", "-f", file)
	assert.Equal(t, strings.Count(out, "applied"), 3, out)
	out = mustRun(t, e.address, "apply", "-f", file)
	assert.Equal(t, strings.Count(out, "unchanged"), 3, out)
}

func TestWaitForRevision(t *testing.T) {
	e := startFakeEntry(t, memory.New())
	mustRun(t, e.address, "contract", "create", "granite")
	e.revisionLag.Store(4)
	out := mustRun(t, e.address, "contract", "wait", "1")
	assert.Assert(t, strings.Contains(out, "yes"), out)
	code, out := run(t, e.address, "contract", "wait", "2", "--timeout", "300ms")
	assert.Equal(t, code, ExitTimeout)
	assert.Assert(t, strings.Contains(out, "not yet"), out)
}

func TestStops(t *testing.T) {
	e := startFakeEntry(t, memory.New())
	mustRun(t, e.address, "stop", "announce", "--target", "10.0.0.1:80", "--reason", "new disk")
	out := mustRun(t, e.address, "stop", "list")
	assert.Assert(t, strings.Contains(out, "1 of 1") && strings.Contains(out, "new disk"), out)
	mustRun(t, e.address, "stop", "wait", "10.0.0.1:80")
	assert.Assert(t, strings.Contains(mustRun(t, e.address, "status"), "planned stops:"))
	mustRun(t, e.address, "stop", "cancel", "10.0.0.1:80")
	assert.Assert(t, strings.Contains(mustRun(t, e.address, "status"), "planned stops: none"))
}

func TestUsageErrors(t *testing.T) {
	for _, args := range [][]string{
		{"bogus"},
		{"contract"},
		{"contract", "create"},
		{"contract", "create", "a", "--no-such-flag"},
		{"contract", "create", "a", "--share", "x"},
		{"contract", "wait", "soon"},
		{"pool", "apply"},
		{"stop", "announce"},
		{"--output", "xml", "status"},
		{"--entries", "nowhere", "status"},
	} {
		code, out := run(t, "127.0.0.1:1", args...)
		assert.Equal(t, code, ExitUsage, "%v: %s", args, out)
	}
	e := startFakeEntry(t, memory.New())
	code, out := run(t, e.address, "--operator-key", "wrong", "contract", "list")
	assert.Equal(t, code, ExitRefused, out)
}
