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

// entry is the claims of one entry process.
func entry(t *testing.T, store *memory.Store) *Claims {
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

func limited(t *testing.T, limit time.Duration) context.Context {
	ctx, cancel := context.WithTimeout(t.Context(), limit)
	t.Cleanup(cancel)
	return ctx
}

// A caller whose connection broke asks two other entry VMs at once for the
// same alert. One request may be sent to a target; the others get its answer,
// all of it.
func TestOneOfManyClaimsAndTheOthersGetItsAnswer(t *testing.T) {
	store := memory.New()
	ctx := limited(t, 20*time.Second)
	body := bytes.Repeat([]byte("gate 3 is open. "), 4096) // larger than a row takes
	var sent, replayed int
	var mu sync.Mutex
	var all sync.WaitGroup
	for i := range 6 {
		claims := entry(t, store)
		all.Go(func() {
			id := fmt.Sprintf("r%d", i)
			out := claims.ClaimOrWait(ctx, request("k", id, id), allLive)
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

// The store writes the claim and its answer is lost. The request must still
// run, for nobody else will run it: the row under its own identity says that
// the claim is its own.
func TestLostAnswerOfTheClaimIsFoundByItsIdentity(t *testing.T) {
	store := memory.New()
	loseFirstWrite(store, memory.LostAnswer)
	out := entry(t, store).Claim(limited(t, 20*time.Second), request("k", "r1", "i1"), false)
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

// The store is down from before the claim to after the caller gave up. Nothing
// was sent, and once the store is back the same key can be used.
func TestOutageBeforeTheClaimIsNotRun(t *testing.T) {
	store := memory.New()
	claims := entry(t, store)
	store.SetFaults(func(memory.Call) memory.Fault { return memory.NotRun })
	assert.Equal(t, claims.Claim(limited(t, 20*time.Second), request("k", "r1", "i1"), false).Result, NotRun)
	store.SetFaults(nil)
	assert.Equal(t, claims.Claim(limited(t, 20*time.Second), request("k", "r2", "i1"), false).Result, Claimed)
}

// The claim takes effect and no answer comes until the caller's time is over.
// Nothing was sent, so the claim is given up once the store answers again:
// otherwise the caller's key would be refused for good.
func TestClaimThatWasNeverUsedIsGivenUp(t *testing.T) {
	store := memory.New()
	claims := entry(t, store)
	store.SetFaults(func(memory.Call) memory.Fault { return memory.LostAnswer })
	out := claims.Claim(limited(t, 100*time.Millisecond), request("k", "r1", "i1"), false)
	assert.Equal(t, out.Result, Unknown)
	store.SetFaults(nil)
	again := claims.ClaimOrWait(limited(t, 20*time.Second), request("k", "r2", "i2"), allLive)
	assert.Equal(t, again.Result, Claimed)
	assert.Assert(t, again.Grant.Token > 1)
}

// The store hangs: it takes a transaction and gives no answer, so the claims
// behind it wait in the queue until their callers' time is over. They were never
// sent, and saying "unknown" would keep their callers from trying again.
func TestClaimThatWaitsBehindAHangingStoreIsNotRun(t *testing.T) {
	store := &hanging{Store: memory.New(), entered: make(chan struct{}, inFlight), leave: make(chan struct{})}
	claims := New(store, store.Objects())
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); claims.Run(ctx) }()
	defer func() { cancel(); <-done }()
	defer close(store.leave)
	patient := limited(t, 20*time.Second)
	for i := range inFlight {
		go claims.Claim(patient, request(fmt.Sprint(i), fmt.Sprint(i), "i1"), false)
		<-store.entered
	}
	behind := claims.Claim(limited(t, 50*time.Millisecond), request("behind", "r", "i1"), false)
	assert.Equal(t, behind.Result, NotRun)
}

// hanging is a store whose writes wait until leave is closed.
type hanging struct {
	*memory.Store
	entered chan struct{}
	leave   chan struct{}
}

func (h *hanging) Commit(ctx context.Context, writes []backing.Write) ([]backing.Conflict, error) {
	select {
	case h.entered <- struct{}{}:
	default:
	}
	<-h.leave
	return h.Store.Commit(ctx, writes)
}

// A claim is released and the answer is lost, so the release is written again
// after another request has taken the claim. It must not free the claim of the
// new holder, or a third request would run beside it.
func TestLateReleaseDoesNotFreeTheNextHoldersClaim(t *testing.T) {
	store := memory.New()
	claims := entry(t, store)
	ctx := limited(t, 20*time.Second)
	first := claims.Claim(ctx, request("k", "r1", "i1"), false)
	assert.Equal(t, claims.Release(ctx, first.Grant), Recorded)
	second := claims.Claim(ctx, request("k", "r2", "i2"), false)
	assert.Equal(t, second.Result, Claimed)
	assert.Equal(t, claims.Release(ctx, first.Grant), Superseded)
	assert.Equal(t, claims.Claim(ctx, request("k", "r3", "i3"), false).Result, Taken)
	assert.Equal(t, claims.Finish(ctx, first.Grant, Answer{Status: 200}), Superseded)
}

func TestSameKeyWithOtherContentIsAMismatch(t *testing.T) {
	store := memory.New()
	claims := entry(t, store)
	ctx := limited(t, 20*time.Second)
	claims.Claim(ctx, request("k", "r1", "i1"), false)
	other := request("k", "r2", "i1")
	other.Fingerprint = FingerprintOf("POST", "/alerts", []byte("close gate 3"))
	assert.Equal(t, claims.Claim(ctx, other, false).Result, Mismatch)
}

// Hundreds of callers claim at once while one of them uses a key that is taken.
// The store takes a few hundred writes a second, so the claims must share
// transactions, and the taken key must not fail the others of its transaction.
func TestClaimsShareTransactions(t *testing.T) {
	store := memory.New()
	claims := entry(t, store)
	ctx := limited(t, 20*time.Second)
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

// An object that was cut short or replaced must not pass as the answer.
func TestRecordedBodyIsChecked(t *testing.T) {
	store := memory.New()
	claims := entry(t, store)
	ctx := limited(t, 20*time.Second)
	out := claims.Claim(ctx, request("k", "r1", "i1"), false)
	claims.Finish(ctx, out.Grant, Answer{Status: 200, Body: make([]byte, inlineBytes+1)})
	assert.NilError(t, store.Objects().Put(ctx, objectName(out.Grant), make([]byte, inlineBytes)))
	again := claims.Claim(ctx, request("k", "r2", "i2"), false)
	assert.Assert(t, again.Finished && again.Answer == nil)
	assert.ErrorIs(t, again.Err, errBody)
}

func TestVersionsOfRows(t *testing.T) {
	assert.Equal(t, backing.NextVersion(backing.Write{If: backing.IfVersion, Version: 4}), uint64(5))
	assert.Equal(t, backing.NextVersion(backing.Write{If: backing.IfAbsent, Row: backing.Row{Version: 9}}), uint64(1))
}

func allLive(peer.Incarnation) bool { return true }

// The holder of a claim died before it recorded an outcome. Whoever waits for
// the outcome would wait until its own deadline for nothing.
func TestOutcomeOfADeadHolderIsNotWaitedFor(t *testing.T) {
	claims := entry(t, memory.New())
	ctx := limited(t, 20*time.Second)
	first := claims.Claim(ctx, request("k", "r1", "i1"), false)
	assert.Equal(t, first.Result, Claimed)
	began := time.Now()
	second := claims.ClaimOrWait(ctx, request("k", "r2", "i2"), func(peer.Incarnation) bool { return false })
	assert.Equal(t, second.Result, Taken)
	assert.Assert(t, !second.Finished)
	assert.Assert(t, time.Since(began) < 10*time.Second)
}
