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

// FinishResult says what became of recording an outcome, or of a release.
type FinishResult int

// The results of Finish and Release.
const (
	// Recorded: it stands in the claim's row.
	Recorded FinishResult = iota + 1
	// Superseded: another holder has the claim by now.
	Superseded
	// Unrecorded: the store gave no answer before the deadline. It may stand.
	Unrecorded
)

// inlineBytes is the largest body that stands in the claim's own row. A full
// batch of such rows stays far below the store's bound of 4 MB.
const inlineBytes = 8 << 10

// Finish records the outcome of a request that ran, until the context's
// deadline. A caller that asks again gets it once it is recorded.
func (c *Claims) Finish(ctx context.Context, grant Grant, got Answer) FinishResult {
	recorded := record(grant, got)
	if recorded.Object != "" && !c.putObject(ctx, recorded.Object, got.Body) {
		return Unrecorded
	}
	row := heldBy(grant.Request)
	row.State = Finished
	row.Outcome = &recorded
	return c.settle(ctx, grant, row)
}

// FinishAsync is Finish in the background, for as long as the store may be
// down. Call it before the caller is answered where the answer must not wait
// for the store.
func (c *Claims) FinishAsync(grant Grant, got Answer) {
	c.later.do(len(got.Body), func(ctx context.Context) { c.Finish(ctx, grant, got) })
}

// Release gives up a claim whose request certainly did not run, so that the
// caller may try again under the same key. The grant must not be used
// afterwards. The row stays, because its version must go on growing: a row
// that was deleted and inserted again would start at the first token, and
// a late write of an earlier holder would then pass for the new one's.
func (c *Claims) Release(ctx context.Context, grant Grant) FinishResult {
	row := heldBy(grant.Request)
	row.State = Released
	return c.settle(ctx, grant, row)
}

// ReleaseAsync is Release in the background.
func (c *Claims) ReleaseAsync(grant Grant) {
	c.later.do(0, func(ctx context.Context) { c.Release(ctx, grant) })
}

// settle replaces the row under the grant's token. After a lost answer the
// same write is made again; that it finds its own row means that the lost one
// took effect.
func (c *Claims) settle(ctx context.Context, grant Grant, row Row) FinishResult {
	write := settling(grant, row)
	for pause := retryMin; ; pause = min(2*pause, laterMax) {
		result := c.batches.write(ctx, write)
		if result.err == nil {
			return settled(result, grant, row.State)
		}
		if !wait.Jittered(ctx, pause) {
			return Unrecorded
		}
	}
}

func settling(grant Grant, row Row) backing.Write {
	return backing.Write{
		Row:     backing.Row{Key: grant.rowKey(), Body: encodeRow(row)},
		If:      backing.IfVersion,
		Version: uint64(grant.Token),
	}
}

func settled(result placed, grant Grant, state State) FinishResult {
	if result.done {
		return Recorded
	}
	return settledBy(result.found, grant, state)
}

func settledBy(found *backing.Row, grant Grant, state State) FinishResult {
	if found == nil || found.Version != uint64(grant.Token)+1 {
		return Superseded
	}
	row, err := decodeRow(found)
	if err != nil || row.Holder != grant.holder() || row.State != state {
		return Superseded
	}
	return Recorded
}

// giveUp makes sure that a claim whose placing was lost does not come to
// stand. Reading that there is none is not enough, since the lost write may
// take effect later: the row that it is conditioned on has to change. Only a
// row that another holds is left alone, since changing it would invalidate its
// holder's token; no lost write is conditioned on it unless claims are taken
// over, and then the next one takes over from a claim that nobody uses.
func (c *Claims) giveUp(ctx context.Context, req Request) {
	write := givingUp(req)
	for pause := retryMin; ; pause = min(2*pause, laterMax) {
		var done bool
		if write, done = gaveUp(c.batches.write(ctx, write), write, req); done {
			return
		}
		if !wait.Jittered(ctx, pause) {
			return
		}
	}
}

func givingUp(req Request) backing.Write {
	row := heldBy(req)
	row.State = Released
	return backing.Write{Row: backing.Row{Key: req.rowKey(), Body: encodeRow(row)}, If: backing.IfAbsent}
}

// gaveUp says whether that is done, or the write to make next.
func gaveUp(result placed, write backing.Write, req Request) (next backing.Write, done bool) {
	if result.done {
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

// mustReplace says whether a lost write of the request's claim stands, or may
// yet take the place of the row found.
func mustReplace(found Row, req Request) bool {
	own := found.Holder == req.holder()
	return (own && found.State == Held) || (!own && found.State == Released)
}

func record(grant Grant, got Answer) RecordedAnswer {
	recorded := RecordedAnswer{Status: got.Status, ContentType: got.ContentType, Size: len(got.Body), Sum: sumOf(got.Body)}
	if len(got.Body) <= inlineBytes {
		recorded.Body = got.Body
	} else {
		recorded.Object = objectName(grant)
	}
	return recorded
}

// objectName differs for each holder of a claim, so that one that has lost it
// can't replace the body of the one that has it.
func objectName(grant Grant) string {
	return fmt.Sprintf("outcome/%s/%s/%s", grant.Customer, sumOf([]byte(grant.IdempotencyKey)), grant.Token)
}

func sumOf(body []byte) string {
	sum := sha256.Sum256(body)
	return hex.EncodeToString(sum[:])
}

func (c *Claims) putObject(ctx context.Context, name string, body []byte) bool {
	for pause := retryMin; ; pause = min(2*pause, laterMax) {
		if c.objects.Put(ctx, name, body) == nil {
			return true
		}
		if !wait.Jittered(ctx, pause) {
			return false
		}
	}
}

var errBody = errors.New("claim: the recorded body is not the one that was recorded")

// load reads a recorded answer whole.
func load(ctx context.Context, objects backing.ObjectStore, recorded *RecordedAnswer) (*Answer, error) {
	if recorded == nil {
		return nil, errBody
	}
	got := &Answer{Status: recorded.Status, ContentType: recorded.ContentType, Body: recorded.Body}
	if recorded.Object != "" {
		body, err := objects.Get(ctx, recorded.Object)
		if err != nil {
			return nil, err
		}
		got.Body = body
	}
	if len(got.Body) != recorded.Size || sumOf(got.Body) != recorded.Sum {
		return nil, errBody
	}
	return got, nil
}
