// Package target serves one emulated target over HTTP: it applies the faults
// in force, records executions and passes each call to the target's handler.
package target

import (
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/vanillagate/vanillagate/internal/problem"
	"github.com/vanillagate/vanillagate/internal/standin/count"
	"github.com/vanillagate/vanillagate/internal/standin/fault"
	"github.com/vanillagate/vanillagate/internal/standin/gate"
	"github.com/vanillagate/vanillagate/internal/targetapi"
)

// maxBody is the maximum size of a request's body in bytes.
const maxBody = 16 << 20

// Handler implements the calls of one kind of target.
type Handler interface {
	// Handle runs one call and answers it through the methods of c.
	Handle(c *Call)
	// Crash discards the state that a crash of the process would lose.
	Crash()
}

// Target is one emulated target. Create it with Open.
type Target struct {
	pool         string
	handler      Handler
	faults       *fault.Set
	executionLog *count.ExecutionLog
	gate         *gate.RestartableServer

	mu           sync.Mutex // guards all fields below; no other lock is taken while it is held
	lastIdentity string
}

// Config holds the address of a target and the state that it shares with other
// targets.
type Config struct {
	Address    string
	Pool       string
	Faults     *fault.Set
	Executions *count.ExecutionLog
}

// Open starts serving the handler on the target's address.
func Open(c Config, handler Handler) (*Target, error) {
	t := &Target{pool: c.Pool, handler: handler, faults: c.Faults, executionLog: c.Executions}
	g, err := gate.Open(c.Address, http.HandlerFunc(t.serve))
	if err != nil {
		return nil, err
	}
	t.gate = g
	c.Faults.Watch(t.applyFault)
	return t, nil
}

// Address returns the address on which the target listens.
func (t *Target) Address() string { return t.gate.Address() }

// Stop lets running calls finish and closes the target permanently.
func (t *Target) Stop() error { return t.gate.Stop() }

// applyFault opens or closes the listener after a change of faults. A target
// that goes down loses its state as in a crash.
func (t *Target) applyFault() {
	down := t.fault().Down
	if down && t.gate.IsOpen() {
		defer t.handler.Crash()
	}
	t.gate.SetDown(down)
}

func (t *Target) fault() fault.Fault {
	return t.faults.Combined(fault.PoolScope(t.pool), fault.TargetScope(t.Address()))
}

// StraggleFactor returns the factor by which the target's work is currently
// slowed down.
func StraggleFactor(faults *fault.Set, pool, address string) float64 {
	return faults.Combined(fault.PoolScope(pool), fault.TargetScope(address)).EffectiveStraggleFactor()
}

func (t *Target) serve(w http.ResponseWriter, r *http.Request) {
	// The whole body is read before the call runs: only then does net/http
	// watch the connection and end the context when the caller disconnects.
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	if err != nil {
		writeProblem(w, problem.New(http.StatusRequestEntityTooLarge, "body", "Body can't be read", err.Error(), problem.NotRun))
		return
	}
	f := t.fault()
	if f.Refuse {
		writeProblem(w, problem.New(http.StatusServiceUnavailable, "refused", "Target refuses work", "", problem.NotRun).WithRetryAfter(time.Second))
		return
	}
	if r.URL.Path == targetapi.PathHealth {
		w.WriteHeader(http.StatusOK)
		return
	}
	if !wait(r, f.Delay()) {
		return
	}
	c := &Call{target: t, fault: f, writer: w, Request: r, Body: body, identity: t.identity(r, f)}
	if f.CrashMarker != "" && strings.Contains(string(body), f.CrashMarker) {
		t.crash(c)
	}
	if t.faults.Sample(f.LoseAnswerShare) {
		c.writer = &discardWriter{header: http.Header{}}
		defer abort()
	}
	t.handler.Handle(c)
}

// crash records the execution that crashes the target, and takes the target
// down.
func (t *Target) crash(c *Call) {
	c.RecordStart()
	if t.gate.Crash(c.fault.Restart()) {
		t.executionLog.RecordCrash(t.pool)
		t.handler.Crash()
	}
	abort()
}

// abort closes the connection without an answer. Panicking with
// http.ErrAbortHandler is the documented way to do so in net/http.
func abort() { panic(http.ErrAbortHandler) }

// wait waits for the duration. It returns false if the caller disconnects
// first.
func wait(r *http.Request, d time.Duration) bool {
	if d <= 0 {
		return true
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-r.Context().Done():
		return false
	case <-timer.C:
		return true
	}
}

// identity returns the request ID to answer with: the request's own, except for
// the share of calls that the fault gives another request's.
func (t *Target) identity(r *http.Request, f fault.Fault) string {
	own := r.Header.Get(targetapi.HeaderRequestID)
	t.mu.Lock()
	other := t.lastIdentity
	t.lastIdentity = own
	t.mu.Unlock()
	if !t.faults.Sample(f.WrongIdentityShare) {
		return own
	}
	if other == "" || other == own {
		return "nobody/" + own
	}
	return other
}

// discardWriter discards an answer.
type discardWriter struct{ header http.Header }

func (w *discardWriter) Header() http.Header         { return w.header }
func (w *discardWriter) Write(p []byte) (int, error) { return len(p), nil }
func (w *discardWriter) WriteHeader(int)             {}
