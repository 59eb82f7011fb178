package quota

import "time"

// Retry is a retry taken from a Budget. It counts against the budget until a window after it was sent,
// however late that is. Exactly one of Sent and Cancel must follow; further calls are ignored, as are all
// calls on nil.
type Retry struct {
	budget  *Budget
	service string
	window  *window
	settled bool // guarded by budget.mu
}

// TakeRetry takes one retry from the budget; nil if there is none.
func (b *Budget) TakeRetry(service string, now time.Time) *Retry {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.windowFor(service, now)
	if b.retriesLeft(w, now) < 1 {
		return nil
	}
	w.unsent++
	return &Retry{budget: b, service: service, window: w}
}

// Sent records that the retry is on its way to a target.
func (r *Retry) Sent(now time.Time) {
	if r == nil {
		return
	}
	b := r.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if r.settle() {
		b.windowFor(r.service, now).retries[0]++
	}
}

// Cancel gives back a retry that wasn't sent and won't be.
func (r *Retry) Cancel() {
	if r == nil {
		return
	}
	r.budget.mu.Lock()
	defer r.budget.mu.Unlock()
	r.settle()
}

// Unsent reports whether the retry can still be sent.
func (r *Retry) Unsent() bool {
	if r == nil {
		return false
	}
	r.budget.mu.Lock()
	defer r.budget.mu.Unlock()
	return !r.settled
}

// settle ends the time in which the retry is unsent, and reports whether it was until now. The caller
// holds budget.mu.
func (r *Retry) settle() bool {
	if r.settled {
		return false
	}
	r.settled = true
	r.window.unsent--
	return true
}
