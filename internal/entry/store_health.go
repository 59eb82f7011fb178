package entry

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/vanillagate/vanillagate/internal/backing"
	"github.com/vanillagate/vanillagate/internal/query/status"
)

// storeHealth records whether the platform's services respond, for operators.
type storeHealth struct {
	mu     sync.Mutex // guards stores; no other lock is taken under it
	stores map[status.StoreName]status.Store
}

func newStoreHealth() *storeHealth { return &storeHealth{stores: map[status.StoreName]status.Store{}} }

// record records the result of a call. ErrNotFound counts as a successful
// answer, and a call that its own caller cancelled is ignored.
func (h *storeHealth) record(ctx context.Context, name status.StoreName, err error) {
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

func (h *storeHealth) report() []status.Store {
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

// monitoredTable records whether the table service responds.
type monitoredTable struct {
	backing.Table
	health *storeHealth
}

// Get implements backing.Table.
func (w monitoredTable) Get(ctx context.Context, key backing.Key) (*backing.Row, error) {
	row, err := w.Table.Get(ctx, key)
	w.health.record(ctx, status.StoreTable, err)
	return row, err
}

// Scan implements backing.Table.
func (w monitoredTable) Scan(ctx context.Context, partition, after string, limit int) ([]backing.Row, error) {
	rows, err := w.Table.Scan(ctx, partition, after, limit)
	w.health.record(ctx, status.StoreTable, err)
	return rows, err
}

// Commit implements backing.Table.
func (w monitoredTable) Commit(ctx context.Context, writes []backing.Write) ([]backing.Conflict, error) {
	conflicts, err := w.Table.Commit(ctx, writes)
	w.health.record(ctx, status.StoreTable, err)
	return conflicts, err
}

// monitoredObjects records whether the object store responds.
type monitoredObjects struct {
	backing.ObjectStore
	health *storeHealth
}

// Get implements backing.ObjectStore.
func (w monitoredObjects) Get(ctx context.Context, name string) ([]byte, error) {
	body, err := w.ObjectStore.Get(ctx, name)
	w.health.record(ctx, status.StoreObjects, err)
	return body, err
}

// Put implements backing.ObjectStore.
func (w monitoredObjects) Put(ctx context.Context, name string, body []byte) error {
	err := w.ObjectStore.Put(ctx, name, body)
	w.health.record(ctx, status.StoreObjects, err)
	return err
}

// monitoredVMs records whether the VM list responds.
type monitoredVMs struct {
	backing.VMList
	health *storeHealth
}

// List implements backing.VMList.
func (w monitoredVMs) List(ctx context.Context) ([]backing.VM, error) {
	list, err := w.VMList.List(ctx)
	w.health.record(ctx, status.StoreVMList, err)
	return list, err
}
