package check

import (
	"testing"

	"gotest.tools/v3/assert"
)

func TestPipelineOutput(t *testing.T) {
	cases := []struct {
		name, output string
		want         Finding
	}{
		{"complete", "a:0 a:1 a:2", Complete},
		{"empty", "", Partial},
		{"cut at the end", "a:0 a:1", Partial},
		{"word missing in the middle", "a:0 a:2", Partial},
		{"one word too many", "a:0 a:1 a:2 a:3", Partial},
		{"word twice after a resumed stream", "a:0 a:1 a:1 a:2", Duplicated},
		{"restarts at the first word", "a:0 a:1 a:2 a:0", Duplicated},
		{"another request's word", "a:0 b:1 a:2", ForeignContent},
		{"another request's answer", "b:0 b:1 b:2", ForeignContent},
		{"longer ref with the same start", "a:0 ab:1 a:2", ForeignContent},
	}
	for _, c := range cases {
		assert.Equal(t, PipelineOutput("a", 3, c.output), c.want, c.name)
	}
}

func TestServiceAnswer(t *testing.T) {
	assert.Equal(t, ServiceAnswer("a", `{"echo":"book hall [ref:a]"}`), Complete)
	assert.Equal(t, ServiceAnswer("a", `{"echo":"book hall [ref:b]"}`), ForeignContent)
	assert.Equal(t, ServiceAnswer("a", `{}`), Partial)
}
