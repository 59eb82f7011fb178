package pipeline

import (
	"context"
	"io"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/vanillagate/vanillagate/internal/suspect"
)

// sharedEvidence is the Suspicion of one of several processes; the test provides the evidence
// of its peers.
type sharedEvidence struct {
	noopHooks
	table *suspect.Table
}

func (s *sharedEvidence) RecordCrash(f suspect.Fingerprint, address string) {
	s.table.RecordCrash(f, address, time.Now())
}

func (s *sharedEvidence) RecordSuccess(f suspect.Fingerprint) { s.table.RecordSuccess(f, time.Now()) }

func (s *sharedEvidence) Check(f suspect.Fingerprint) suspect.Verdict {
	return s.table.Check(f, time.Now())
}

func (s *sharedEvidence) RequestPermission(f suspect.Fingerprint) suspect.Permission {
	permission, _ := s.table.RequestPermission(f, time.Now())
	return permission
}

func (s *sharedEvidence) MayContinue(f suspect.Fingerprint, p suspect.Permission) bool {
	return s.table.MayContinue(f, p, time.Now())
}

func (s *sharedEvidence) Watch(f suspect.Fingerprint, fn func()) func() { return s.table.Watch(f, fn) }

// reportPeerCrash reports that the request crashed a target of another process.
func (s *sharedEvidence) reportPeerCrash(f suspect.Fingerprint) {
	now := time.Now()
	s.table.MergeEvidence(suspect.Evidence{
		Fingerprint: f, Crashes: []suspect.Crash{{Address: "10.0.0.1:1", At: now, Owner: "peer", OwnedAt: now}},
	}, now)
}

// Guards against losing a third target because the crash of a withdrawn attempt isn't recorded.
func TestCrashAfterWithdrawalIsRecorded(t *testing.T) {
	evidence := &sharedEvidence{table: suspect.NewTable("self")}
	request := singleStageRequest(3)
	withdrawn := make(chan struct{})
	var server *http.Server
	x := newTestExecutor(t, func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		server = r.Context().Value(http.ServerContextKey).(*http.Server)
		evidence.reportPeerCrash(request.Fingerprint())
		<-r.Context().Done()
		close(withdrawn)
		time.Sleep(50 * time.Millisecond) // the target notices the withdrawal, and crashes all the same
		_ = server.Close()
		panic(http.ErrAbortHandler)
	})
	x.Suspicion = evidence
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	_, prob := x.Run(ctx, request)
	<-withdrawn
	assert.Assert(t, prob != nil)
	assert.Equal(t, prob.Status, http.StatusUnprocessableEntity, "%v", prob)
	assert.Equal(t, evidence.table.CrashCount(request.Fingerprint(), time.Now()), 2)
}

// Guards against convicting a request because its attempt was withdrawn: the target lives.
func TestWithdrawalAloneIsNoCrash(t *testing.T) {
	evidence := &sharedEvidence{table: suspect.NewTable("self")}
	request := singleStageRequest(3)
	x := newTestExecutor(t, func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		evidence.reportPeerCrash(request.Fingerprint())
		<-r.Context().Done()
	})
	x.Suspicion = evidence
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	_, prob := x.Run(ctx, request) // waits for the owner until the deadline
	assert.Assert(t, prob != nil)
	assert.Equal(t, evidence.table.CrashCount(request.Fingerprint(), time.Now()), 1)
}
