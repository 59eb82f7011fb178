// Package outage applies the faults that the platform's stand-ins share.
package outage

import (
	"net/http"
	"time"

	"github.com/vanillagate/vanillagate/internal/standin/fault"
)

// Wait spends what a call takes and what the fault adds to it. It goes on when
// the caller hangs up: a slow store still takes the write.
func Wait(f fault.Fault, latency time.Duration) {
	stretched := time.Duration(float64(latency) * f.EffectiveStraggleFactor())
	time.Sleep(stretched + f.Delay())
}

// Abort closes the connection without an answer. Panicking with this value is
// the server's own documented way to do so; nothing is broken.
func Abort() { panic(http.ErrAbortHandler) }
