// Package outage applies the faults that the stand-ins for the platform's
// services have in common.
package outage

import (
	"net/http"
	"time"

	"github.com/vanillagate/vanillagate/internal/standin/fault"
)

// Wait sleeps for the latency of a call, stretched and delayed by the fault. It
// doesn't return early when the caller disconnects: a slow store still applies
// the write.
func Wait(f fault.Fault, latency time.Duration) {
	scaled := time.Duration(float64(latency) * f.EffectiveStraggleFactor())
	time.Sleep(scaled + f.Delay())
}

// Abort closes the connection without an answer. Panicking with
// http.ErrAbortHandler is net/http's documented way to do so and is not an error.
func Abort() { panic(http.ErrAbortHandler) }
