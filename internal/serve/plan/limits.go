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
	// MaxHeaderTime keeps connections of callers that are gone from holding their buffers.
	MaxHeaderTime = 10 * time.Minute
	// bodyShare is the fraction of the memory that one body may take up.
	bodyShare = 8
)

// keepBearable replaces the limits that a process with some memory can't bear by those before. It returns which they
// are. memoryBytes is 0 if unknown.
func (l *Limits) keepBearable(before Limits, memoryBytes int) (refused []string) {
	maxBody := MaxBodyBytes
	if memoryBytes > 0 {
		maxBody = min(maxBody, memoryBytes/bodyShare)
	}
	bound(&refused, "header bytes", &l.HeaderBytes, before.HeaderBytes, MaxHeaderBytes)
	bound(&refused, "body bytes", &l.BodyBytes, before.BodyBytes, maxBody)
	bound(&refused, "header time", &l.HeaderTime, before.HeaderTime, MaxHeaderTime)
	return refused
}

// bound replaces a limit beyond a maximum by the one before.
func bound[T int | time.Duration](refused *[]string, name string, limit *T, before, maximum T) {
	if *limit >= 0 && *limit <= maximum {
		return
	}
	kept := "the default"
	if before != 0 {
		kept = fmt.Sprint(before)
	}
	*refused = append(*refused, fmt.Sprintf("limit on %s is %v, must be from 0 to %v; %s stays", name, *limit, maximum, kept))
	*limit = before
}
