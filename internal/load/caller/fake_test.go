package caller

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"

	"github.com/vanillagate/vanillagate/internal/problem"
	"github.com/vanillagate/vanillagate/internal/targetapi"
)

// fakeEntry is a server that answers as an entry VM does.
type fakeEntry struct {
	address string
	server  *fasthttp.Server
	// listener is closed by stop, even if server hasn't started to serve.
	listener net.Listener

	mu sync.Mutex
	// keys are the idempotency keys received, in order.
	keys []string
	// entries is the response to /v1/entries.
	entries []Entry
	// refuse, if set, is answered instead of a result.
	refuse *problem.Problem
	// streamWords truncates a stream after this many words; -1 sends it in full.
	streamWords int
	// hold, if not nil, keeps a truncated stream open until the channel is closed.
	hold chan struct{}
}

func startFakeEntry(t *testing.T) *fakeEntry {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	f := &fakeEntry{address: listener.Addr().String(), listener: listener, streamWords: -1}
	f.entries = []Entry{{Address: f.address, Zone: "a"}}
	f.server = &fasthttp.Server{Handler: f.handle}
	go func() { _ = f.server.Serve(listener) }()
	t.Cleanup(f.stop)
	return f
}

// stop closes the listener, so that connections are refused.
func (f *fakeEntry) stop() {
	_ = f.listener.Close()
	_ = f.server.Shutdown()
}

func (f *fakeEntry) handle(ctx *fasthttp.RequestCtx) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if string(ctx.Path()) == entriesPath {
		_ = json.NewEncoder(ctx).Encode(EntriesAnswer{Entries: f.entries, TTLMS: 60_000})
		return
	}
	f.keys = append(f.keys, string(ctx.Request.Header.Peek(targetapi.HeaderIdempotencyKey)))
	ctx.Response.Header.Set(targetapi.HeaderRequestID, "r-"+f.address)
	if f.refuse != nil {
		ctx.SetStatusCode(f.refuse.Status)
		_ = json.NewEncoder(ctx).Encode(f.refuse)
		return
	}
	f.answer(ctx)
}

func (f *fakeEntry) answer(ctx *fasthttp.RequestCtx) {
	body := string(ctx.PostBody())
	_, rest, _ := strings.Cut(body, "[ref:")
	ref, _, _ := strings.Cut(rest, "]")
	if strings.HasPrefix(string(ctx.Path()), "/v1/services/") {
		_, _ = ctx.WriteString(body)
		return
	}
	var asked pipelineRequest
	_ = json.Unmarshal(ctx.PostBody(), &asked)
	if !asked.Stream {
		_ = json.NewEncoder(ctx).Encode(pipelineAnswer{Output: words(ref, asked.MaxTokens)})
		return
	}
	count, whole := asked.MaxTokens, f.streamWords < 0
	if !whole {
		count = f.streamWords
	}
	ctx.SetBodyStreamWriter(func(w *bufio.Writer) {
		for i := range count {
			fmt.Fprintf(w, "data: {\"choices\":[{\"text\":\"%s:%d \"}]}\n\n", ref, i)
		}
		if whole {
			fmt.Fprint(w, "data: [DONE]\n\n")
			return
		}
		if f.hold != nil {
			_ = w.Flush()
			<-f.hold
		}
	})
}

func words(ref string, count int) string {
	var all []string
	for i := range count {
		all = append(all, fmt.Sprintf("%s:%d", ref, i))
	}
	return strings.Join(all, " ")
}

func (f *fakeEntry) receivedKeys() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.keys
}

func newCall(kind Kind) Call {
	return Call{
		Kind: kind, BearerKey: "k", IdempotencyKey: "key-1", Ref: "a1", Pipeline: "quote", Input: "a hall",
		MaxTokens: 5, Service: "booking", Method: "POST", Path: "/confirm",
		Scheduled: time.Now(), Timeout: 5 * time.Second,
	}
}
