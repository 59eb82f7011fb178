// Package leases lists the holders of the pool leases.
package leases

import (
	"context"

	"github.com/vanillagate/vanillagate/internal/backing"
	"github.com/vanillagate/vanillagate/internal/command/lease"
	"github.com/vanillagate/vanillagate/internal/peer"
)

// Holder is the holder of the lease of a pool.
type Holder struct {
	Pool   string           `json:"pool"`
	Holder peer.Incarnation `json:"holder"`
	// Token is the fencing token, which increases with each renewal.
	Token    uint64 `json:"token"`
	Released bool   `json:"released,omitempty"`
}

// List reads the leases. It can't tell whether a holder is still running.
func List(ctx context.Context, table backing.Table) ([]Holder, error) {
	all := []Holder{}
	err := lease.VisitAll(ctx, table, func(row backing.Row) error {
		body, err := lease.Decode(row)
		if err != nil {
			return err
		}
		all = append(all, Holder{Pool: row.Sort, Holder: body.Holder, Token: row.Version, Released: body.Released})
		return nil
	})
	if err != nil {
		return nil, err
	}
	return all, nil
}
