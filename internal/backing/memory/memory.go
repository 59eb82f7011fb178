// Package memory implements the table service and the object store in memory for
// unit tests, with fault injection.
package memory

import (
	"context"
	"slices"
	"strings"
	"sync"

	"github.com/vanillagate/vanillagate/internal/backing"
)

// Fault is a fault to inject into a call.
type Fault int

// The faults.
const (
	// None lets the call succeed.
	None Fault = iota
	// NotRun rejects the call before it takes effect.
	NotRun
	// LostAnswer lets the call take effect and loses the answer.
	LostAnswer
	// LostCall loses the call before it takes effect. The caller gets the same error
	// as for LostAnswer.
	LostCall
)

// Call describes a call to the function set by SetFaults.
type Call struct {
	// Write is set for a Commit or a Put.
	Write bool
	// Writes are the rows of a Commit.
	Writes []backing.Write
}

// Store is a backing.Table; Objects returns its object store. Create it with New.
type Store struct {
	mu      sync.Mutex // guards the fields below
	rows    map[backing.Key]backing.Row
	objects map[string][]byte
	faults  func(Call) Fault
	commits int
}

var _ backing.Table = (*Store)(nil)

// New returns an empty store without faults.
func New() *Store {
	return &Store{rows: map[backing.Key]backing.Row{}, objects: map[string][]byte{}}
}

// SetFaults sets a function that chooses the fault of each call from now on; nil
// removes it. It is called under the store's lock and must not call the store.
func (s *Store) SetFaults(fn func(Call) Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = fn
}

// Commits returns the number of calls of Commit, including failed ones.
func (s *Store) Commits() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.commits
}

// Objects returns the object store. It shares its faults with the table.
func (s *Store) Objects() backing.ObjectStore { return objectStore{s} }

// Get implements backing.Table.
func (s *Store) Get(ctx context.Context, key backing.Key) (*backing.Row, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, err := s.applyFault(ctx, Call{}); err != nil {
		return nil, err
	}
	return s.find(key), nil
}

// Scan implements backing.Table.
func (s *Store) Scan(ctx context.Context, partition, after string, limit int) ([]backing.Row, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, err := s.applyFault(ctx, Call{}); err != nil {
		return nil, err
	}
	var found []backing.Row
	for key := range s.rows {
		if key.Partition == partition && key.Sort > after {
			found = append(found, *s.find(key))
		}
	}
	slices.SortFunc(found, func(a, b backing.Row) int { return strings.Compare(a.Sort, b.Sort) })
	return found[:min(limit, len(found))], nil
}

// Commit implements backing.Table.
func (s *Store) Commit(ctx context.Context, writes []backing.Write) ([]backing.Conflict, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.commits++
	lost, err := s.applyFault(ctx, Call{Write: true, Writes: writes})
	if err != nil {
		return nil, err
	}
	conflicts := s.commit(writes)
	if lost {
		return nil, backing.ErrUnknown
	}
	return conflicts, nil
}

func (s *Store) commit(writes []backing.Write) []backing.Conflict {
	var conflicts []backing.Conflict
	for i, w := range writes {
		found := s.find(w.Row.Key)
		if !conditionHolds(w, found) {
			conflicts = append(conflicts, backing.Conflict{Index: i, Found: found})
		}
	}
	if len(conflicts) > 0 {
		return conflicts
	}
	for _, w := range writes {
		s.put(w)
	}
	return nil
}

func (s *Store) put(w backing.Write) {
	if w.Delete {
		delete(s.rows, w.Row.Key)
		return
	}
	row := w.Row
	row.Version = backing.NextVersion(w)
	row.Body = slices.Clone(row.Body)
	s.rows[row.Key] = row
}

func (s *Store) find(key backing.Key) *backing.Row {
	row, ok := s.rows[key]
	if !ok {
		return nil
	}
	row.Body = slices.Clone(row.Body)
	return &row
}

// applyFault applies the fault of the call. It returns lost if the call takes effect
// and its answer is lost.
func (s *Store) applyFault(ctx context.Context, call Call) (lost bool, err error) {
	if ctx.Err() != nil {
		return false, backing.ErrNotRun
	}
	if s.faults == nil {
		return false, nil
	}
	switch s.faults(call) {
	case NotRun:
		return false, backing.ErrNotRun
	case LostCall:
		return false, backing.ErrUnknown
	case LostAnswer:
		if !call.Write {
			return false, backing.ErrUnknown
		}
		return true, nil
	default:
		return false, nil
	}
}

func conditionHolds(w backing.Write, found *backing.Row) bool {
	switch w.If {
	case backing.IfAbsent:
		return found == nil
	case backing.IfVersion:
		return found != nil && found.Version == w.Version
	default:
		return true
	}
}

type objectStore struct{ s *Store }

// Get implements backing.ObjectStore.
func (o objectStore) Get(ctx context.Context, name string) ([]byte, error) {
	o.s.mu.Lock()
	defer o.s.mu.Unlock()
	if _, err := o.s.applyFault(ctx, Call{}); err != nil {
		return nil, err
	}
	body, ok := o.s.objects[name]
	if !ok {
		return nil, backing.ErrNotFound
	}
	return slices.Clone(body), nil
}

// Put implements backing.ObjectStore.
func (o objectStore) Put(ctx context.Context, name string, body []byte) error {
	o.s.mu.Lock()
	defer o.s.mu.Unlock()
	lost, err := o.s.applyFault(ctx, Call{Write: true})
	if err != nil {
		return err
	}
	o.s.objects[name] = slices.Clone(body)
	if lost {
		return backing.ErrUnknown
	}
	return nil
}
