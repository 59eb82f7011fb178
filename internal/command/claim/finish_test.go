package claim

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a kept answer that is returned as complete although its target's wasn't framed.
func TestRecordedAnswerStaysUnframed(t *testing.T) {
	for _, unframed := range []bool{true, false} {
		want := Answer{Status: 200, ContentType: "text/plain", Body: []byte("hello"), Unframed: unframed}
		recorded := newRecordedAnswer(Grant{}, want)
		got, err := loadAnswer(t.Context(), nil, &recorded)
		assert.NilError(t, err)
		assert.DeepEqual(t, *got, want)
	}
}
