// Package backing is the client side of the services behind the system: a
// transactional table service, an object store and a VM list. The
// interfaces here are what the rest of the system sees of it.
package backing

import (
	"context"
	"errors"
)

// Errors of the platform's services. Each may be wrapped; test with errors.Is.
var (
	// ErrNotRun means that the call certainly had no effect (refused, or never
	// sent).
	ErrNotRun = errors.New("backing: call had no effect")
	// ErrUnknown means that the answer was lost: the call may have had its
	// effect. Read again by the write's own identity before saying anything.
	ErrUnknown = errors.New("backing: effect of call is unknown")
	// ErrNotFound means that the object does not exist.
	ErrNotFound = errors.New("backing: not found")
)

// Key names a row. Rows of a partition are ordered by Sort.
type Key struct {
	Partition string
	Sort      string
}

// Row is a row of the table. Version is 1 for a new row and grows by one with
// each write made through IfVersion.
type Row struct {
	Key
	Version uint64
	Body    []byte
}

// Condition guards a Write.
type Condition int

// The conditions.
const (
	// Always writes whatever is there.
	Always Condition = iota
	// IfAbsent writes only where no row stands.
	IfAbsent
	// IfVersion writes only where the row stands at the given version.
	IfVersion
)

// Write puts one row.
type Write struct {
	Row     Row
	If      Condition
	Version uint64 // the version expected by IfVersion
	Delete  bool   // delete instead of put
}

// Conflict says that the write at Index failed its condition. Found is the
// row that stands there, nil if there is none.
type Conflict struct {
	Index int
	Found *Row
}

// Table is the transactional table service.
type Table interface {
	// Get reads one row with strong consistency; nil if there is none.
	Get(ctx context.Context, key Key) (*Row, error)
	// Scan reads rows of a partition with Sort greater than after, in order,
	// at most limit of them.
	Scan(ctx context.Context, partition, after string, limit int) ([]Row, error)
	// Commit applies all writes (100 at most) or none. Conflicts are an
	// outcome, not an error: when any is returned nothing was written.
	Commit(ctx context.Context, writes []Write) ([]Conflict, error)
}

// ObjectStore keeps whole objects by name.
type ObjectStore interface {
	Get(ctx context.Context, name string) ([]byte, error)
	Put(ctx context.Context, name string, body []byte) error
}

// VMState is what the VM list says of a VM.
type VMState string

// The states of a listed VM.
const (
	VMLive    VMState = "live"
	VMLeaving VMState = "leaving"
)

// VMRole says what runs on a listed VM.
type VMRole string

// The roles of listed VMs.
const (
	RoleEntry  VMRole = "entry"
	RoleTarget VMRole = "target"
)

// VM is one row of the VM list.
type VM struct {
	// Address is the IP:port where callers (entry) or we (target) connect.
	Address string
	// PeerAddress is the IP:port of an entry VM's peer side; empty for targets.
	PeerAddress string
	Role        VMRole
	// Pool is the pool that a target belongs to.
	Pool   string
	Zone   string
	Region string
	State  VMState
}

// VMList is the platform's lagging list of VMs.
type VMList interface {
	List(ctx context.Context) ([]VM, error)
}
