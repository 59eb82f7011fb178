package claim

import (
	"context"
	"errors"
	"time"

	"github.com/vanillagate/vanillagate/internal/backing"
	"github.com/vanillagate/vanillagate/internal/peer"
	"github.com/vanillagate/vanillagate/internal/wait"
)

// Result says what became of a claim.
type Result int

// The results.
const (
	// Claimed: Outcome.Grant is the right to send the request once.
	Claimed Result = iota + 1
	// Taken: another holds the claim, Outcome.Holder. Where Outcome.Finished is
	// set the request ran, and Outcome.Answer is what it got (nil, with Err,
	// where the store that keeps it can't be read).
	Taken
	// Mismatch: the key belongs to another request of this customer.
	Mismatch
	// NotRun: the store certainly refused the claim, and this request was not
	// sent. What an earlier request under the key did is not known.
	NotRun
	// Unknown: the claim may stand or not. This request was not sent.
	Unknown
)

// Outcome is the answer to a Claim. Which fields are set depends on Result.
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
	// laterMax is the longest pause between tries that no caller waits for.
	laterMax   = 2 * time.Second
	maxRefused = 2
	pollPeriod = 100 * time.Millisecond
	// pollsPerClaim reads stand between two tries to claim.
	pollsPerClaim = 20
)

// Claims makes and finishes the claims of one entry process.
type Claims struct {
	table   backing.Table
	objects backing.ObjectStore
	batches *batcher
	silence *silence
	later   *later
}

// New builds Claims; Run must run for them to work.
func New(table backing.Table, objects backing.ObjectStore) *Claims {
	return &Claims{
		table:   table,
		objects: objects,
		batches: newBatcher(table),
		silence: newSilence(time.Now),
		later:   newLater(),
	}
}

// Run sends the batches until the context ends.
func (c *Claims) Run(ctx context.Context) { c.batches.run(ctx) }

// Claim asks for the right to send a request. takeOverAllowed is as in Facts.
// It returns by the context's deadline. A claim that may stand though it was
// given up would block its key for good, so it is freed in the background.
func (c *Claims) Claim(ctx context.Context, req Request, takeOverAllowed bool) Outcome {
	out := c.claim(ctx, req, takeOverAllowed)
	if out.Result == Unknown {
		c.later.do(0, func(ctx context.Context) { c.giveUp(ctx, req) })
	}
	return out
}

func (c *Claims) claim(ctx context.Context, req Request, takeOverAllowed bool) Outcome {
	first := backing.Write{
		Row: backing.Row{Key: req.rowKey(), Body: encodeRow(heldBy(req))},
		If:  backing.IfAbsent,
	}
	try := &claiming{Claims: c, req: req, takeOverAllowed: takeOverAllowed, write: first}
	for pause := retryMin; ; pause = min(2*pause, retryMax) {
		out, again := try.attempt(ctx)
		if !again {
			return out
		}
		if !wait.Jittered(ctx, pause) {
			return try.gaveUp()
		}
	}
}

func heldBy(req Request) Row {
	return Row{Holder: req.holder(), Fingerprint: req.Fingerprint, State: Held}
}

// claiming is one Claim call.
type claiming struct {
	*Claims
	req             Request
	takeOverAllowed bool
	write           backing.Write
	// mayStand says that the answer to a write of ours was lost.
	mayStand bool
	refused  int
	lastErr  error
}

// attempt places the claim's row.
func (c *claiming) attempt(ctx context.Context) (out Outcome, again bool) {
	return c.take(ctx, c.batches.write(ctx, c.write))
}

// take goes by what became of a write. After a lost answer the same write is
// made again: its condition fails where the lost one took effect, and the row
// that is then found is our own.
func (c *claiming) take(ctx context.Context, result placed) (out Outcome, again bool) {
	switch {
	case result.err != nil:
		return c.failed(result.err)
	case result.done:
		return c.granted(backing.NextVersion(c.write)), false
	case result.found == nil:
		// The row that we wanted to replace is gone, or the store did not say
		// what stands there: begin again with the insertion.
		c.write = backing.Write{Row: c.write.Row, If: backing.IfAbsent}
		return Outcome{}, true
	default:
		return c.decide(ctx, result.found)
	}
}

func (c *claiming) decide(ctx context.Context, row *backing.Row) (Outcome, bool) {
	found, err := decodeRow(row)
	if err != nil {
		return c.failed(err)
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

// replay reads the recorded answer. A store that can't give it leaves the
// request "ran": saying that it did not run would have it sent again.
func (c *claiming) replay(ctx context.Context, found Row) Outcome {
	answer, err := load(ctx, c.objects, found.Outcome)
	return Outcome{Result: Taken, Holder: found.Holder, Finished: true, Answer: answer, Err: err}
}

func (c *claiming) granted(version uint64) Outcome {
	return Outcome{Result: Claimed, Grant: Grant{Request: c.req, Token: Token(version)}}
}

func (c *claiming) failed(err error) (Outcome, bool) {
	c.lastErr = err
	if !errors.Is(err, backing.ErrNotRun) {
		c.mayStand = true
		return Outcome{}, true
	}
	c.refused++
	if c.refused >= maxRefused {
		return c.gaveUp(), false
	}
	return Outcome{}, true
}

// gaveUp ends a Claim without an answer of the store.
func (c *claiming) gaveUp() Outcome {
	if c.mayStand {
		return Outcome{Result: Unknown, Err: c.lastErr}
	}
	return Outcome{Result: NotRun, Err: c.lastErr}
}

// neverTakeOver: a claim is never taken from a silent holder. A fencing token
// would stop the holder from sending late, but it may have had the request run
// before it fell silent, and then a second run under a newer token passes every
// check of the target. "Unknown" is the truth here.
const neverTakeOver = false

// ClaimOrWait is Claim, and where another request holds the claim it waits for
// that one's outcome until the context's deadline, as long as the holder lives.
// Taken without Finished then means that the deadline came first, or that the
// holder died: its outcome won't come, and who waits is told so at once.
func (c *Claims) ClaimOrWait(ctx context.Context, req Request, lives func(peer.Incarnation) bool) Outcome {
	for {
		out := c.Claim(ctx, req, neverTakeOver)
		if out.Result != Taken || out.Finished || !lives(out.Holder.Incarnation) {
			return out
		}
		if !c.waitForChange(ctx, req) {
			return out
		}
	}
}

// waitForChange polls with plain reads, which are cheaper than claims. It ends
// when the claim is no longer held, or by itself after a while so that
// a holder's silence is noticed.
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
