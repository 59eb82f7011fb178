package engine

import (
	"context"
	"slices"

	"github.com/vanillagate/vanillagate/internal/targetapi"
)

// Serves says whether the engine has the model, or an adapter, of that name.
// The empty name is whatever it has.
func (e *Engine) Serves(model string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return model == "" || model == e.serving.Model || slices.Contains(e.serving.Adapters, model)
}

// Serving is what the engine has loaded now.
func (e *Engine) Serving() Serving {
	e.mu.Lock()
	defer e.mu.Unlock()
	copied := e.serving
	copied.Adapters = slices.Clone(e.serving.Adapters)
	return copied
}

// beginOrder waits until no other order is carried out. Orders go one after
// another, so that one with an old fencing token can't end behind a newer one
// that came while it was loading. The caller must endOrder.
func (e *Engine) beginOrder(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case e.orders <- struct{}{}:
		return nil
	}
}

func (e *Engine) endOrder() { <-e.orders }

// SetModel loads a model and version and takes a role. It returns when the
// engine serves it; until then new requests are refused, and those that run
// finish on the old one. A change of the role alone takes no time and keeps
// the cache.
func (e *Engine) SetModel(ctx context.Context, order targetapi.SetModelRequest) error {
	now := e.Serving()
	if now.Model == order.Model && now.Version == order.Version {
		e.setRole(order.Role)
		return nil
	}
	e.setLoading(true)
	defer e.setLoading(false)
	if err := e.weights.load(ctx, millis(e.costs.ModelLoadMS)); err != nil {
		return err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.serving = Serving{Model: order.Model, Version: order.Version, Role: order.Role}
	e.clearCache()
	return nil
}

func (e *Engine) setRole(role string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.serving.Role = role
}

func (e *Engine) setLoading(loading bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.loading = loading
}

// LoadAdapter loads an adapter; it returns when the engine serves it.
func (e *Engine) LoadAdapter(ctx context.Context, name string) error {
	if slices.Contains(e.Serving().Adapters, name) {
		return nil
	}
	if err := e.weights.load(ctx, millis(e.costs.AdapterLoadMS)); err != nil {
		return err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.serving.Adapters = append(e.serving.Adapters, name)
	return nil
}

// UnloadAdapter drops an adapter; false if it is not loaded.
func (e *Engine) UnloadAdapter(name string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	at := slices.Index(e.serving.Adapters, name)
	if at < 0 {
		return false
	}
	e.serving.Adapters = slices.Delete(e.serving.Adapters, at, at+1)
	return true
}
