package run

import (
	"time"

	"github.com/valyala/fasthttp"
)

// memoryRetryAfter is when a caller whose request found no memory should retry: unfinished requests may have to give
// theirs up by then.
const memoryRetryAfter = 500 * time.Millisecond

// RefuseForMemory returns the answer to a request that hasn't run and won't, because there is no memory to read it.
func RefuseForMemory() *Reply {
	return refuse(fasthttp.StatusServiceUnavailable, NoMemory, memoryRetryAfter)
}
