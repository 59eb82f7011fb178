package change

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/vanillagate/vanillagate/internal/config"
)

func TestValidate(t *testing.T) {
	hash := strings.Repeat("ab", 32)
	state := config.NewState()
	state.Pools["llm"] = config.Pool{Name: "llm", Kind: config.TargetEngine}
	state.Pools["app"] = config.Pool{Name: "app", Kind: config.TargetService}
	state.Pipelines["quote"] = config.Pipeline{Name: "quote", Stages: []config.Stage{{Name: "g", Pool: "llm"}}}
	state.Contracts["other"] = config.Contract{Customer: "other", KeyHashes: []string{hash}}
	state.LastChanges["pool/llm"] = config.LastChange{Revision: 1}
	cases := []struct {
		name string
		kind config.Kind
		item string
		body string
		want string // part of an error message; empty if valid
	}{
		{"valid contract", config.KindContract, "a", `{"customer":"a","key_hashes":[]}`, ""},
		{"misspelt limit", config.KindContract, "a", `{"customer":"a","requests_per_sec":1}`, "unknown field"},
		{"negative limit", config.KindContract, "a", `{"customer":"a","in_flight":-1}`, "in_flight: not negative"},
		{"unhashed key", config.KindContract, "a", `{"customer":"a","key_hashes":["secret"]}`, "64 lower-case hex"},
		{"key of another customer", config.KindContract, "a", `{"customer":"a","key_hashes":["` + hash + `"]}`, "in use by another"},
		{"name differs from item", config.KindContract, "b", `{"customer":"a"}`, "must be the item's name"},
		{"two items", config.KindContract, "a", `{"customer":"a"} {}`, "text after"},
		{"slash in name", config.KindContract, "a/b", `{"customer":"a/b"}`, "letters, digits"},
		{"balance above 1", config.KindContract, "a", `{"customer":"a","balance":2}`, "balance: 0 to 1"},
		{"valid pool", config.KindPool, "p", `{"name":"p","kind":"engine","model":"m"}`, ""},
		{"unknown pool kind", config.KindPool, "p", `{"name":"p","kind":"gpu"}`, "kind"},
		{"pool in use changes kind", config.KindPool, "llm", `{"name":"llm","kind":"encoder"}`, "pipeline/quote uses"},
		{"no such pool", config.KindPipeline, "p", `{"name":"p","stages":[{"name":"s","pool":"x"}]}`, "no such pool"},
		{"service pool in pipeline", config.KindPipeline, "p", `{"name":"p","stages":[{"name":"s","pool":"app"}]}`, "plain services"},
		{"valid service", config.KindService, "s", `{"name":"s","pool":"app","routes":[{"method":"POST","path_prefix":"/"}]}`, ""},
		{"engine pool in service", config.KindService, "s", `{"name":"s","pool":"llm","routes":[{"method":"POST","path_prefix":"/"}]}`, "of kind engine"},
		{"stop without IP address", config.KindStop, "s", `{"id":"s","on":"vm","address":"here","by":"","at":"2026-01-01T00:00:00Z"}`, "IP:port"},
		{"unknown kind", "thing", "s", `{}`, "kind"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			got := Validate(state, Request{ID: "id", Kind: c.kind, Name: c.item, Body: []byte(c.body), By: "op"})
			if c.want == "" {
				assert.Equal(t, len(got), 0, "%v", got)
				return
			}
			assert.Assert(t, strings.Contains(strings.Join(got, "; "), c.want), "%v", got)
		})
	}
	inUse := Validate(state, Request{ID: "id", Kind: config.KindPool, Name: "llm", Deleted: true, By: "op"})
	assert.DeepEqual(t, inUse, []string{"pipeline/quote uses the pool"})
}
