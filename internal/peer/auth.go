package peer

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"time"

	"github.com/rotisserie/eris"

	"github.com/vanillagate/vanillagate/internal/member"
)

// MinKeyBytes is the minimum length of a shared key.
const MinKeyBytes = 16

const (
	nonceBytes        = 16
	maxHandshakeBytes = 2048
)

// ErrAuth means that the other side doesn't hold any of the shared keys.
var ErrAuth = eris.New("peer: authentication failed: the other side holds none of the shared keys")

// purpose is mixed into every MAC of the handshake, so that a proof made for one
// step can't be replayed in another.
type purpose string

const (
	accepterProof purpose = "vanillagate accepter"
	dialerProof   purpose = "vanillagate dialer"
	recordProof   purpose = "vanillagate record"
	sessionSecret purpose = "vanillagate session"
)

// Each handshake message is one length-prefixed frame:
//
//	dialer:   nonce D
//	accepter: nonce A, proof over both nonces
//	dialer:   its record, proof over both nonces and the record
//	accepter: its record, proof over both nonces and both records
//
// Neither side reveals more than a nonce until the other has proved that it
// holds a key. The records carry the incarnations.
type handshakeMessage struct {
	Nonce  []byte         `json:"nonce,omitempty"`
	Proof  []byte         `json:"proof,omitempty"`
	Record *member.Record `json:"record,omitempty"`
}

// session is the result of a successful handshake.
type session struct {
	other member.Record
	// key is the shared key that the accepter used for its proof.
	key []byte
	// secret is the key for the MACs of this link's messages.
	secret []byte
}

func computeProof(key []byte, label purpose, parts ...[]byte) []byte {
	mac := hmac.New(sha256.New, key)
	mac.Write([]byte(label))
	for _, part := range parts {
		var size [4]byte
		binary.BigEndian.PutUint32(size[:], uint32(len(part)))
		mac.Write(size[:])
		mac.Write(part)
	}
	return mac.Sum(nil)
}

// verifyProof returns the key that a proof was made with. hmac.Equal compares
// in constant time.
func verifyProof(keys [][]byte, proof []byte, label purpose, parts ...[]byte) ([]byte, error) {
	for _, key := range keys {
		if hmac.Equal(proof, computeProof(key, label, parts...)) {
			return key, nil
		}
	}
	return nil, ErrAuth
}

// dialHandshake runs the dialer's side of the handshake.
func dialHandshake(conn net.Conn, keys [][]byte, self member.Record) (*session, error) {
	nonce := newNonce()
	if err := writeHandshake(conn, handshakeMessage{Nonce: nonce}); err != nil {
		return nil, err
	}
	challenge, err := readHandshake(conn)
	if err != nil {
		return nil, err
	}
	key, err := verifyProof(keys, challenge.Proof, accepterProof, nonce, challenge.Nonce)
	if err != nil {
		return nil, err
	}
	own := encode(self)
	proof := computeProof(keys[0], dialerProof, nonce, challenge.Nonce, own)
	if err := writeHandshake(conn, handshakeMessage{Proof: proof, Record: &self}); err != nil {
		return nil, err
	}
	answer, err := readHandshake(conn)
	if err != nil {
		return nil, err
	}
	if answer.Record == nil {
		return nil, ErrAuth
	}
	theirs := encode(*answer.Record)
	if _, err := verifyProof([][]byte{key}, answer.Proof, recordProof, nonce, challenge.Nonce, own, theirs); err != nil {
		return nil, err
	}
	secret := computeProof(key, sessionSecret, nonce, challenge.Nonce, own, theirs)
	return &session{other: *answer.Record, key: key, secret: secret}, nil
}

// acceptHandshake runs the accepter's side of the handshake.
func acceptHandshake(conn net.Conn, keys [][]byte, self member.Record) (*session, error) {
	opening, err := readHandshake(conn)
	if err != nil {
		return nil, err
	}
	if len(opening.Nonce) != nonceBytes {
		return nil, ErrAuth
	}
	nonce := newNonce()
	proof := computeProof(keys[0], accepterProof, opening.Nonce, nonce)
	if err := writeHandshake(conn, handshakeMessage{Nonce: nonce, Proof: proof}); err != nil {
		return nil, err
	}
	claim, err := readHandshake(conn)
	if err != nil {
		return nil, err
	}
	if claim.Record == nil {
		return nil, ErrAuth
	}
	theirs := encode(*claim.Record)
	if _, err := verifyProof(keys, claim.Proof, dialerProof, opening.Nonce, nonce, theirs); err != nil {
		return nil, err
	}
	own := encode(self)
	proof = computeProof(keys[0], recordProof, opening.Nonce, nonce, theirs, own)
	if err := writeHandshake(conn, handshakeMessage{Proof: proof, Record: &self}); err != nil {
		return nil, err
	}
	secret := computeProof(keys[0], sessionSecret, opening.Nonce, nonce, theirs, own)
	return &session{other: *claim.Record, key: keys[0], secret: secret}, nil
}

func newNonce() []byte {
	nonce := make([]byte, nonceBytes)
	_, _ = rand.Read(nonce) // never fails: crypto/rand crashes the process instead
	return nonce
}

// encode returns the bytes of a record that the proofs cover. Both sides get
// the same bytes.
func encode(r member.Record) []byte {
	data, err := json.Marshal(r)
	if err != nil {
		panic(err) // unreachable: a record holds only strings and numbers
	}
	return data
}

func writeHandshake(w io.Writer, h handshakeMessage) error {
	data, err := json.Marshal(h)
	if err != nil {
		return eris.Wrap(err, "encode handshake message")
	}
	frame := binary.BigEndian.AppendUint32(nil, uint32(len(data)))
	_, err = w.Write(append(frame, data...))
	return eris.Wrap(err, "write handshake message")
}

func readHandshake(r io.Reader) (handshakeMessage, error) {
	var h handshakeMessage
	var size [4]byte
	if _, err := io.ReadFull(r, size[:]); err != nil {
		return h, eris.Wrap(err, "read handshake message")
	}
	length := binary.BigEndian.Uint32(size[:])
	if length > maxHandshakeBytes {
		return h, eris.Errorf("handshake message has %d bytes, the maximum is %d", length, maxHandshakeBytes)
	}
	data := make([]byte, length)
	if _, err := io.ReadFull(r, data); err != nil {
		return h, eris.Wrap(err, "read handshake message")
	}
	return h, eris.Wrap(json.Unmarshal(data, &h), "decode handshake message")
}

// withDeadline runs a handshake with a deadline on the connection and clears
// the deadline afterwards.
func withDeadline(conn net.Conn, limit time.Duration, handshake func() (*session, error)) (*session, error) {
	if err := conn.SetDeadline(time.Now().Add(limit)); err != nil {
		return nil, eris.Wrap(err, "set handshake deadline")
	}
	agreed, err := handshake()
	if err != nil {
		return nil, err
	}
	return agreed, eris.Wrap(conn.SetDeadline(time.Time{}), "clear handshake deadline")
}
