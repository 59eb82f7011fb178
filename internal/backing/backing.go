// Package backing defines the interfaces to the services of the platform that the
// system depends on: a transactional table service, an object store and a VM list.
// The clients are in its subpackages.
package backing

import (
	"context"
	"errors"
)

// Errors of the platform's services. They may be wrapped; test with errors.Is.
var (
	// ErrNotRun means that the call certainly had no effect: it was rejected, or
	// never sent.
	ErrNotRun = errors.New("backing: call had no effect")
	// ErrUnknown means that no usable answer arrived: the call may have taken effect.
	// Before reporting an outcome, read whether the write, identified by a unique ID
	// in its row, is there.
	ErrUnknown = errors.New("backing: effect of call is unknown")
	// ErrNotFound means that the object does not exist.
	ErrNotFound = errors.New("backing: not found")
)

// Key identifies a row. The rows of a partition are sorted by Sort.
type Key struct {
	Partition string
	Sort      string
}

// Row is a row of the table. Version is 1 for a new row and increases by one with
// each write that uses IfVersion.
type Row struct {
	Key
	Version uint64
	Body    []byte
}

// Condition is the precondition of a Write.
type Condition int

// The conditions.
const (
	// Always writes unconditionally.
	Always Condition = iota
	// IfAbsent writes only if the row does not exist.
	IfAbsent
	// IfVersion writes only if the row exists with the given version.
	IfVersion
)

// Write puts or deletes one row.
type Write struct {
	Row     Row
	If      Condition
	Version uint64 // the version expected by IfVersion
	Delete  bool   // delete instead of put
}

// Conflict reports that the condition of the write at Index did not hold. Found is
// the existing row, nil if there is none.
type Conflict struct {
	Index int
	Found *Row
}

// Table is the transactional table service.
type Table interface {
	// Get reads one row with strong consistency. It returns nil if there is none.
	Get(ctx context.Context, key Key) (*Row, error)
	// Scan reads at most limit rows of a partition whose Sort is greater than after,
	// in order.
	Scan(ctx context.Context, partition, after string, limit int) ([]Row, error)
	// Commit applies all writes (at most 100) or none. Conflicts are not an error: if
	// any are returned, nothing was written.
	Commit(ctx context.Context, writes []Write) ([]Conflict, error)
}

// ScanAll calls visit for all rows of a partition whose Sort is greater than after, in order. It
// reads pageSize rows at a time, and ends at the first error, also of visit.
func ScanAll(ctx context.Context, table Table, partition, after string, pageSize int, visit func(Row) error) error {
	for {
		rows, err := table.Scan(ctx, partition, after, pageSize)
		if err != nil {
			return err
		}
		for _, row := range rows {
			if err := visit(row); err != nil {
				return err
			}
			after = row.Sort
		}
		if len(rows) < pageSize {
			return nil
		}
	}
}

// ObjectStore stores objects by name.
type ObjectStore interface {
	Get(ctx context.Context, name string) ([]byte, error)
	Put(ctx context.Context, name string, body []byte) error
}

// VMState is the state of a VM in the VM list.
type VMState string

// The states of a listed VM.
const (
	VMLive    VMState = "live"
	VMLeaving VMState = "leaving"
)

// VMRole is what runs on a listed VM.
type VMRole string

// The roles of listed VMs.
const (
	RoleEntry  VMRole = "entry"
	RoleTarget VMRole = "target"
)

// VM is one row of the VM list.
type VM struct {
	// Address is the IP:port to which callers connect (entry VM), or to which entry
	// processes connect (target).
	Address string
	// PeerAddress is the IP:port on which an entry VM listens for its peers; empty
	// for targets.
	PeerAddress string
	Role        VMRole
	// Pool is the pool that a target belongs to.
	Pool   string
	Zone   string
	Region string
	State  VMState
}

// VMList is the platform's list of VMs. It lags behind the actual state.
type VMList interface {
	List(ctx context.Context) ([]VM, error)
}
