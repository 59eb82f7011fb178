package plan

import (
	"fmt"
	"time"
)

// The largest limits that a process can bear. Each connection whose request is being read has a buffer of
// MaxHeaderBytes, and a body is held in memory until its request has been answered.
const (
	MaxHeaderBytes = 64 << 10
	MaxBodyBytes   = 64 << 20
	// MaxHeaderTime and MaxIdleTime keep connections of callers that are gone from staying for days.
	MaxHeaderTime = 10 * time.Minute
	MaxIdleTime   = 24 * time.Hour
)

// Check returns an error that names a limit which a process can't bear.
func (l Limits) Check() error {
	switch {
	case l.HeaderBytes < 0 || l.HeaderBytes > MaxHeaderBytes:
		return fmt.Errorf("limit on headers is %d bytes, must be at most %d", l.HeaderBytes, MaxHeaderBytes)
	case l.BodyBytes < 0 || l.BodyBytes > MaxBodyBytes:
		return fmt.Errorf("limit on bodies is %d bytes, must be at most %d", l.BodyBytes, MaxBodyBytes)
	case l.HeaderTime < 0 || l.HeaderTime > MaxHeaderTime:
		return fmt.Errorf("time limit for headers is %s, must be at most %s", l.HeaderTime, MaxHeaderTime)
	case l.IdleTime < 0 || l.IdleTime > MaxIdleTime:
		return fmt.Errorf("idle time limit is %s, must be at most %s", l.IdleTime, MaxIdleTime)
	}
	return nil
}
