package claim

import (
	"context"
	"errors"
	"time"

	"github.com/vanillagate/vanillagate/internal/backing"
	"github.com/vanillagate/vanillagate/internal/peer"
	"github.com/vanillagate/vanillagate/internal/wait"
)

// Result is the result of a claim.
type Result int

// The results.
const (
	// Claimed: Outcome.Grant permits sending the request once.
	Claimed Result = iota + 1
	// Taken: another request, Outcome.Holder, has the claim. If
	// Outcome.Finished is set, that request ran and Outcome.Answer is its
	// answer (nil, with Err set, if the recorded answer can't be read).
	Taken
	// Mismatch: the customer used this idempotency key for a different request.
	Mismatch
	// NotRun: the claim was certainly not written and this request was not
	// sent. Whether an earlier request under the key ran is not known.
	NotRun
	// Unknown: the claim may or may not have been written. This request was not
	// sent.
	Unknown
)

// Outcome is the outcome of a Claim call. Result determines which fields are
// set.
type Outcome struct {
	Result   Result
	Grant    Grant
	Holder   Holder
	Finished bool
	Answer   *Answer
	Err      error
}

const (
	retryMin = 5 * time.Millisecond
	retryMax = 200 * time.Millisecond
	// backgroundRetryMax is the longest pause between retries in the
	// background, where no caller waits.
	backgroundRetryMax = 2 * time.Second
	maxRefusals        = 2
	pollPeriod         = 100 * time.Millisecond
	// pollsPerClaim is the number of reads between two attempts to claim.
	pollsPerClaim = 20
)

// Claims creates and finishes the claims of one entry process.
type Claims struct {
	table      backing.Table
	objects    backing.ObjectStore
	batches    *batcher
	silence    *silenceDetector
	background *backgroundJobs
}

// New returns a Claims whose methods work only while Run is running.
func New(table backing.Table, objects backing.ObjectStore) *Claims {
	return &Claims{
		table:      table,
		objects:    objects,
		batches:    newBatcher(table),
		silence:    newSilenceDetector(time.Now),
		background: newBackgroundJobs(),
	}
}

// Run sends the batched writes until the context ends.
func (c *Claims) Run(ctx context.Context) { c.batches.run(ctx) }

// Claim asks for permission to send a request, until the context's deadline.
// takeOverAllowed is as in Facts. If the result is Unknown, the claim is
// released in the background: it may have been written, and an unused claim
// would block its key forever.
func (c *Claims) Claim(ctx context.Context, req Request, takeOverAllowed bool) Outcome {
	out := c.claim(ctx, req, takeOverAllowed)
	if out.Result == Unknown {
		c.background.start(0, func(ctx context.Context) { c.giveUp(ctx, req) })
	}
	return out
}

func (c *Claims) claim(ctx context.Context, req Request, takeOverAllowed bool) Outcome {
	first := backing.Write{
		Row: backing.Row{Key: req.rowKey(), Body: encodeRow(heldRow(req))},
		If:  backing.IfAbsent,
	}
	call := &claimCall{Claims: c, req: req, takeOverAllowed: takeOverAllowed, write: first}
	for pause := retryMin; ; pause = min(2*pause, retryMax) {
		out, again := call.attempt(ctx)
		if !again {
			return out
		}
		if !wait.Jittered(ctx, pause) {
			return call.outcomeWithoutAnswer()
		}
	}
}

func heldRow(req Request) Row {
	return Row{Holder: req.holder(), Fingerprint: req.Fingerprint, State: Held}
}

// claimCall is the state of one Claim call.
type claimCall struct {
	*Claims
	req             Request
	takeOverAllowed bool
	write           backing.Write
	// mayExist is set once the answer to one of our writes was lost.
	mayExist bool
	refusals int
	lastErr  error
}

// attempt tries once to write the claim's row.
func (c *claimCall) attempt(ctx context.Context) (out Outcome, again bool) {
	return c.handleResult(ctx, c.batches.write(ctx, c.write))
}

// handleResult evaluates the result of a write. After a lost answer the same
// write is sent again: if the lost one took effect, its condition fails and the
// row found is our own.
func (c *claimCall) handleResult(ctx context.Context, result writeResult) (out Outcome, again bool) {
	switch {
	case result.err != nil:
		return c.handleError(result.err)
	case result.applied:
		return c.granted(backing.NextVersion(c.write)), false
	case result.found == nil:
		// The row to be replaced is gone, or the store did not return it: start
		// again with the insertion.
		c.write = backing.Write{Row: c.write.Row, If: backing.IfAbsent}
		return Outcome{}, true
	default:
		return c.handleExisting(ctx, result.found)
	}
}

func (c *claimCall) handleExisting(ctx context.Context, row *backing.Row) (Outcome, bool) {
	found, err := decodeRow(row)
	if err != nil {
		return c.handleError(err)
	}
	facts := Facts{TakeOverAllowed: c.takeOverAllowed, HolderSilent: c.silence.observe(c.req.Identity, row.Version)}
	switch Decide(found, c.req, facts) {
	case Proceed:
		return c.granted(row.Version), false
	case Reclaim, TakeOver:
		c.write = backing.Write{Row: c.write.Row, If: backing.IfVersion, Version: row.Version}
		return Outcome{}, true
	case Replay:
		return c.replay(ctx, found), false
	case Wait:
		return Outcome{Result: Taken, Holder: found.Holder}, false
	default:
		return Outcome{Result: Mismatch, Holder: found.Holder}, false
	}
}

// replay reads the recorded answer. If the store can't return it, the request
// still counts as run, because reporting "not run" would make the caller send
// it again.
func (c *claimCall) replay(ctx context.Context, found Row) Outcome {
	answer, err := loadAnswer(ctx, c.objects, found.Outcome)
	return Outcome{Result: Taken, Holder: found.Holder, Finished: true, Answer: answer, Err: err}
}

func (c *claimCall) granted(version uint64) Outcome {
	return Outcome{Result: Claimed, Grant: Grant{Request: c.req, Token: Token(version)}}
}

func (c *claimCall) handleError(err error) (Outcome, bool) {
	c.lastErr = err
	if !errors.Is(err, backing.ErrNotRun) {
		c.mayExist = true
		return Outcome{}, true
	}
	c.refusals++
	if c.refusals >= maxRefusals {
		return c.outcomeWithoutAnswer(), false
	}
	return Outcome{}, true
}

// outcomeWithoutAnswer is the outcome of a Claim call for which the store gave
// no usable answer.
func (c *claimCall) outcomeWithoutAnswer() Outcome {
	if c.mayExist {
		return Outcome{Result: Unknown, Err: c.lastErr}
	}
	return Outcome{Result: NotRun, Err: c.lastErr}
}

// neverTakeOver: a claim is never taken over from a silent holder. A fencing
// token would stop the holder from sending late, but the request may have run
// before the holder fell silent. A second run under a newer token would then
// pass every check at the target. The correct answer in this case is "unknown".
const neverTakeOver = false

// ClaimOrWait is like Claim, but if another request holds the claim it waits
// for its outcome until the context's deadline, as long as the holder's process
// is alive. A result of Taken without Finished means that the deadline passed
// or that the holder died. In the latter case no outcome will come, so it
// returns at once.
func (c *Claims) ClaimOrWait(ctx context.Context, req Request, isAlive func(peer.Incarnation) bool) Outcome {
	for {
		out := c.Claim(ctx, req, neverTakeOver)
		if out.Result != Taken || out.Finished || !isAlive(out.Holder.Incarnation) {
			return out
		}
		if !c.waitForChange(ctx, req) {
			return out
		}
	}
}

// waitForChange polls with reads, which are cheaper than claims. It returns
// true when the claim is no longer held, or after pollsPerClaim reads so that
// the next Claim call can notice a silent holder.
func (c *Claims) waitForChange(ctx context.Context, req Request) bool {
	for range pollsPerClaim {
		if !wait.Jittered(ctx, pollPeriod) {
			return false
		}
		row, err := c.table.Get(ctx, req.rowKey())
		if err != nil || row == nil {
			continue
		}
		if found, err := decodeRow(row); err == nil && found.State != Held {
			return true
		}
	}
	return true
}
