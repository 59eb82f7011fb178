package run

import (
	"time"

	"github.com/vanillagate/vanillagate/internal/framing"
	"github.com/vanillagate/vanillagate/internal/serve/pool"
	"github.com/vanillagate/vanillagate/internal/serve/upstream"
)

// A target's answer that ends with its connection is complete if its process runs on. After a pause in the answer that is
// only known of a process that still answers on a connection which it accepted before the pause, or that says when it
// started. So such a connection is kept while an answer without framing is received.

const (
	// spareDelay is after what time a spare connection is opened for a request without an answer, or for a stream. It
	// leaves time for that before upstream.RestartTime has passed.
	spareDelay = 100 * time.Millisecond
	// sparePeriod is how often a stream ensures that there is a spare connection.
	sparePeriod = time.Second
)

// keepSpareConn ensures that an unused connection to a target is kept.
func (j *job) keepSpareConn(target *pool.Target) {
	r := &upstream.Request{Address: target.Address}
	j.limitIdleConns(r)
	j.Client.KeepSpare(j.ctx, r)
}

// keepSpareConnIfSlow ensures that if a target takes long to answer, unless it will say when it started or has an ID for
// each start. The returned function is called when there is an answer.
func (j *job) keepSpareConnIfSlow(target *pool.Target) (answered func()) {
	if target.Born == 0 || j.isEngineService() {
		return func() {}
	}
	timer := time.AfterFunc(spareDelay, func() { j.keepSpareConn(target) })
	return func() { timer.Stop() }
}

// isEngineService reports whether the targets of the request are model engines, which report when they started.
func (j *job) isEngineService() bool {
	service := j.Plans.Service(j.service)
	return service != nil && service.Engine != nil
}

// spareConn keeps a spare connection beside a stream that ends with its own. The zero value keeps none.
type spareConn struct {
	job    *job
	target *pool.Target
	// first opens the first one, next is when the following one is due.
	first *time.Timer
	next  time.Time
}

// newSpareConn begins to keep a connection beside an answer, if that ends with its own.
func (j *job) newSpareConn(target *pool.Target, answer *upstream.Answer) spareConn {
	if answer.Kind != framing.Connection {
		return spareConn{}
	}
	return spareConn{
		job: j, target: target, next: time.Now().Add(sparePeriod),
		first: time.AfterFunc(spareDelay, func() { j.keepSpareConn(target) }),
	}
}

// received ensures from time to time that a connection is kept. It is called when data have arrived.
func (c *spareConn) received(now time.Time) {
	if c.job == nil || now.Before(c.next) {
		return
	}
	c.next = now.Add(sparePeriod)
	go c.job.keepSpareConn(c.target)
}

// stop opens no further connection.
func (c *spareConn) stop() {
	if c.job != nil {
		c.first.Stop()
	}
}
