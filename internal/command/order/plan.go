// Package order has the engines of a pool serve what the configuration wants.
// Orders are declarative: they are compared with what the engine reports and
// repeated until the two agree, so an order that was lost, came late or came
// from an earlier holder of the lease does no lasting harm.
package order

import (
	"slices"

	"github.com/vanillagate/vanillagate/internal/config"
	"github.com/vanillagate/vanillagate/internal/targetapi"
)

// Order is one call to an engine. Exactly one field is set, except in the
// zero value, which orders nothing.
type Order struct {
	SetModel      *targetapi.SetModelRequest
	LoadAdapter   *targetapi.AdapterRequest
	UnloadAdapter *targetapi.AdapterRequest
}

// IsEmpty says that nothing is to be ordered.
func (o Order) IsEmpty() bool { return o == Order{} }

// LoadsWeights says that the order has the engine fetch weights.
func (o Order) LoadsWeights() bool { return o.SetModel != nil || o.LoadAdapter != nil }

// IsManaged says whether the pool's engines are to be ordered at all.
func IsManaged(pool config.Pool) bool { return pool.Kind == config.TargetEngine && pool.Model != "" }

// Next is the next order that brings an engine from what it reports towards
// what its pool wants: first the model, version and role, then the adapter,
// then away with adapters that nobody wants.
func Next(pool config.Pool, report targetapi.ModelList) Order {
	if !IsManaged(pool) {
		return Order{}
	}
	base, adapters := split(report)
	if wanted := wantedModel(pool, base); base == nil || differs(*base, wanted) {
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

func split(report targetapi.ModelList) (base *targetapi.ModelCard, adapters []string) {
	for _, card := range report.Data {
		if card.Parent != "" {
			adapters = append(adapters, card.ID)
		} else if base == nil {
			base = &card
		}
	}
	return base, adapters
}

// wantedModel fills what the pool leaves open with what the engine has.
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

func differs(base targetapi.ModelCard, wanted targetapi.SetModelRequest) bool {
	return base.ID != wanted.Model || base.Version != wanted.Version || base.Role != wanted.Role
}
