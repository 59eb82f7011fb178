package config

import (
	"encoding/json"
	"testing"

	"gotest.tools/v3/assert"
)

func TestContractRoundTrip(t *testing.T) {
	balance := 0.5
	want := Contract{Customer: "granite", KeyHashes: []string{"ab"}, Share: 2, Balance: &balance}
	raw, err := json.Marshal(want)
	assert.NilError(t, err)
	var got Contract
	assert.NilError(t, json.Unmarshal(raw, &got))
	assert.DeepEqual(t, got, want)
}

func TestPoolAccepts(t *testing.T) {
	tests := []struct {
		name    string
		pool    Pool
		version string
		want    bool
	}{
		{"pool without version", Pool{}, "1", true},
		{"target without version", Pool{Version: "2"}, "", true},
		{"configured version", Pool{Version: "2"}, "2", true},
		{"old version", Pool{Version: "2"}, "1", false},
		{"old version during an update", Pool{Version: "2", AlsoVersions: []string{"1"}}, "1", true},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) { assert.Equal(t, tc.pool.Accepts(tc.version), tc.want) })
	}
}
