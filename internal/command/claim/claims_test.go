package claim

import (
	"bytes"
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/vanillagate/vanillagate/internal/backing"
	"github.com/vanillagate/vanillagate/internal/backing/memory"
	"github.com/vanillagate/vanillagate/internal/peer"
)

// startClaims runs the Claims of one entry process until the test ends.
func startClaims(t *testing.T, store *memory.Store) *Claims {
	claims := New(store, store.Objects())
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); claims.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-done })
	return claims
}

func request(key, id, incarnation string) Request {
	return Request{
		Identity:    Identity{Customer: "granite", IdempotencyKey: key},
		RequestID:   id,
		Incarnation: peer.Incarnation(incarnation),
		Fingerprint: FingerprintOf("POST", "/alerts", []byte("open gate 3")),
	}
}

func withTimeout(t *testing.T, limit time.Duration) context.Context {
	ctx, cancel := context.WithTimeout(t.Context(), limit)
	t.Cleanup(cancel)
	return ctx
}

// A caller whose connection broke repeats the same request at several entry VMs
// at once. Only one of them may send it to a target; the others get its
// complete answer.
func TestConcurrentRequestsRunOnceAndShareTheAnswer(t *testing.T) {
	store := memory.New()
	ctx := withTimeout(t, 20*time.Second)
	body := bytes.Repeat([]byte("gate 3 is open. "), 4096) // larger than maxInlineBytes
	var sent, replayed int
	var mu sync.Mutex
	var all sync.WaitGroup
	for i := range 6 {
		claims := startClaims(t, store)
		all.Go(func() {
			id := fmt.Sprintf("r%d", i)
			out := claims.ClaimOrWait(ctx, request("k", id, id), alwaysAlive)
			mu.Lock()
			defer mu.Unlock()
			if out.Result == Claimed {
				sent++
				claims.FinishAsync(out.Grant, Answer{Status: 201, ContentType: "text/plain", Body: body})
				return
			}
			assert.Check(t, out.Result == Taken && out.Finished && out.Err == nil)
			assert.Check(t, out.Answer.Status == 201 && bytes.Equal(out.Answer.Body, body))
			replayed++
		})
	}
	all.Wait()
	assert.Equal(t, sent, 1)
	assert.Equal(t, replayed, 5)
}

// The store writes the claim but its answer is lost. The request must still
// run, because no other request will run it: the row found on the retry carries
// its own identity.
func TestClaimWithLostAnswerIsRecognizedAsOwn(t *testing.T) {
	store := memory.New()
	loseFirstWrite(store, memory.LostAnswer)
	out := startClaims(t, store).Claim(withTimeout(t, 20*time.Second), request("k", "r1", "i1"), false)
	assert.Equal(t, out.Result, Claimed)
	assert.Equal(t, out.Grant.Token, Token(1))
}

func loseFirstWrite(store *memory.Store, fault memory.Fault) {
	lost := false
	store.SetFaults(func(call memory.Call) memory.Fault {
		if !call.Write || lost {
			return memory.None
		}
		lost = true
		return fault
	})
}

// The store is down from before the claim until the caller gives up. Nothing
// was sent, and the key can be used once the store is back.
func TestClaimDuringStoreOutageIsNotRun(t *testing.T) {
	store := memory.New()
	claims := startClaims(t, store)
	store.SetFaults(func(memory.Call) memory.Fault { return memory.NotRun })
	assert.Equal(t, claims.Claim(withTimeout(t, 20*time.Second), request("k", "r1", "i1"), false).Result, NotRun)
	store.SetFaults(nil)
	assert.Equal(t, claims.Claim(withTimeout(t, 20*time.Second), request("k", "r2", "i1"), false).Result, Claimed)
}

// The claim is written but no answer arrives before the caller's deadline.
// Nothing was sent, so the claim must be released once the store answers again,
// or the caller's key would be refused forever.
func TestUnusedClaimIsReleased(t *testing.T) {
	store := memory.New()
	claims := startClaims(t, store)
	store.SetFaults(func(memory.Call) memory.Fault { return memory.LostAnswer })
	out := claims.Claim(withTimeout(t, 100*time.Millisecond), request("k", "r1", "i1"), false)
	assert.Equal(t, out.Result, Unknown)
	store.SetFaults(nil)
	again := claims.ClaimOrWait(withTimeout(t, 20*time.Second), request("k", "r2", "i2"), alwaysAlive)
	assert.Equal(t, again.Result, Claimed)
	assert.Assert(t, again.Grant.Token > 1)
}

// The store accepts a transaction and never answers, so later claims wait in
// the queue until their callers' deadlines. They were certainly not sent; the
// result "unknown" would keep their callers from retrying.
func TestQueuedClaimBehindHangingStoreIsNotRun(t *testing.T) {
	store := &hangingStore{Store: memory.New(), entered: make(chan struct{}, maxTxInFlight), unblock: make(chan struct{})}
	claims := New(store, store.Objects())
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); claims.Run(ctx) }()
	defer func() { cancel(); <-done }()
	defer close(store.unblock)
	patient := withTimeout(t, 20*time.Second)
	for i := range maxTxInFlight {
		go claims.Claim(patient, request(fmt.Sprint(i), fmt.Sprint(i), "i1"), false)
		<-store.entered
	}
	behind := claims.Claim(withTimeout(t, 50*time.Millisecond), request("behind", "r", "i1"), false)
	assert.Equal(t, behind.Result, NotRun)
}

// hangingStore is a store whose writes block until unblock is closed.
type hangingStore struct {
	*memory.Store
	entered chan struct{}
	unblock chan struct{}
}

func (h *hangingStore) Commit(ctx context.Context, writes []backing.Write) ([]backing.Conflict, error) {
	select {
	case h.entered <- struct{}{}:
	default:
	}
	<-h.unblock
	return h.Store.Commit(ctx, writes)
}

// The answer to a release is lost, and the release is repeated after another
// request has taken the claim. It must not release the new holder's claim, or a
// third request could run as well.
func TestRepeatedReleaseDoesNotReleaseNextHoldersClaim(t *testing.T) {
	store := memory.New()
	claims := startClaims(t, store)
	ctx := withTimeout(t, 20*time.Second)
	first := claims.Claim(ctx, request("k", "r1", "i1"), false)
	assert.Equal(t, claims.Release(ctx, first.Grant), Recorded)
	second := claims.Claim(ctx, request("k", "r2", "i2"), false)
	assert.Equal(t, second.Result, Claimed)
	assert.Equal(t, claims.Release(ctx, first.Grant), Superseded)
	assert.Equal(t, claims.Claim(ctx, request("k", "r3", "i3"), false).Result, Taken)
	assert.Equal(t, claims.Finish(ctx, first.Grant, Answer{Status: 200}), Superseded)
}

func TestSameKeyWithDifferentContentIsMismatch(t *testing.T) {
	store := memory.New()
	claims := startClaims(t, store)
	ctx := withTimeout(t, 20*time.Second)
	claims.Claim(ctx, request("k", "r1", "i1"), false)
	other := request("k", "r2", "i1")
	other.Fingerprint = FingerprintOf("POST", "/alerts", []byte("close gate 3"))
	assert.Equal(t, claims.Claim(ctx, other, false).Result, Mismatch)
}

// Hundreds of callers claim at once and one of them uses a key that is already
// claimed. The store handles only a few hundred writes per second, so the
// claims must share transactions, and the failed condition must not fail the
// other claims of its transaction.
func TestClaimsShareTransactions(t *testing.T) {
	store := memory.New()
	claims := startClaims(t, store)
	ctx := withTimeout(t, 20*time.Second)
	claims.Claim(ctx, request("k0", "first", "i0"), false)
	before := store.Commits()
	const callers = 500
	results := make([]Result, callers)
	var all sync.WaitGroup
	for i := range callers {
		all.Go(func() {
			req := request(fmt.Sprintf("k%d", i), fmt.Sprintf("r%d", i), "i1")
			results[i] = claims.Claim(ctx, req, false).Result
		})
	}
	all.Wait()
	assert.Equal(t, results[0], Taken)
	for _, result := range results[1:] {
		assert.Equal(t, result, Claimed)
	}
	commits := store.Commits() - before
	assert.Assert(t, commits < callers/5, "%d commits for %d claims", commits, callers)
}

// A truncated or replaced object must not be returned as the recorded answer.
func TestRecordedBodyChecksum(t *testing.T) {
	store := memory.New()
	claims := startClaims(t, store)
	ctx := withTimeout(t, 20*time.Second)
	out := claims.Claim(ctx, request("k", "r1", "i1"), false)
	claims.Finish(ctx, out.Grant, Answer{Status: 200, Body: make([]byte, maxInlineBytes+1)})
	assert.NilError(t, store.Objects().Put(ctx, objectName(out.Grant), make([]byte, maxInlineBytes)))
	again := claims.Claim(ctx, request("k", "r2", "i2"), false)
	assert.Assert(t, again.Finished && again.Answer == nil)
	assert.ErrorIs(t, again.Err, errBodyMismatch)
}

func TestNextVersion(t *testing.T) {
	assert.Equal(t, backing.NextVersion(backing.Write{If: backing.IfVersion, Version: 4}), uint64(5))
	assert.Equal(t, backing.NextVersion(backing.Write{If: backing.IfAbsent, Row: backing.Row{Version: 9}}), uint64(1))
}

func alwaysAlive(peer.Incarnation) bool { return true }

// The holder of a claim died before it recorded an outcome. A waiting request
// must return at once instead of waiting until its own deadline.
func TestNoWaitForOutcomeOfDeadHolder(t *testing.T) {
	claims := startClaims(t, memory.New())
	ctx := withTimeout(t, 20*time.Second)
	first := claims.Claim(ctx, request("k", "r1", "i1"), false)
	assert.Equal(t, first.Result, Claimed)
	began := time.Now()
	second := claims.ClaimOrWait(ctx, request("k", "r2", "i2"), func(peer.Incarnation) bool { return false })
	assert.Equal(t, second.Result, Taken)
	assert.Assert(t, !second.Finished)
	assert.Assert(t, time.Since(began) < 10*time.Second)
}
