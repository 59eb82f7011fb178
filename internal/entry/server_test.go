package entry

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/vanillagate/vanillagate/internal/listentest"
)

// For a moment the process has no descriptor left for one more connection. If
// that ended the listener, the whole VM would leave, or refuse callers for good.
func TestALackOfDescriptorsEndsNoListener(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s := &Server{
		log: zap.NewNop(), listener: listentest.NewFailingListener(listener, 3),
	}
	s.prepare(func(ctx *fasthttp.RequestCtx) { ctx.SetBodyString("served") })
	ended := make(chan error, 1)
	go func() { ended <- s.serve() }()
	client := http.Client{Timeout: 2 * time.Second}
	resp, err := client.Get("http://" + listener.Addr().String())
	assert.NilError(t, err)
	_ = resp.Body.Close()
	assert.NilError(t, s.closePort(context.Background()))
	assert.NilError(t, <-ended)
}

// Callers use kept connections once more, and right after that the port closes. What
// has come by then has to be answered; its callers can't know that nobody read it.
func TestWhatHasComeByTheEndIsAnswered(t *testing.T) {
	const callers = 200
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s := &Server{log: zap.NewNop(), listener: listener}
	s.prepare(func(ctx *fasthttp.RequestCtx) { ctx.SetBodyString("served") })
	ended := make(chan error, 1)
	go func() { ended <- s.serve() }()
	kept := listentest.DialReused(t, listener.Addr().String(), callers)
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	assert.NilError(t, s.closePort(ctx))
	for _, caller := range kept {
		caller.ReadResponse(t)
	}
	assert.NilError(t, <-ended)
}
