package entry

import (
	"bufio"
	"bytes"
	"net/http"
	"strings"
	"testing"

	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"

	"github.com/vanillagate/vanillagate/internal/config"
)

var bookingRoutes = config.Service{Name: "booking", Routes: []config.Route{
	{Method: "GET", PathPrefix: "/"},
	{PathPrefix: "/"},
	{Method: "POST", PathPrefix: "/", NonIdempotent: true},
	{Method: "GET", PathPrefix: "/once/"},
	{Method: "GET", PathPrefix: "/once/", NonIdempotent: true},
}}

func TestMostSpecificRouteMatches(t *testing.T) {
	tests := []struct {
		method, path         string
		found, nonIdempotent bool
		prefix               string
	}{
		{"GET", "/look", true, false, "/"},
		{"GET", "/once/hall", true, true, "/once/"},
		{"get", "/once/hall", true, true, "/once/"},
		{"GET", "/once", true, false, "/"},
		{"POST", "/once/hall", true, true, "/"},
		{"PUT", "/x", true, false, "/"},
		{"GET", "", false, false, ""},
	}
	for _, tc := range tests {
		got, found := matchRoute(bookingRoutes, tc.method, tc.path)
		assert.Equal(t, found, tc.found, "%s %s", tc.method, tc.path)
		assert.Equal(t, got.NonIdempotent, tc.nonIdempotent, "%s %s", tc.method, tc.path)
		assert.Equal(t, got.PathPrefix, tc.prefix, "%s %s", tc.method, tc.path)
	}
}

// A caller can write a path that matches one route here but would be decoded to
// another at the target. The target must see the path that was matched;
// otherwise a booking is sent as a call that may be retried.
func FuzzTargetDecodesTheMatchedPath(f *testing.F) {
	for _, path := range []string{
		"/look", "/look/%2e%2e/once/hall", "/look/%252e%252e/once/hall", "/a%3Fb", "/a%23b", "/a%2fb", "/a//b", "/a b",
		"/%", "/%zz", "/..%2f..", "/é", "/a;b=c", "/a%00b", "//x", "/./..", "/a?b=/../c",
	} {
		f.Add(path)
	}
	f.Fuzz(func(t *testing.T, raw string) {
		var received fasthttp.Request
		received.SetRequestURI("http://entry" + pathServices + "booking" + raw)
		rest, isService := strings.CutPrefix(string(received.URI().Path()), pathServices)
		name, path, _ := strings.Cut(rest, "/")
		if !isService || name != "booking" {
			return
		}
		path = "/" + path
		var sent fasthttp.Request
		sent.SetRequestURI("http://target/" + name + escapePath(path))
		var wire bytes.Buffer
		w := bufio.NewWriter(&wire)
		assert.NilError(t, sent.Write(w))
		assert.NilError(t, w.Flush())
		read, err := http.ReadRequest(bufio.NewReader(&wire))
		assert.NilError(t, err)
		assert.Equal(t, read.URL.Path, "/booking"+path, "from %q", raw)
		assert.Equal(t, read.URL.RawQuery, "", "from %q", raw)
	})
}

// Callers send arbitrary bodies and headers. They are either read as a request
// with values within their bounds, or rejected with status 400.
func FuzzPipelineRequest(f *testing.F) {
	f.Add([]byte(`{"input":"hall [ref:Q]","max_tokens":16,"stream":true}`), "4000")
	f.Add([]byte(`{"input":"x","max_tokens":-1}`), "")
	f.Add([]byte(`{"input":"x","max_tokens":1e9}`), "-5")
	f.Add([]byte(`{"input":null}`), "99999999999999999999")
	f.Add([]byte(`[]`), "soon")
	f.Add([]byte(`{"input":"\ud800"}`), "1")
	f.Fuzz(func(t *testing.T, body []byte, timeout string) {
		var ctx fasthttp.RequestCtx
		ctx.Request.Header.SetMethod(fasthttp.MethodPost)
		ctx.Request.Header.Set(headerTimeout, timeout)
		ctx.Request.SetBody(body)
		r, prob := readRequestInfo(&ctx, defaultTimeout)
		if prob != nil {
			assert.Equal(t, prob.Status, fasthttp.StatusBadRequest)
		} else {
			left := r.deadline.Sub(r.receivedAt)
			assert.Assert(t, left > 0 && left <= maxTimeout, "%s", left)
		}
		got, prob := readPipelineRequest(&ctx, true, "quote")
		if prob != nil {
			assert.Equal(t, prob.Status, fasthttp.StatusBadRequest)
			return
		}
		assert.Assert(t, got.Input != "" && got.MaxTokens >= 0 && got.MaxTokens <= maxTokensAllowed)
	})
}
