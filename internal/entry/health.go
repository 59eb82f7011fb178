package entry

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/vanillagate/vanillagate/internal/backing"
	"github.com/vanillagate/vanillagate/internal/query/status"
)

// health notes how the platform's services answer, for operators.
type health struct {
	mu     sync.Mutex // guards stores; a leaf
	stores map[status.StoreName]status.Store
}

func newHealth() *health { return &health{stores: map[status.StoreName]status.Store{}} }

// note takes in how a call ended. An answer that says "not found" is an answer,
// and a call that its own caller cut short says nothing.
func (h *health) note(ctx context.Context, name status.StoreName, err error) {
	if errors.Is(err, backing.ErrNotFound) {
		err = nil
	}
	if err != nil && errors.Is(ctx.Err(), context.Canceled) {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	store := h.stores[name]
	switch {
	case err == nil:
		store = status.Store{Name: name, Up: true}
	case store.Up || store.Since.IsZero():
		store = status.Store{Name: name, LastError: err.Error(), Since: time.Now().UTC()}
	default:
		store.LastError = err.Error()
	}
	h.stores[name] = store
}

func (h *health) report() []status.Store {
	h.mu.Lock()
	defer h.mu.Unlock()
	list := make([]status.Store, 0, len(h.stores))
	for _, name := range []status.StoreName{status.StoreTable, status.StoreObjects, status.StoreVMList} {
		if store, known := h.stores[name]; known {
			list = append(list, store)
		}
	}
	return list
}

// watchedTable notes how the table service answers.
type watchedTable struct {
	backing.Table
	health *health
}

// Get is part of backing.Table.
func (w watchedTable) Get(ctx context.Context, key backing.Key) (*backing.Row, error) {
	row, err := w.Table.Get(ctx, key)
	w.health.note(ctx, status.StoreTable, err)
	return row, err
}

// Scan is part of backing.Table.
func (w watchedTable) Scan(ctx context.Context, partition, after string, limit int) ([]backing.Row, error) {
	rows, err := w.Table.Scan(ctx, partition, after, limit)
	w.health.note(ctx, status.StoreTable, err)
	return rows, err
}

// Commit is part of backing.Table.
func (w watchedTable) Commit(ctx context.Context, writes []backing.Write) ([]backing.Conflict, error) {
	conflicts, err := w.Table.Commit(ctx, writes)
	w.health.note(ctx, status.StoreTable, err)
	return conflicts, err
}

// watchedObjects notes how the object store answers.
type watchedObjects struct {
	backing.ObjectStore
	health *health
}

// Get is part of backing.ObjectStore.
func (w watchedObjects) Get(ctx context.Context, name string) ([]byte, error) {
	body, err := w.ObjectStore.Get(ctx, name)
	w.health.note(ctx, status.StoreObjects, err)
	return body, err
}

// Put is part of backing.ObjectStore.
func (w watchedObjects) Put(ctx context.Context, name string, body []byte) error {
	err := w.ObjectStore.Put(ctx, name, body)
	w.health.note(ctx, status.StoreObjects, err)
	return err
}

// watchedVMs notes how the VM list answers.
type watchedVMs struct {
	backing.VMList
	health *health
}

// List is part of backing.VMList.
func (w watchedVMs) List(ctx context.Context) ([]backing.VM, error) {
	list, err := w.VMList.List(ctx)
	w.health.note(ctx, status.StoreVMList, err)
	return list, err
}
