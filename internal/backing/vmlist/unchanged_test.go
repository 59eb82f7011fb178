package vmlist

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"

	"gotest.tools/v3/assert"
)

func TestUnchangedListIsNotSentAgain(t *testing.T) {
	body, tag, sent := `[{"targets":["10.0.0.1:1"],"labels":{"role":"target","state":"live"}}]`, `"a"`, 0
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("ETag", tag)
		if r.Header.Get("If-None-Match") == tag {
			w.WriteHeader(http.StatusNotModified)
			return
		}
		sent++
		_, _ = w.Write([]byte(body))
	}))
	defer server.Close()
	list := New(server.URL)
	for range 3 {
		vms, err := list.List(context.Background())
		assert.NilError(t, err)
		assert.Equal(t, vms[0].Address, "10.0.0.1:1")
	}
	assert.Equal(t, sent, 1)
	body, tag = `[{"targets":["10.0.0.2:1"],"labels":{"role":"target","state":"live"}}]`, `"b"`
	vms, err := list.List(context.Background())
	assert.NilError(t, err)
	assert.Equal(t, vms[0].Address, "10.0.0.2:1")
	assert.Equal(t, sent, 2)
}
