package follow

import "errors"

// MaxTableBytes limits the memory of the rows of one table that is read in pages. It leaves the other tables and the
// requests of a small VM enough memory.
const MaxTableBytes = 32 << 20

// ErrTableTooLarge means that the pages of a table exceed MaxTableBytes.
var ErrTableTooLarge = errors.New("pages of the table exceed the size limit")

// TableSize is the size in bytes of the pages of a table that have been read. The zero value has none.
type TableSize int

// Add adds a page. The error is ErrTableTooLarge.
func (s *TableSize) Add(bytes int) error {
	*s += TableSize(bytes)
	if *s > MaxTableBytes {
		return ErrTableTooLarge
	}
	return nil
}
