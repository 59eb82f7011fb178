// Package claim has a non-idempotent request run at most once. Before a
// request is sent to a target, an entry process inserts a claim under the
// caller's idempotency key; whoever finds a claim there does not send. The
// outcome is recorded under the claim, so that a caller that asks again gets
// the same whole answer at any entry VM.
package claim

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"strconv"

	"github.com/vanillagate/vanillagate/internal/backing"
	"github.com/vanillagate/vanillagate/internal/peer"
)

// Token orders the holders of one claim. It is the version of the claim's row
// that gave the holder its right: it grows with every change of the row, and
// targets that check fencing tokens refuse a lower one than they have seen.
type Token uint64

// String is the token as sent in the Fencing-Token header.
func (t Token) String() string { return strconv.FormatUint(uint64(t), 10) }

// Fingerprint tells one request from another under the same idempotency key.
type Fingerprint string

// FingerprintOf covers everything that makes a request what it is.
func FingerprintOf(method, path string, body []byte) Fingerprint {
	sum := sha256.New()
	fmt.Fprintf(sum, "%q %q ", method, path)
	sum.Write(body)
	return Fingerprint(hex.EncodeToString(sum.Sum(nil)))
}

// Identity names a claim.
type Identity struct {
	Customer       string
	IdempotencyKey string
}

func (id Identity) rowKey() backing.Key {
	return backing.Key{Partition: "claim/" + id.Customer, Sort: id.IdempotencyKey}
}

// Request asks for the claim of one request.
type Request struct {
	Identity
	// RequestID and Incarnation tell our own row from another's after a lost
	// answer. A request ID is used for one Claim call only.
	RequestID   string
	Incarnation peer.Incarnation
	Fingerprint Fingerprint
}

// Holder is who has a claim.
type Holder struct {
	RequestID   string           `json:"request_id"`
	Incarnation peer.Incarnation `json:"incarnation"`
}

func (r Request) holder() Holder { return Holder{RequestID: r.RequestID, Incarnation: r.Incarnation} }

// State says how far a claim is.
type State string

// The states of a claim.
const (
	// Held: the holder may have sent the request to a target, or may yet.
	Held State = "held"
	// Released: the holder certainly did not have the request run, and gave
	// the claim up.
	Released State = "released"
	// Finished: the outcome is recorded.
	Finished State = "finished"
)

// Row is the body of a claim's row.
type Row struct {
	Holder
	Fingerprint Fingerprint     `json:"fingerprint"`
	State       State           `json:"state"`
	Outcome     *RecordedAnswer `json:"outcome,omitempty"`
}

// Answer is what the target answered and the caller gets, also when it asks
// again.
type Answer struct {
	Status      int
	ContentType string
	Body        []byte
}

// RecordedAnswer is an Answer as it stands in a claim's row.
type RecordedAnswer struct {
	Status      int    `json:"status"`
	ContentType string `json:"content_type,omitempty"`
	// Body is the answer's body, unless Object names where it stands.
	Body   []byte `json:"body,omitempty"`
	Object string `json:"object,omitempty"`
	// Size and Sum (hex SHA-256) of the body guard against half an object, or
	// another one.
	Size int    `json:"size"`
	Sum  string `json:"sum"`
}

// Grant is the right to send a request to a target once.
type Grant struct {
	Request
	Token Token
}

func decodeRow(row *backing.Row) (Row, error) {
	var body Row
	if err := json.Unmarshal(row.Body, &body); err != nil {
		return body, fmt.Errorf("claim: row %s/%s: %w: %w", row.Partition, row.Sort, backing.ErrUnknown, err)
	}
	return body, nil
}

func encodeRow(row Row) []byte {
	raw, err := json.Marshal(row)
	if err != nil {
		panic(fmt.Sprintf("claim: encode: %v", err))
	}
	return raw
}
