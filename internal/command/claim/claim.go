// Package claim makes a non-idempotent request run at most once. Before an
// entry process sends the request to a target, it inserts a claim row under the
// caller's idempotency key. A process that finds an existing claim does not
// send the request. The outcome is recorded in the claim, so a caller that
// repeats the request at any entry VM gets the same complete answer.
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

// Token is the fencing token of a claim's holder: the version of the claim's
// row that granted the claim. It grows with every change of the row, and
// targets that check fencing tokens refuse a lower token than the highest that
// they have seen.
type Token uint64

// String returns the token as it is sent in the Fencing-Token header.
func (t Token) String() string { return strconv.FormatUint(uint64(t), 10) }

// Fingerprint distinguishes different requests under the same idempotency key.
type Fingerprint string

// FingerprintOf returns a hash of method, path and body.
func FingerprintOf(method, path string, body []byte) Fingerprint {
	sum := sha256.New()
	fmt.Fprintf(sum, "%q %q ", method, path)
	sum.Write(body)
	return Fingerprint(hex.EncodeToString(sum.Sum(nil)))
}

// Identity is the key of a claim.
type Identity struct {
	Customer       string
	IdempotencyKey string
}

func (id Identity) rowKey() backing.Key {
	return backing.Key{Partition: "claim/" + id.Customer, Sort: id.IdempotencyKey}
}

// Request holds the data of one attempt to claim a request.
type Request struct {
	Identity
	// RequestID and Incarnation identify our own row after the answer to a
	// write was lost. A request ID is used for one Claim call only.
	RequestID   string
	Incarnation peer.Incarnation
	Fingerprint Fingerprint
}

// Holder identifies the request and process that hold a claim.
type Holder struct {
	RequestID   string           `json:"request_id"`
	Incarnation peer.Incarnation `json:"incarnation"`
}

func (r Request) holder() Holder { return Holder{RequestID: r.RequestID, Incarnation: r.Incarnation} }

// State is the state of a claim.
type State string

// The states of a claim.
const (
	// Held: the holder may have sent the request to a target or may still send
	// it.
	Held State = "held"
	// Released: the request certainly did not run and the holder gave the claim
	// up.
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

// Answer is the target's answer. Callers that repeat the request get the same
// answer.
type Answer struct {
	Status      int
	ContentType string
	Body        []byte
	// Unframed is set if only the end of its connection ended the target's answer.
	Unframed bool
}

// RecordedAnswer is an Answer as stored in a claim's row.
type RecordedAnswer struct {
	Status      int    `json:"status"`
	ContentType string `json:"content_type,omitempty"`
	Unframed    bool   `json:"unframed,omitempty"`
	// Body is the answer's body, unless it is stored in the object named
	// Object.
	Body   []byte `json:"body,omitempty"`
	Object string `json:"object,omitempty"`
	// Size and Sum (hex SHA-256) of the body detect a truncated or replaced
	// object.
	Size int    `json:"size"`
	Sum  string `json:"sum"`
}

// Grant permits its holder to send the request to a target once.
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
		panic(fmt.Sprintf("claim: encode row: %v", err))
	}
	return raw
}
