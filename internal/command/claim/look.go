package claim

import "context"

// Lookup reads who stands under an identity without claiming it; nil where
// nobody ever did.
func (c *Claims) Lookup(ctx context.Context, id Identity) (*Row, error) {
	found, err := c.table.Get(ctx, id.rowKey())
	if err != nil || found == nil {
		return nil, err
	}
	row, err := decodeRow(found)
	if err != nil {
		return nil, err
	}
	return &row, nil
}
