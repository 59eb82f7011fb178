package run

import (
	"github.com/valyala/fasthttp"

	"github.com/vanillagate/vanillagate/internal/intake"
)

// RefuseForMemory returns the answer to a request that hasn't run and won't, because there is no memory to read it.
func RefuseForMemory() *Reply {
	return refuse(fasthttp.StatusServiceUnavailable, NoMemory, intake.RetryAfter)
}
