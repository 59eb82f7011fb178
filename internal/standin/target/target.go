// Package target serves one emulated target over HTTP: it applies the faults
// in force, counts executions and hands the call to what the target is.
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

// maxBody bounds a request's body in bytes.
const maxBody = 16 << 20

// Handler is what a target does with its calls.
type Handler interface {
	// Handle runs one call and answers it through the call.
	Handle(c *Call)
	// Crash forgets what a crash of the process would lose.
	Crash()
}

// Target is one emulated target. Use Open.
type Target struct {
	pool   string
	work   Handler
	faults *fault.Set
	ledger *count.ExecutionLog
	gate   *gate.RestartableServer

	mu           sync.Mutex // guards all below; a leaf
	lastIdentity string
}

// Config says where a target listens and what it shares with the others.
type Config struct {
	Address      string
	Pool         string
	Faults       *fault.Set
	ExecutionLog *count.ExecutionLog
}

// Open serves the work on the target's address.
func Open(c Config, work Handler) (*Target, error) {
	t := &Target{pool: c.Pool, work: work, faults: c.Faults, ledger: c.ExecutionLog}
	g, err := gate.Open(c.Address, http.HandlerFunc(t.serve))
	if err != nil {
		return nil, err
	}
	t.gate = g
	c.Faults.Watch(t.settle)
	return t, nil
}

// Address is where the target listens.
func (t *Target) Address() string { return t.gate.Address() }

// Stop lets running calls finish and closes for good.
func (t *Target) Stop() error { return t.gate.Stop() }

// settle opens or closes the listener after a change of faults. A target that
// goes down loses what a crash would lose.
func (t *Target) settle() {
	down := t.fault().Down
	if down && t.gate.IsOpen() {
		defer t.work.Crash()
	}
	t.gate.SetDown(down)
}

func (t *Target) fault() fault.Fault {
	return t.faults.Combined(fault.PoolScope(t.pool), fault.TargetScope(t.Address()))
}

// StraggleFactor is the factor by which the target's work is stretched now.
func StraggleFactor(faults *fault.Set, pool, address string) float64 {
	return faults.Combined(fault.PoolScope(pool), fault.TargetScope(address)).EffectiveStraggleFactor()
}

func (t *Target) serve(w http.ResponseWriter, r *http.Request) {
	// The whole body is read before anything runs: only then does the server
	// watch the connection and end the context when the caller hangs up.
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
		c.writer = &lostAnswer{header: http.Header{}}
		defer abort()
	}
	t.work.Handle(c)
}

// crash counts the execution that brings the target down, and goes down.
func (t *Target) crash(c *Call) {
	c.RecordStart()
	if t.gate.Crash(c.fault.Restart()) {
		t.ledger.RecordCrash(t.pool)
		t.work.Crash()
	}
	abort()
}

// abort closes the connection without an answer. Panicking with this value is
// the server's own documented way to do so; nothing is broken.
func abort() { panic(http.ErrAbortHandler) }

// wait is false when the caller hung up meanwhile.
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

// identity is the request's, but for the share that the fault mixes up.
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

// lostAnswer swallows an answer.
type lostAnswer struct{ header http.Header }

func (l *lostAnswer) Header() http.Header         { return l.header }
func (l *lostAnswer) Write(p []byte) (int, error) { return len(p), nil }
func (l *lostAnswer) WriteHeader(int)             {}
