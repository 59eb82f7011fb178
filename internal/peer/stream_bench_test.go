package peer

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/sourcegraph/jsonrpc2"
	"gotest.tools/v3/assert"
)

// BenchmarkMessage measures one call to a peer, written by one side and read by the
// other.
func BenchmarkMessage(b *testing.B) {
	near, far := net.Pipe()
	counts := newTraffic(Options{}.withDefaults().Metrics)
	secret := []byte("secret of the benchmark")
	out, in := newStream(near, secret, true, time.Second, counts), newStream(far, secret, false, time.Second, counts)
	request := &jsonrpc2.Request{Method: "gather.ask", ID: jsonrpc2.ID{Str: "gather.ask#17", IsString: true}}
	assert.NilError(b, request.SetParams(map[string]any{"shard": map[string]string{"service": "s", "zone": "z"}, "items": 7}))
	go func() {
		for {
			var read jsonrpc2.Request
			if err := in.ReadObject(&read); err == io.EOF {
				return
			}
		}
	}()
	for b.Loop() {
		if err := out.WriteObject(request); err != nil {
			b.Fatal(err)
		}
	}
	_ = near.Close()
}
