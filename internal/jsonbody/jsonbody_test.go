package jsonbody

import (
	"bytes"
	"encoding/json"
	"errors"
	"testing"

	"gotest.tools/v3/assert"
)

// A caller's program sends text in another encoding, or sets a field twice. With
// encoding/json alone, the request would silently run with a text or a value that
// the caller didn't mean.
func TestInvalidUTF8AndDuplicateKeysAreDetected(t *testing.T) {
	tests := []struct {
		name, body string
		repeated   string
		notUTF8    bool
	}{
		{name: "plain", body: `{"input":"x","stream":true}`},
		{name: "same key in two objects", body: `{"a":{"k":1},"b":[{"k":1},{"k":2}]}`},
		{name: "no object", body: `"x"`},
		{name: "key twice", body: `{"input":"x","input":"y"}`, repeated: "input"},
		{name: "key twice, spelt differently", body: `{"input":"x","in\u0070ut":"y"}`, repeated: "input"},
		{name: "key twice, nested", body: `{"a":[1,{"k":1,"b":{},"k":2}]}`, repeated: "k"},
		{name: "Latin-1", body: "{\"input\":\"caf\xe9\"}", notUTF8: true},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			err := Check([]byte(tc.body))
			assert.Equal(t, errors.Is(err, ErrNotUTF8), tc.notUTF8)
			var repeated *DuplicateKeyError
			if errors.As(err, &repeated) {
				assert.Equal(t, repeated.Key, tc.repeated)
				return
			}
			assert.Equal(t, tc.repeated, "")
			assert.Equal(t, err == nil, !tc.notUTF8, "%v", err)
		})
	}
}

// FuzzCheck verifies that encoding/json can decode every body that passes Check.
func FuzzCheck(f *testing.F) {
	for _, seed := range []string{`{}`, `[1,{"a":null}]`, `{"a":1,"a":2}`, `{"a"`, `{"a":}`, `[1 2]`, `{1:2}`, "", "\xff"} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		if Check(body) != nil {
			return
		}
		var first json.RawMessage
		assert.NilError(t, json.NewDecoder(bytes.NewReader(body)).Decode(&first))
	})
}
