package run

import (
	"strings"
	"sync/atomic"

	"github.com/vanillagate/vanillagate/internal/serve/upstream"
)

const (
	// maxBufferedTotal limits the buffered answers of all requests together, and what all streams hold back. It is a part
	// of the memory of a small VM.
	maxBufferedTotal = 16 << 20
	// uncountedBytes of each answer don't count, so that short answers are always buffered.
	uncountedBytes = 4 << 10
)

// bufferMemory counts the bytes of answers that are buffered. The zero value has none.
type bufferMemory struct{ used atomic.Int64 }

// reserve reserves memory and reports whether there was enough.
func (m *bufferMemory) reserve(bytes int) bool {
	if m.used.Add(int64(bytes)) <= maxBufferedTotal {
		return true
	}
	m.used.Add(-int64(bytes))
	return false
}

// buffer holds the beginning of an answer, or the whole. release must be called when it isn't used any more.
type buffer struct {
	content  strings.Builder
	memory   *bufferMemory
	reserved int
}

// Write implements io.Writer. It always writes all of p. The error is upstream.ErrNoMemory if the buffered answers have
// reached their limit.
func (b *buffer) Write(p []byte) (int, error) {
	n, _ := b.content.Write(p) // never fails
	need := b.content.Len() - uncountedBytes - b.reserved
	if need <= 0 {
		return n, nil
	}
	if !b.memory.reserve(need) {
		return n, upstream.ErrNoMemory
	}
	b.reserved += need
	return n, nil
}

// release gives the memory back.
func (b *buffer) release() {
	b.memory.used.Add(-int64(b.reserved))
	b.reserved = 0
}

// heldBytes reserves the memory of what one stream holds back, beside uncountedBytes.
type heldBytes struct {
	memory   *bufferMemory
	reserved int
}

// hold changes the reservation to some bytes, and reports whether there was enough memory.
func (h *heldBytes) hold(bytes int) bool {
	need := max(bytes-uncountedBytes, 0) - h.reserved
	switch {
	case need == 0:
		return true
	case need < 0:
		h.memory.used.Add(int64(need))
	case !h.memory.reserve(need):
		return false
	}
	h.reserved += need
	return true
}

// emptied returns a buffer without content. A large one isn't kept.
func emptied(b []byte) []byte {
	if cap(b) > uncountedBytes {
		return nil
	}
	return b[:0]
}
