package unusable

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
)

func TestEachRowIsNewOnce(t *testing.T) {
	var rows Rows
	assert.Assert(t, rows.Add("a", "no address"))
	assert.Assert(t, !rows.Add("a", "no address"))
	assert.Assert(t, rows.Add("a", "no slots"))
	assert.Assert(t, rows.Add("b", "no slots"))
	assert.Equal(t, rows.Len(), 2)
	rows.Remove("a")
	rows.Remove("c")
	assert.Equal(t, rows.Len(), 1)
	assert.Assert(t, rows.Add("a", "no slots"))
}

// Guards against memory that grows with the rows that another writer leaves.
func TestRowsAreLimited(t *testing.T) {
	var rows Rows
	for i := range 10 * maxRows {
		rows.Add(fmt.Sprint(i), "odd")
	}
	assert.Assert(t, rows.Len() <= maxRows)
}
