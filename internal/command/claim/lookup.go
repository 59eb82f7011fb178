package claim

import "context"

// Lookup reads the claim of an identity without claiming it. It returns nil if
// there is none.
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
