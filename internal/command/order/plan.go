// Package order makes the engines of a pool serve the configured models. Orders
// are declarative: the engine's report is compared with the configuration and
// orders are repeated until the two agree. An order that was lost, arrived late
// or came from an earlier holder of the lease therefore does no lasting harm.
package order

import (
	"slices"

	"github.com/vanillagate/vanillagate/internal/config"
	"github.com/vanillagate/vanillagate/internal/targetapi"
)

// Order is one call to an engine. Exactly one field is set, except in the zero
// value, which is an empty order.
type Order struct {
	SetModel      *targetapi.SetModelRequest
	LoadAdapter   *targetapi.AdapterRequest
	UnloadAdapter *targetapi.AdapterRequest
}

// IsEmpty returns whether there is nothing to order.
func (o Order) IsEmpty() bool { return o == Order{} }

// LoadsWeights returns whether the order makes the engine load weights.
func (o Order) LoadsWeights() bool { return o.SetModel != nil || o.LoadAdapter != nil }

// IsManaged returns whether the pool's engines receive orders at all.
func IsManaged(pool config.Pool) bool { return pool.Kind == config.TargetEngine && pool.Model != "" }

// Next returns the next order that brings an engine from the reported towards
// the configured state: first the model, version and role, then the adapter,
// then the removal of adapters that are not configured.
func Next(pool config.Pool, report targetapi.ModelList) Order {
	if !IsManaged(pool) {
		return Order{}
	}
	base, adapters := splitModels(report)
	if wanted := wantedModel(pool, base); base == nil || modelDiffers(*base, wanted) {
		return Order{SetModel: &wanted}
	}
	if pool.Adapter == "" {
		return Order{}
	}
	if !slices.Contains(adapters, pool.Adapter) {
		return Order{LoadAdapter: &targetapi.AdapterRequest{LoraName: pool.Adapter}}
	}
	for _, adapter := range adapters {
		if adapter != pool.Adapter {
			return Order{UnloadAdapter: &targetapi.AdapterRequest{LoraName: adapter}}
		}
	}
	return Order{}
}

func splitModels(report targetapi.ModelList) (base *targetapi.ModelCard, adapters []string) {
	for _, card := range report.Data {
		if card.Parent != "" {
			adapters = append(adapters, card.ID)
		} else if base == nil {
			base = &card
		}
	}
	return base, adapters
}

// wantedModel returns the pool's model; settings that the pool leaves empty are
// taken from the engine.
func wantedModel(pool config.Pool, base *targetapi.ModelCard) targetapi.SetModelRequest {
	wanted := targetapi.SetModelRequest{Model: pool.Model, Version: pool.Version, Role: pool.Role}
	if base == nil {
		return wanted
	}
	if wanted.Role == "" {
		wanted.Role = base.Role
	}
	if wanted.Version == "" && base.ID == wanted.Model {
		wanted.Version = base.Version
	}
	return wanted
}

func modelDiffers(base targetapi.ModelCard, wanted targetapi.SetModelRequest) bool {
	return base.ID != wanted.Model || base.Version != wanted.Version || base.Role != wanted.Role
}
