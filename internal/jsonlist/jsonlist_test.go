package jsonlist

import (
	"encoding/json"
	"runtime"
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
		got, err := Decode(json.RawMessage(data), 10, func(raw json.RawMessage, err error) (item, bool) {
			assert.Assert(t, err != nil)
			return item{N: -1}, string(raw) != `"left out"`
		})
		assert.NilError(t, err, data)
		assert.DeepEqual(t, got, want)
	}
	for _, data := range []string{``, `{}`, `5`, `[1`, `[1]]`, strings.Repeat("[", 20_000) + strings.Repeat("]", 20_000)} {
		_, err := Decode(json.RawMessage(data), 10, func(json.RawMessage, error) (item, bool) { return item{}, true })
		assert.Assert(t, err != nil, "%.40s", data)
	}
}

// Guards against a list of many short items taking many times the memory of its text.
func TestLongListsAreRejected(t *testing.T) {
	const maxItems = 3
	leaveOut := func(json.RawMessage, error) (item, bool) { return item{}, false }
	for data, want := range map[string]error{
		`[{"N":1},{"N":2},{"N":3}]`:               nil,
		`[0,[0,0,0,0],{"a":0,"b":0,"c":0,"d":0}]`: nil,
		`["a,,,,\",,,,","\\",",,"]`:               nil,
		`[{"N":1},{"N":2},{"N":3},{"N":4}]`:       ErrTooLong,
		`["\\",",","\",",0]`:                      ErrTooLong,
		"[" + strings.Repeat("0,", 1<<20) + "0]":  ErrTooLong,
	} {
		raw := []byte(data)
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		_, err := Decode(raw, maxItems, leaveOut)
		runtime.ReadMemStats(&after)
		assert.Equal(t, err, want, "%.40s", data)
		allocated := after.TotalAlloc - before.TotalAlloc
		assert.Assert(t, allocated < 64<<10, "%.40s: %d bytes", data, allocated)
	}
}
