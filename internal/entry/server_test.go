package entry

import (
	"net"
	"net/http"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"
)

// troubled is a listener for which the system has no descriptor a few times.
type troubled struct {
	net.Listener
	left int
}

func (l *troubled) Accept() (net.Conn, error) {
	if l.left > 0 {
		l.left--
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: os.NewSyscallError("accept4", syscall.EMFILE)}
	}
	return l.Listener.Accept()
}

// For a moment the process has no descriptor left for one more connection. If
// that ended the listener, the whole VM would leave, or refuse callers for good.
func TestALackOfDescriptorsEndsNoListener(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s := &Server{
		log: zap.NewNop(), listener: &troubled{Listener: listener, left: 3},
		http: &fasthttp.Server{Handler: func(ctx *fasthttp.RequestCtx) { ctx.SetBodyString("served") }},
	}
	ended := make(chan error, 1)
	go func() { ended <- s.serve() }()
	client := http.Client{Timeout: 2 * time.Second}
	resp, err := client.Get("http://" + listener.Addr().String())
	assert.NilError(t, err)
	_ = resp.Body.Close()
	assert.NilError(t, s.http.Shutdown())
	assert.NilError(t, <-ended)
}
