package change

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"time"

	"github.com/vanillagate/vanillagate/internal/backing"
	"github.com/vanillagate/vanillagate/internal/config"
	"github.com/vanillagate/vanillagate/internal/query/changes"
)

// acceptedChange is the body of the row that maps a change's ID to its
// revision.
type acceptedChange struct {
	Revision config.Revision `json:"revision"`
	// Fingerprint distinguishes a repeated change from a different change with
	// the same ID.
	Fingerprint string `json:"fingerprint"`
}

// headRow is the body of the row whose version is the current revision.
type headRow struct {
	ChangeID string `json:"change_id"`
}

// transactionFor returns the writes that accept a change. They are committed
// atomically, so a change that loses a race leaves nothing half written.
func transactionFor(req Request, revision config.Revision, item *backing.Row, at time.Time) ([]backing.Write, error) {
	body, err := compactBody(req)
	if err != nil {
		return nil, err
	}
	change := config.Change{
		ID: req.ID, Revision: revision, Kind: req.Kind, Name: req.Name,
		Deleted: req.Deleted, Body: body, By: req.By, At: at.UTC(),
	}
	last := config.LastChange{Revision: revision, ChangeID: req.ID, By: req.By, Deleted: req.Deleted}
	return []backing.Write{
		headWrite(revision, req.ID),
		itemWrite(req, item, last),
		insert(changes.ChangeKey(revision), change),
		insert(changes.ChangeIDKey(req.ID), acceptedChange{Revision: revision, Fingerprint: fingerprint(req)}),
	}, nil
}

func headWrite(revision config.Revision, id string) backing.Write {
	if revision == 1 {
		return insert(changes.HeadKey(), headRow{ChangeID: id})
	}
	return backing.Write{
		Row:     backing.Row{Key: changes.HeadKey(), Body: encode(headRow{ChangeID: id})},
		If:      backing.IfVersion,
		Version: uint64(revision) - 1,
	}
}

func itemWrite(req Request, item *backing.Row, last config.LastChange) backing.Write {
	key := changes.ItemRowKey(req.Kind, req.Name)
	if item == nil {
		return insert(key, last)
	}
	row := backing.Row{Key: key, Body: encode(last)}
	return backing.Write{Row: row, If: backing.IfVersion, Version: item.Version}
}

func insert(key backing.Key, body any) backing.Write {
	return backing.Write{Row: backing.Row{Key: key, Body: encode(body)}, If: backing.IfAbsent}
}

// encode panics if a type of this package can't be encoded, which is a
// programming error.
func encode(body any) []byte {
	raw, err := json.Marshal(body)
	if err != nil {
		panic(fmt.Sprintf("change: encode %T: %v", body, err))
	}
	return raw
}

func compactBody(req Request) (json.RawMessage, error) {
	if req.Deleted {
		return nil, nil
	}
	var out bytes.Buffer
	if err := json.Compact(&out, req.Body); err != nil {
		return nil, fmt.Errorf("body: %w", err)
	}
	return out.Bytes(), nil
}

func fingerprint(req Request) string {
	body, err := compactBody(req)
	if err != nil {
		body = req.Body
	}
	sum := sha256.New()
	fmt.Fprintf(sum, "%q %q %t ", req.Kind, req.Name, req.Deleted)
	sum.Write(body)
	return hex.EncodeToString(sum.Sum(nil))
}
