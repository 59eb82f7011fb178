// Package revision orders the states of a store that may come back from a copy of itself.
package revision

import (
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
	"sync/atomic"
)

// Revision is a state of the store: an era, and the version that the store gave out in it. Versions are ordered within
// an era only. A store that comes back from a copy begins a new era, and gives out again the versions that it gave out
// after the copy was made. Revisions are ordered by era, then by version; they compare as numbers. The zero value is
// before all others. Era 0 is that of a store, or of an earlier release of this system, that knows no eras.
//
// In JSON, a revision is its version alone, as earlier releases send it. The era is sent beside it.
type Revision uint64

// versionBits is the number of low bits that hold the version.
const versionBits = 44

const (
	maxVersion = 1<<versionBits - 1
	maxEra     = 1<<(64-versionBits) - 1
)

// ErrTooLarge means that an era or a version exceeds what a Revision holds.
var ErrTooLarge = errors.New("era or version is too large")

// Of returns the revision of a version in an era.
func Of(era, version uint64) (Revision, error) {
	if era > maxEra || version > maxVersion {
		return 0, fmt.Errorf("%w: era %d, version %d", ErrTooLarge, era, version)
	}
	return Revision(era<<versionBits | version), nil
}

// Era returns the era, 0 if none is known.
func (r Revision) Era() uint64 { return uint64(r) >> versionBits }

// Version returns the version in the era.
func (r Revision) Version() uint64 { return uint64(r) & maxVersion }

// InEra returns the revision of the same version in another era. Eras that are too large count as the largest one.
func (r Revision) InEra(era uint64) Revision {
	return Revision(min(era, maxEra)<<versionBits | r.Version())
}

// EraStart returns the revision before all others of the era.
func (r Revision) EraStart() Revision { return r - Revision(r.Version()) }

// String formats the revision as era/version, or as the version alone in era 0.
func (r Revision) String() string {
	if r.Era() == 0 {
		return strconv.FormatUint(r.Version(), 10)
	}
	return fmt.Sprintf("%d/%d", r.Era(), r.Version())
}

// MarshalJSON implements json.Marshaler.
func (r Revision) MarshalJSON() ([]byte, error) { return json.Marshal(r.Version()) }

// UnmarshalJSON implements json.Unmarshaler.
func (r *Revision) UnmarshalJSON(data []byte) error {
	var version uint64
	if err := json.Unmarshal(data, &version); err != nil {
		return err
	}
	read, err := Of(0, version)
	*r = read
	return err
}

// Atomic is a Revision that several goroutines use. Its zero value holds the zero Revision.
type Atomic struct{ value atomic.Uint64 }

// Load returns the revision.
func (a *Atomic) Load() Revision { return Revision(a.value.Load()) }

// Store replaces the revision.
func (a *Atomic) Store(r Revision) { a.value.Store(uint64(r)) }
