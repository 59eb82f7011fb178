package plan

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a key without text, as a null in a list of keys is read, opening all routes to requests without a key.
func TestEmptyKeyBelongsToNobody(t *testing.T) {
	p := &Plan{Teams: []Team{{Name: "t", Keys: []string{"", "k"}}}}
	p.Index()
	assert.Assert(t, p.TeamByKey("") == nil)
	assert.Equal(t, p.TeamByKey("k").Name, "t")
}
