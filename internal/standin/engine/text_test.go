package engine

import (
	"hash/fnv"
	"testing"

	"gotest.tools/v3/assert"
)

func hash64(s string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(s))
	return h.Sum64()
}

func TestContinuation(t *testing.T) {
	for _, c := range []struct{ name, prompt, want string }{
		{"fresh", "Sum up [ref:r-1]", "r-1:0 r-1:1"},
		{"last reference counts", "[ref:a] [ref:b_2] Answer:", "b_2:0 b_2:1"},
		{"resumed", "[ref:a]\nAnswer: a:0 a:1", " a:2 a:3"},
		{"resumed after a space", "[ref:a]\nAnswer: a:0 ", "a:1 a:2"},
		{"foreign words do not count", "[ref:a] Answer: a:0 b:1", " a:1 a:2"},
		{"last answer counts", "Answer: a:0 a:1 [ref:a] Answer:", "a:0 a:1"},
	} {
		t.Run(c.name, func(t *testing.T) {
			assert.Equal(t, newContinuation(c.prompt).text(0, 2), c.want)
		})
	}
}

func TestPromptWithoutReferenceCanBeResumed(t *testing.T) {
	whole := newContinuation("no reference Answer:").text(0, 4)
	start := newContinuation("no reference Answer:").text(0, 2)
	assert.Equal(t, start+newContinuation("no reference Answer:"+start).text(0, 2), whole)
}
