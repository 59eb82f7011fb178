package jsonlist

import (
	"encoding/json"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

type item struct{ N int }

// Guards against one odd item of a list taking the others with it.
func TestOddItemsAreReplacedOrLeftOut(t *testing.T) {
	for data, want := range map[string][]item{
		`null`:                            nil,
		`[]`:                              {},
		`[{"N":1},{"N":2}]`:               {{1}, {2}},
		`[{"N":1},{"N":"x"},{"N":2}]`:     {{1}, {-1}, {2}},
		`[{"N":1},5,{"N":1e300},{"N":2}]`: {{1}, {-1}, {-1}, {2}},
		`["left out",{"N":1},null]`:       {{1}, {0}},
		`[{"N":1},` + strings.Repeat("[", 500) + strings.Repeat("]", 500) + `]`: {{1}, {-1}},
	} {
		got, err := Decode(json.RawMessage(data), func(raw json.RawMessage, err error) (item, bool) {
			assert.Assert(t, err != nil)
			return item{N: -1}, string(raw) != `"left out"`
		})
		assert.NilError(t, err, data)
		assert.DeepEqual(t, got, want)
	}
	for _, data := range []string{``, `{}`, `5`, `[1`, `[1]]`, strings.Repeat("[", 20_000) + strings.Repeat("]", 20_000)} {
		_, err := Decode(json.RawMessage(data), func(json.RawMessage, error) (item, bool) { return item{}, true })
		assert.Assert(t, err != nil, "%.40s", data)
	}
}
