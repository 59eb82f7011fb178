package claim

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"

	"github.com/vanillagate/vanillagate/internal/backing"
	"github.com/vanillagate/vanillagate/internal/wait"
)

// FinishResult is the result of recording an outcome or of a release.
type FinishResult int

// The results of Finish and Release.
const (
	// Recorded: the outcome or release is stored in the claim's row.
	Recorded FinishResult = iota + 1
	// Superseded: another holder has the claim.
	Superseded
	// Unrecorded: the store gave no answer before the deadline. The row may
	// have been written.
	Unrecorded
)

// maxInlineBytes is the largest body that is stored in the claim's own row. A
// full batch of such rows stays far below the store's limit of 4 MB per
// transaction.
const maxInlineBytes = 8 << 10

// Finish records the outcome of a request that ran, retrying until the
// context's deadline. Once recorded, it is returned to callers that repeat the
// request.
func (c *Claims) Finish(ctx context.Context, grant Grant, got Answer) FinishResult {
	recorded := newRecordedAnswer(grant, got)
	if recorded.Object != "" && !c.putObject(ctx, recorded.Object, got.Body) {
		return Unrecorded
	}
	row := heldRow(grant.Request)
	row.State = Finished
	row.Outcome = &recorded
	return c.settle(ctx, grant, row)
}

// FinishAsync is Finish in the background, with retries for up to
// backgroundTimeout. If the answer must not wait for the store, call it before
// answering the caller.
func (c *Claims) FinishAsync(grant Grant, got Answer) {
	c.background.start(len(got.Body), func(ctx context.Context) { c.Finish(ctx, grant, got) })
}

// Release gives up a claim whose request certainly did not run, so that the
// caller may retry under the same key. The grant must not be used afterwards.
// The row is kept because its version must keep growing: a row that was deleted
// and inserted again would start with the first token again, and a late write
// of an earlier holder would be accepted as the new holder's.
func (c *Claims) Release(ctx context.Context, grant Grant) FinishResult {
	row := heldRow(grant.Request)
	row.State = Released
	return c.settle(ctx, grant, row)
}

// ReleaseAsync is Release in the background.
func (c *Claims) ReleaseAsync(grant Grant) {
	c.background.start(0, func(ctx context.Context) { c.Release(ctx, grant) })
}

// settle replaces the row under the grant's token. After a lost answer the same
// write is sent again; if it then finds its own row, the lost write took
// effect.
func (c *Claims) settle(ctx context.Context, grant Grant, row Row) FinishResult {
	write := settleWrite(grant, row)
	for pause := retryMin; ; pause = min(2*pause, backgroundRetryMax) {
		result := c.batches.write(ctx, write)
		if result.err == nil {
			return settleResult(result, grant, row.State)
		}
		if !wait.Jittered(ctx, pause) {
			return Unrecorded
		}
	}
}

func settleWrite(grant Grant, row Row) backing.Write {
	return backing.Write{
		Row:     backing.Row{Key: grant.rowKey(), Body: encodeRow(row)},
		If:      backing.IfVersion,
		Version: uint64(grant.Token),
	}
}

func settleResult(result writeResult, grant Grant, state State) FinishResult {
	if result.applied {
		return Recorded
	}
	return compareFound(result.found, grant, state)
}

func compareFound(found *backing.Row, grant Grant, state State) FinishResult {
	if found == nil || found.Version != uint64(grant.Token)+1 {
		return Superseded
	}
	row, err := decodeRow(found)
	if err != nil || row.Holder != grant.holder() || row.State != state {
		return Superseded
	}
	return Recorded
}

// giveUp makes sure that a claim whose write was not confirmed does not stay in
// force. Reading that there is no row is not enough, since the lost write may
// take effect later: the row on which it is conditioned has to change. A row
// that another request holds is not changed, because that would invalidate its
// holder's token. Lost writes are never conditioned on a held row unless claims
// are taken over, and then the next request takes the unused claim over as
// well.
func (c *Claims) giveUp(ctx context.Context, req Request) {
	write := giveUpWrite(req)
	for pause := retryMin; ; pause = min(2*pause, backgroundRetryMax) {
		var done bool
		if write, done = nextGiveUpWrite(c.batches.write(ctx, write), write, req); done {
			return
		}
		if !wait.Jittered(ctx, pause) {
			return
		}
	}
}

func giveUpWrite(req Request) backing.Write {
	row := heldRow(req)
	row.State = Released
	return backing.Write{Row: backing.Row{Key: req.rowKey(), Body: encodeRow(row)}, If: backing.IfAbsent}
}

// nextGiveUpWrite returns whether the claim is given up, or else the next write
// to make.
func nextGiveUpWrite(result writeResult, write backing.Write, req Request) (next backing.Write, done bool) {
	if result.applied {
		return write, true
	}
	if result.found == nil {
		return write, false
	}
	found, err := decodeRow(result.found)
	if err != nil || !mustReplace(found, req) {
		return write, true
	}
	write.If, write.Version = backing.IfVersion, result.found.Version
	return write, false
}

// mustReplace returns whether a lost write of the request's claim is in the
// store or may still replace the row found.
func mustReplace(found Row, req Request) bool {
	own := found.Holder == req.holder()
	return (own && found.State == Held) || (!own && found.State == Released)
}

func newRecordedAnswer(grant Grant, got Answer) RecordedAnswer {
	recorded := RecordedAnswer{
		Status: got.Status, ContentType: got.ContentType, Unframed: got.Unframed, Size: len(got.Body), Sum: hexSHA256(got.Body),
	}
	if len(got.Body) <= maxInlineBytes {
		recorded.Body = got.Body
	} else {
		recorded.Object = objectName(grant)
	}
	return recorded
}

// objectName is different for each holder of a claim, so that an earlier holder
// can't replace the body of the current one.
func objectName(grant Grant) string {
	return fmt.Sprintf("outcome/%s/%s/%s", grant.Customer, hexSHA256([]byte(grant.IdempotencyKey)), grant.Token)
}

func hexSHA256(body []byte) string {
	sum := sha256.Sum256(body)
	return hex.EncodeToString(sum[:])
}

func (c *Claims) putObject(ctx context.Context, name string, body []byte) bool {
	for pause := retryMin; ; pause = min(2*pause, backgroundRetryMax) {
		if c.objects.Put(ctx, name, body) == nil {
			return true
		}
		if !wait.Jittered(ctx, pause) {
			return false
		}
	}
}

var errBodyMismatch = errors.New("claim: recorded body is missing or does not match its size and checksum")

// loadAnswer reads a recorded answer and checks that its body is complete.
func loadAnswer(ctx context.Context, objects backing.ObjectStore, recorded *RecordedAnswer) (*Answer, error) {
	if recorded == nil {
		return nil, errBodyMismatch
	}
	got := &Answer{Status: recorded.Status, ContentType: recorded.ContentType, Body: recorded.Body, Unframed: recorded.Unframed}
	if recorded.Object != "" {
		body, err := objects.Get(ctx, recorded.Object)
		if err != nil {
			return nil, err
		}
		got.Body = body
	}
	if len(got.Body) != recorded.Size || hexSHA256(got.Body) != recorded.Sum {
		return nil, errBodyMismatch
	}
	return got, nil
}
