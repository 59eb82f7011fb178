package run

import (
	"errors"
	"time"
)

// ErrLeaving ends the work on requests that are still on their way when a
// process's planned stop leaves them no more time.
var ErrLeaving = errors.New("this process ends")

// leavingRetry is when a caller that a leaving process refuses should come back:
// at once, since the next address that it tries serves it.
const leavingRetry = 10 * time.Millisecond

// Departure is a planned stop of this process, as far as new requests go.
type Departure struct {
	// Welcome is until when all requests are taken: until then callers come that
	// were told of this process shortly before the stop.
	Welcome time.Time
	// End is when the last answer has to be out.
	End time.Time
}

// Takes tells whether a request that arrives at a moment is taken. Some callers
// hold on to an old address for seconds. A long request that is taken then is cut
// when the process ends: its caller sees half an answer, or none, though every
// other process could have served it. So it is refused at once, unless the most
// time that it may take fits into what is left.
func (d *Departure) Takes(arrived time.Time, patience time.Duration) bool {
	return arrived.Before(d.Welcome) || !arrived.Add(patience).After(d.End)
}

// Leave begins a planned stop.
func (e *Executor) Leave(d Departure) { e.departure.Store(&d) }

// leaves tells whether a planned stop leaves a request too little time.
func (j *job) leaves() bool {
	d := j.departure.Load()
	return d != nil && !d.Takes(j.req.Arrived, j.patience())
}
