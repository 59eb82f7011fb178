// Package change has operators' changes of the configuration accepted by the
// table service, one at a time, each under the next revision.
//
// One transaction writes four rows: the head, whose version is the revision of
// the last change; the last change of the item; the change itself; and the
// change's revision by its ID. The head makes the changes a total order, the
// item's row makes the change a compare-and-set, and the ID lets a writer
// whose answer was lost find out what became of the change.
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

// Request asks for one change.
type Request struct {
	// ID is the change's own identity. A request that is sent again carries
	// the same one.
	ID      string
	Kind    config.Kind
	Name    string
	Body    json.RawMessage
	Deleted bool
	By      string
	// ExpectedRevision is the revision of the item's last change that the operator has
	// seen; zero for an item that does not exist.
	ExpectedRevision config.Revision
}

// Result says what became of a request.
type Result int

// The results.
const (
	// Accepted means that the change stands under Outcome.Revision.
	Accepted Result = iota + 1
	// Conflict means that the item's last change is Outcome.Last and not the
	// one expected. Nothing was written.
	Conflict
	// Invalid means that the request can't be accepted, for Outcome.Faults.
	Invalid
	// Unavailable means that this submission certainly changed nothing.
	Unavailable
	// Unknown means that the change may have been accepted. Submit it again
	// with the same ID.
	Unknown
)

// Outcome is the answer to a request. Which fields are set depends on Result.
type Outcome struct {
	Result           Result
	Revision         config.Revision
	Last             config.LastChange
	ValidationErrors []string
	Err              error
}

// Bounds of one submission.
const (
	maxAttempts = 64
	maxRefused  = 4
	pauseMin    = 2 * time.Millisecond
	pauseMax    = 100 * time.Millisecond
)

// Submitter submits changes.
type Submitter struct {
	table   backing.Table
	current func() *config.State
	now     func() time.Time
	wait    func(context.Context, time.Duration) bool
}

// New builds a Submitter. current gives the state in force in this process; it
// only saves reading the changes from the first one on.
func New(table backing.Table, current func() *config.State) *Submitter {
	return &Submitter{table: table, current: current, now: time.Now, wait: wait.Jittered}
}

// Submit has a change accepted or says why not. It returns by the context's
// deadline.
func (s *Submitter) Submit(ctx context.Context, req Request) Outcome {
	sub := &submission{Submitter: s, req: req, state: s.current()}
	pause := pauseMin
	for range maxAttempts {
		out, again := sub.attempt(ctx)
		if !again {
			return out
		}
		if !s.wait(ctx, pause) {
			break
		}
		pause = min(2*pause, pauseMax)
	}
	return sub.gaveUp(context.Cause(ctx))
}

var errRaces = errors.New("change: lost every race for the next revision")

// submission is one Submit call.
type submission struct {
	*Submitter
	req   Request
	state *config.State
	// mayStand says that the answer to an earlier commit of this submission
	// was lost. "Nothing was changed" is no longer known then.
	mayStand bool
	refused  int
	lastErr  error
}

// attempt tries once; again says that it lost a race or an answer.
func (s *submission) attempt(ctx context.Context) (out Outcome, again bool) {
	item, err := s.read(ctx)
	if err != nil {
		return s.failed(err)
	}
	if found := Validate(s.state, s.req); len(found) > 0 {
		return s.refuse(ctx, Outcome{Result: Invalid, ValidationErrors: found})
	}
	last, err := lastChange(item)
	if err != nil {
		return s.failed(err)
	}
	if !expected(last, s.req.ExpectedRevision) {
		return s.refuse(ctx, Outcome{Result: Conflict, Last: last})
	}
	return s.commit(ctx, item)
}

// read brings the state to the head that the commit will be conditioned on.
// What was validated against this state still holds when the commit succeeds.
func (s *submission) read(ctx context.Context) (item *backing.Row, err error) {
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

// expected lets an operator create an item that was deleted without knowing
// that it ever existed.
func expected(last config.LastChange, expect config.Revision) bool {
	return last.Revision == expect || (expect == 0 && last.Deleted)
}

func (s *submission) commit(ctx context.Context, item *backing.Row) (Outcome, bool) {
	revision := s.state.Revision + 1
	writes, err := writesOf(s.req, revision, item, s.now())
	if err != nil {
		return Outcome{Result: Invalid, ValidationErrors: []string{err.Error()}}, false
	}
	conflicts, err := s.table.Commit(ctx, writes)
	if err != nil {
		s.mayStand = s.mayStand || !errors.Is(err, backing.ErrNotRun)
		return s.failed(err)
	}
	if len(conflicts) == 0 {
		return Outcome{Result: Accepted, Revision: revision}, false
	}
	// The head has moved, by our own change or by another's.
	s.lastErr = errRaces
	out, settled, err := s.lookUp(ctx)
	if err != nil {
		return s.failed(err)
	}
	return out, !settled
}

// refuse answers with a refusal unless the change stands already: it may be
// sent again after it was accepted, and by then the item has moved on.
//
// A commit whose answer was lost can't take effect after this. It was
// conditioned on the head that its attempt had read; had the head not moved
// since, this attempt would have read the same state and refused nothing.
func (s *submission) refuse(ctx context.Context, refusal Outcome) (Outcome, bool) {
	out, settled, err := s.lookUp(ctx)
	if err != nil {
		return s.failed(err)
	}
	if settled {
		return out, false
	}
	return refusal, false
}

// lookUp finds the change by its own identity.
func (s *submission) lookUp(ctx context.Context) (out Outcome, settled bool, err error) {
	row, err := s.table.Get(ctx, changes.ChangeIDKey(s.req.ID))
	if err != nil || row == nil {
		return Outcome{}, false, err
	}
	var accepted acceptedID
	if err := json.Unmarshal(row.Body, &accepted); err != nil {
		return Outcome{}, false, err
	}
	if accepted.Fingerprint != fingerprint(s.req) {
		fault := fmt.Sprintf("change id %q: in use by another change, revision %d", s.req.ID, accepted.Revision)
		return Outcome{Result: Invalid, ValidationErrors: []string{fault}}, true, nil
	}
	return Outcome{Result: Accepted, Revision: accepted.Revision}, true, nil
}

// failed notes that an answer of the store is missing. Refusals are tried a
// few times, since the store also refuses transactions that touch a row at
// the same moment; lost answers until the deadline.
func (s *submission) failed(err error) (Outcome, bool) {
	s.lastErr = err
	if errors.Is(err, backing.ErrNotRun) {
		s.refused++
	}
	if s.refused >= maxRefused {
		return s.gaveUp(err), false
	}
	return Outcome{}, true
}

func (s *submission) gaveUp(err error) Outcome {
	if s.lastErr != nil {
		err = s.lastErr
	}
	if s.mayStand {
		return Outcome{Result: Unknown, Err: err}
	}
	return Outcome{Result: Unavailable, Err: err}
}
