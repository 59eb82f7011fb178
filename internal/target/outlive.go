package target

import (
	"context"
	"errors"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/vanillagate/vanillagate/internal/targetapi"
)

// ErrUnknownEnd means that an answer has ended with its connection, and that its target isn't known to have
// run after that: it may have died in the middle of the answer.
var ErrUnknownEnd = errors.New("target: the answer ended with its connection, and the target may have died")

// outliveTimeout limits the time until a target shows that it runs.
const outliveTimeout = 300 * time.Millisecond

// outlivesAnswer reports whether a target is known to run. The death of a process closes its connections, so
// any answer, and silence on an open connection, show that it runs. A process that has been started again at the
// address since isn't told apart: health checks don't name the process.
func (c *Client) outlivesAnswer(ctx context.Context, address string) bool {
	bounded, cancel := context.WithTimeout(ctx, outliveTimeout)
	defer cancel()
	ex, err := c.start(bounded, Call{Address: address, Method: fasthttp.MethodGet, Path: targetapi.PathHealth, NewConnection: true})
	if err != nil {
		return false
	}
	defer ex.finish()
	var h fasthttp.ResponseHeader
	err = readHeader(ex.conn.R, &h)
	return err == nil || bounded.Err() != nil && ctx.Err() == nil
}
