// Package memory keeps a table and objects in memory, with faults that a test
// switches on. It serves tests of decisions; nothing it holds lasts.
package memory

import (
	"context"
	"slices"
	"strings"
	"sync"

	"github.com/vanillagate/vanillagate/internal/backing"
)

// Fault is what happens to a call.
type Fault int

// The faults.
const (
	// None lets the call through.
	None Fault = iota
	// NotRun refuses the call before it had any effect.
	NotRun
	// LostAnswer lets the call have its effect and loses the answer.
	LostAnswer
	// LostCall loses the call itself; its sender can't tell this from
	// LostAnswer.
	LostCall
)

// Call tells a Faults function which call is about to be made.
type Call struct {
	// Write says that the call is a Commit or a Put.
	Write bool
	// Writes are the rows of a Commit.
	Writes []backing.Write
}

// Store is a Table; Objects gives its ObjectStore. The zero value is not
// ready: use New.
type Store struct {
	mu      sync.Mutex // guards all below
	rows    map[backing.Key]backing.Row
	objects map[string][]byte
	faults  func(Call) Fault
	commits int
}

var _ backing.Table = (*Store)(nil)

// New is an empty store without faults.
func New() *Store {
	return &Store{rows: map[backing.Key]backing.Row{}, objects: map[string][]byte{}}
}

// SetFaults has fn decide the fate of each call from now on; nil clears it.
// The function is called under the store's lock and must not call the store.
func (s *Store) SetFaults(fn func(Call) Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = fn
}

// Commits counts the commits that were asked for.
func (s *Store) Commits() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.commits
}

// Objects is the object store beside the table.
func (s *Store) Objects() backing.ObjectStore { return objectStore{s} }

// Get implements backing.Table.
func (s *Store) Get(ctx context.Context, key backing.Key) (*backing.Row, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, err := s.begin(ctx, Call{}); err != nil {
		return nil, err
	}
	return s.find(key), nil
}

// Scan implements backing.Table.
func (s *Store) Scan(ctx context.Context, partition, after string, limit int) ([]backing.Row, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, err := s.begin(ctx, Call{}); err != nil {
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
	lost, err := s.begin(ctx, Call{Write: true, Writes: writes})
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
		if !holds(w, found) {
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

// begin applies the fault; lost says that the answer will not arrive.
func (s *Store) begin(ctx context.Context, call Call) (lost bool, err error) {
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

func holds(w backing.Write, found *backing.Row) bool {
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
	if _, err := o.s.begin(ctx, Call{}); err != nil {
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
	lost, err := o.s.begin(ctx, Call{Write: true})
	if err != nil {
		return err
	}
	o.s.objects[name] = slices.Clone(body)
	if lost {
		return backing.ErrUnknown
	}
	return nil
}
