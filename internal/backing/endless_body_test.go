package backing_test

import (
	"bytes"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/vanillagate/vanillagate/internal/backing"
)

// Guards against an answer of the platform's services without end being kept until it fills the memory.
func TestEndlessAnswersOfServicesFail(t *testing.T) {
	const mostBytes = 100 << 20
	for name, call := range map[string]func(address string) error{
		"row": func(a string) error {
			_, err := table(a).Get(t.Context(), backing.Key{Partition: "p", Sort: "s"})
			return err
		},
		"object":  func(a string) error { _, err := store(a).Get(t.Context(), "o"); return err },
		"written": func(a string) error { return store(a).Put(t.Context(), "o", []byte("x")) },
	} {
		for _, status := range []int{http.StatusOK, http.StatusInternalServerError} {
			if name == "written" && status == http.StatusOK {
				continue // its body isn't read
			}
			t.Run(name+" "+http.StatusText(status), func(t *testing.T) {
				var sent atomic.Int64
				server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
					w.WriteHeader(status)
					_, _ = w.Write([]byte(`{"Item":{"body":{"S":"`))
					chunk := bytes.Repeat([]byte("x"), 1<<20)
					for sent.Load() < 4*mostBytes {
						n, err := w.Write(chunk)
						if sent.Add(int64(n)); err != nil {
							return
						}
					}
				}))
				defer server.Close()
				began := time.Now()
				err := call(strings.TrimPrefix(server.URL, "http://"))
				assert.Assert(t, err != nil)
				assert.Check(t, !errors.Is(err, backing.ErrNotRun) || status == http.StatusOK, "%v", err)
				assert.Check(t, sent.Load() < mostBytes, "%d MiB read in %v: %v", sent.Load()>>20, time.Since(began), err)
			})
		}
	}
}
