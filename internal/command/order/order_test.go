package order

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/vanillagate/vanillagate/internal/config"
	"github.com/vanillagate/vanillagate/internal/targetapi"
)

func TestNext(t *testing.T) {
	pool := config.Pool{Kind: config.TargetEngine, Model: "m", Version: "2", Adapter: "quotes"}
	base := targetapi.ModelCard{ID: "m", Version: "2", Role: "decode"}
	old := targetapi.ModelCard{ID: "m", Version: "1", Role: "decode"}
	quotes := targetapi.ModelCard{ID: "quotes", Parent: "m"}
	other := targetapi.ModelCard{ID: "other", Parent: "m"}
	adapter := func(name string) *targetapi.AdapterRequest { return &targetapi.AdapterRequest{LoraName: name} }
	cases := []struct {
		name   string
		pool   config.Pool
		report []targetapi.ModelCard
		want   Order
	}{
		{"nothing loaded", pool, nil, Order{SetModel: &targetapi.SetModelRequest{Model: "m", Version: "2"}}},
		{"old version keeps its role", pool, []targetapi.ModelCard{old, quotes}, Order{SetModel: &targetapi.SetModelRequest{Model: "m", Version: "2", Role: "decode"}}},
		{"adapter is missing", pool, []targetapi.ModelCard{base, other}, Order{LoadAdapter: adapter("quotes")}},
		{"adapter that is not configured", pool, []targetapi.ModelCard{base, quotes, other}, Order{UnloadAdapter: adapter("other")}},
		{"report matches the configuration", pool, []targetapi.ModelCard{base, quotes}, Order{}},
		{"any version", config.Pool{Kind: config.TargetEngine, Model: "m"}, []targetapi.ModelCard{old}, Order{}},
		{"role", config.Pool{Kind: config.TargetEngine, Model: "m", Role: "prefill"}, []targetapi.ModelCard{old}, Order{SetModel: &targetapi.SetModelRequest{Model: "m", Version: "1", Role: "prefill"}}},
		{"pool without a model", config.Pool{Kind: config.TargetEngine}, nil, Order{}},
		{"pool of encoders", config.Pool{Kind: config.TargetEncoder, Model: "m"}, nil, Order{}},
	}
	for _, c := range cases {
		assert.DeepEqual(t, Next(c.pool, targetapi.ModelList{Data: c.report}), c.want)
	}
}

func TestChoose(t *testing.T) {
	load := Order{SetModel: &targetapi.SetModelRequest{Model: "m"}}
	unload := Order{UnloadAdapter: &targetapi.AdapterRequest{LoraName: "a"}}
	all := []Candidate{
		{Address: "e", NextOrder: load},
		{Address: "d", NextOrder: load},
		{Address: "c", Busy: true, NextOrder: load},
		{Address: "b"},
		{Address: "a", NextOrder: unload},
	}
	var got []string
	for _, c := range Choose(all, 2) {
		got = append(got, c.Address)
	}
	assert.DeepEqual(t, got, []string{"a", "d"})
	assert.Equal(t, len(Choose(all, 1)), 1)
}
