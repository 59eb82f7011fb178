// Package change submits operators' configuration changes to the table service,
// which accepts them one at a time, each under the next revision.
//
// One transaction writes four rows: the head, whose version is the revision of
// the last change; the last change of the item; the change itself; and the
// change's revision by its ID. The head puts the changes in a total order, the
// item's row makes each change a compare-and-set, and the row by ID lets a
// writer whose answer was lost look up whether the change was accepted.
package change

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/vanillagate/vanillagate/internal/backing"
	"github.com/vanillagate/vanillagate/internal/config"
	"github.com/vanillagate/vanillagate/internal/query/changes"
	"github.com/vanillagate/vanillagate/internal/wait"
)

// Request describes one change.
type Request struct {
	// ID identifies the change. A request that is sent again carries the same
	// ID.
	ID      string
	Kind    config.Kind
	Name    string
	Body    json.RawMessage
	Deleted bool
	By      string
	// ExpectedRevision is the revision of the item's last change that the
	// operator has seen; zero for an item that does not exist.
	ExpectedRevision config.Revision `json:"Expect"`
}

// Result is the result of a request.
type Result int

// The results.
const (
	// Accepted means that the change was accepted as Outcome.Revision.
	Accepted Result = iota + 1
	// Conflict means that the item's last change is Outcome.Last and not the
	// expected one. Nothing was written.
	Conflict
	// Invalid means that the request was refused because of
	// Outcome.ValidationErrors.
	Invalid
	// Unavailable means that this submission certainly changed nothing.
	Unavailable
	// Unknown means that the change may have been accepted. Submit it again
	// with the same ID.
	Unknown
)

// Outcome is the outcome of a request. Result determines which fields are set.
type Outcome struct {
	Result           Result
	Revision         config.Revision
	Last             config.LastChange
	ValidationErrors []string
	Err              error
}

// Retry limits of one submission.
const (
	maxAttempts   = 64
	maxRefusals   = 4
	retryPauseMin = 2 * time.Millisecond
	retryPauseMax = 100 * time.Millisecond
)

// Submitter submits changes.
type Submitter struct {
	table   backing.Table
	current func() *config.State
	now     func() time.Time
	wait    func(context.Context, time.Duration) bool
}

// New returns a Submitter. current returns the state in force in this process;
// it only saves reading all changes from the first one on.
func New(table backing.Table, current func() *config.State) *Submitter {
	return &Submitter{table: table, current: current, now: time.Now, wait: wait.Jittered}
}

// Submit submits a change and returns its outcome by the context's deadline.
func (s *Submitter) Submit(ctx context.Context, req Request) Outcome {
	call := &submission{Submitter: s, req: req, state: s.current()}
	pause := retryPauseMin
	for range maxAttempts {
		out, again := call.attempt(ctx)
		if !again {
			return out
		}
		if !s.wait(ctx, pause) {
			break
		}
		pause = min(2*pause, retryPauseMax)
	}
	return call.outcomeWithoutAnswer(context.Cause(ctx))
}

var errTooManyConflicts = errors.New("change: too many conflicts with other changes for the next revision")

// submission is the state of one Submit call.
type submission struct {
	*Submitter
	req   Request
	state *config.State
	// mayBeAccepted is set once the answer to a commit of this submission was
	// lost. From then on "nothing was changed" can't be reported.
	mayBeAccepted bool
	refusals      int
	lastErr       error
}

// attempt tries once. It returns again if it lost a race or got no answer.
func (s *submission) attempt(ctx context.Context) (out Outcome, again bool) {
	item, err := s.readCurrent(ctx)
	if err != nil {
		return s.handleError(err)
	}
	if found := Validate(s.state, s.req); len(found) > 0 {
		return s.refuseUnlessAccepted(ctx, Outcome{Result: Invalid, ValidationErrors: found})
	}
	last, err := lastChange(item)
	if err != nil {
		return s.handleError(err)
	}
	if !matchesExpected(last, s.req.ExpectedRevision) {
		return s.refuseUnlessAccepted(ctx, Outcome{Result: Conflict, Last: last})
	}
	return s.commit(ctx, item)
}

// readCurrent brings the state up to the head on which the commit will be
// conditioned, and reads the item's row. A validation against this state still
// holds when the commit succeeds.
func (s *submission) readCurrent(ctx context.Context) (item *backing.Row, err error) {
	s.state, _, err = changes.CatchUp(ctx, s.table, s.state)
	if err != nil {
		return nil, err
	}
	return s.table.Get(ctx, changes.ItemRowKey(s.req.Kind, s.req.Name))
}

func lastChange(item *backing.Row) (config.LastChange, error) {
	var last config.LastChange
	if item == nil {
		return last, nil
	}
	err := json.Unmarshal(item.Body, &last)
	return last, err
}

// matchesExpected lets an operator recreate a deleted item without knowing that
// it ever existed.
func matchesExpected(last config.LastChange, expect config.Revision) bool {
	return last.Revision == expect || (expect == 0 && last.Deleted)
}

func (s *submission) commit(ctx context.Context, item *backing.Row) (Outcome, bool) {
	revision := s.state.Revision + 1
	writes, err := transactionFor(s.req, revision, item, s.now())
	if err != nil {
		return Outcome{Result: Invalid, ValidationErrors: []string{err.Error()}}, false
	}
	conflicts, err := s.table.Commit(ctx, writes)
	if err != nil {
		s.mayBeAccepted = s.mayBeAccepted || !errors.Is(err, backing.ErrNotRun)
		return s.handleError(err)
	}
	if len(conflicts) == 0 {
		return Outcome{Result: Accepted, Revision: revision}, false
	}
	// The head has moved, through our own change or through another one.
	s.lastErr = errTooManyConflicts
	out, settled, err := s.findAccepted(ctx)
	if err != nil {
		return s.handleError(err)
	}
	return out, !settled
}

// refuseUnlessAccepted returns the refusal unless the change was accepted
// before: an accepted change may be sent again after the item has changed
// further.
//
// A commit whose answer was lost can't take effect after this. It was
// conditioned on the head that its attempt had read; if the head had not moved
// since, this attempt would have read the same state and not refused the
// change.
func (s *submission) refuseUnlessAccepted(ctx context.Context, refusal Outcome) (Outcome, bool) {
	out, settled, err := s.findAccepted(ctx)
	if err != nil {
		return s.handleError(err)
	}
	if settled {
		return out, false
	}
	return refusal, false
}

// findAccepted looks the change up by its ID.
func (s *submission) findAccepted(ctx context.Context) (out Outcome, settled bool, err error) {
	row, err := s.table.Get(ctx, changes.ChangeIDKey(s.req.ID))
	if err != nil || row == nil {
		return Outcome{}, false, err
	}
	var accepted acceptedChange
	if err := json.Unmarshal(row.Body, &accepted); err != nil {
		return Outcome{}, false, err
	}
	if accepted.Fingerprint != fingerprint(s.req) {
		fault := fmt.Sprintf("change id %q: in use by another change, revision %d", s.req.ID, accepted.Revision)
		return Outcome{Result: Invalid, ValidationErrors: []string{fault}}, true, nil
	}
	return Outcome{Result: Accepted, Revision: accepted.Revision}, true, nil
}

// handleError records a failed call of the store. Refused calls are retried a
// few times, since the store also refuses concurrent transactions on the same
// row. Calls without an answer are retried until the deadline.
func (s *submission) handleError(err error) (Outcome, bool) {
	s.lastErr = err
	if errors.Is(err, backing.ErrNotRun) {
		s.refusals++
	}
	if s.refusals >= maxRefusals {
		return s.outcomeWithoutAnswer(err), false
	}
	return Outcome{}, true
}

func (s *submission) outcomeWithoutAnswer(err error) Outcome {
	if s.lastErr != nil {
		err = s.lastErr
	}
	if s.mayBeAccepted {
		return Outcome{Result: Unknown, Err: err}
	}
	return Outcome{Result: Unavailable, Err: err}
}
