package headers

import (
	"bufio"
	"strings"
	"testing"

	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"
)

func parsed(t *testing.T, lines ...string) *fasthttp.RequestHeader {
	t.Helper()
	h := &fasthttp.RequestHeader{}
	h.DisableNormalizing()
	raw := "GET / HTTP/1.1\r\nHost: h\r\n" + strings.Join(lines, "\r\n") + "\r\n\r\n"
	assert.NilError(t, h.Read(bufio.NewReader(strings.NewReader(raw))))
	return h
}

// Guards against a header that is missed because its sender spells the name otherwise.
func TestNamesAreFoundInAnySpelling(t *testing.T) {
	for _, name := range []string{"Last-Event-Id", "Last-Event-ID", "last-event-id", "LAST-EVENT-ID"} {
		h := parsed(t, "X-First: 1", name+": 4", "X-Last: 2")
		assert.Equal(t, string(Get(h.All(), "Last-Event-Id")), "4", name)
		assert.Equal(t, string(Get(h.All(), "LAST-event-id")), "4", name)
	}
}

// Guards against a header that is taken for another one of a similar name.
func TestOtherNamesAreNotFound(t *testing.T) {
	h := parsed(t, "Last-Event-Ids: 1", "Last-Event-I: 2", "Last_Event_Id: 3", "Last-Event-Ie: 4")
	assert.Assert(t, Get(h.All(), "Last-Event-Id") == nil)
	assert.Assert(t, !Is([]byte("\u212aey-Id"), "Key-Id")) // the Kelvin sign folds to k in Unicode
	assert.Assert(t, !Is([]byte("X@Y"), "X`Y"))
}

// Guards against a duplicate in another spelling that takes the place of the first line.
func TestFirstOfSeveralLinesCounts(t *testing.T) {
	h := parsed(t, "x-key: a", "X-Key: b", "X-KEY: c")
	assert.Equal(t, string(Get(h.All(), "X-Key")), "a")
	assert.Equal(t, Join(AppendAll(nil, h.All(), "X-Key")), "a,b,c")
	assert.Equal(t, Join(AppendAll(nil, h.All(), "X-None")), "")
}

// Guards against look-ups that allocate for each request.
func TestLookUpsDoNotAllocate(t *testing.T) {
	h := parsed(t, "X-A: 1", "x-b: 2", "X-C: 3")
	n := testing.AllocsPerRun(100, func() {
		if Get(h.All(), "X-B") == nil || Get(h.All(), "X-D") != nil || len(AppendAll(nil, h.All(), "X-D")) > 0 {
			t.Error("wrong line found")
		}
	})
	assert.Equal(t, n, 0.0)
}
