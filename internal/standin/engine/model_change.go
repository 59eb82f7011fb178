package engine

import (
	"context"
	"slices"

	"github.com/vanillagate/vanillagate/internal/targetapi"
)

// Serves reports whether the engine has loaded a model or adapter of that name.
// The empty name matches any model.
func (e *Engine) Serves(model string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return model == "" || model == e.serving.Model || slices.Contains(e.serving.Adapters, model)
}

// Serving returns what the engine has loaded.
func (e *Engine) Serving() Serving {
	e.mu.Lock()
	defer e.mu.Unlock()
	copied := e.serving
	copied.Adapters = slices.Clone(e.serving.Adapters)
	return copied
}

// beginChange waits until no other change of model or adapters is in progress.
// Changes are applied one at a time, so that one with an old fencing token can't
// take effect after a newer one that arrived while it was loading. The caller
// must call endChange.
func (e *Engine) beginChange(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case e.changing <- struct{}{}:
		return nil
	}
}

func (e *Engine) endChange() { <-e.changing }

// SetModel loads a model and version and sets the role. It returns when the
// engine serves the model; until then new requests are refused, while running
// ones finish on the old model. A change of only the role takes no time and
// keeps the cache.
func (e *Engine) SetModel(ctx context.Context, request targetapi.SetModelRequest) error {
	current := e.Serving()
	if current.Model == request.Model && current.Version == request.Version {
		e.setRole(request.Role)
		return nil
	}
	e.setLoading(true)
	defer e.setLoading(false)
	if err := e.weights.load(ctx, millis(e.costs.ModelLoadMS)); err != nil {
		return err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.serving = Serving{Model: request.Model, Version: request.Version, Role: request.Role}
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

// LoadAdapter loads an adapter and returns when the engine serves it.
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

// UnloadAdapter unloads an adapter. It returns false if the adapter is not
// loaded.
func (e *Engine) UnloadAdapter(name string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	index := slices.Index(e.serving.Adapters, name)
	if index < 0 {
		return false
	}
	e.serving.Adapters = slices.Delete(e.serving.Adapters, index, index+1)
	return true
}
