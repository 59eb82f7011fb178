package peer

import (
	"bufio"
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"
	"encoding/json"
	"hash"
	"io"
	"net"
	"time"

	"github.com/rotisserie/eris"
)

const (
	// MaxMessageBytes bounds one message, so that nobody can make a process
	// hold more than that for a link.
	MaxMessageBytes = 1 << 20
	sealBytes       = 16
	lengthBytes     = 4
	readBufferBytes = 2048
)

// stream carries JSON-RPC objects in frames: length, object, seal. The seal
// covers the position in the stream, so that somebody on the path can neither
// change, repeat, drop nor reorder messages of a link without ending it.
//
// jsonrpc2 never writes two objects at once, nor reads two at once.
type stream struct {
	conn    net.Conn
	in      *bufio.Reader
	seal    sealer
	check   sealer
	limit   time.Duration // to write one message
	traffic *traffic
	sending kind // set before each write by the hook on sending
	read    int  // bytes of the object read last
}

// sealer signs the frames of one direction.
type sealer struct {
	mac  hash.Hash
	next uint64
}

type direction string

const (
	toAccepter direction = "to accepter"
	toDialer   direction = "to dialer"
)

func newSealer(secret []byte, way direction) sealer {
	return sealer{mac: hmac.New(sha256.New, prove(secret, purpose(way)))}
}

func (s *sealer) sum(data []byte) []byte {
	var position [8]byte
	binary.BigEndian.PutUint64(position[:], s.next)
	s.next++
	s.mac.Reset()
	s.mac.Write(position[:])
	s.mac.Write(data)
	return s.mac.Sum(nil)[:sealBytes]
}

func newStream(conn net.Conn, secret []byte, dialed bool, limit time.Duration, counts *traffic) *stream {
	out, in := toAccepter, toDialer
	if !dialed {
		out, in = in, out
	}
	return &stream{
		conn:    conn,
		in:      bufio.NewReaderSize(conn, readBufferBytes),
		seal:    newSealer(secret, out),
		check:   newSealer(secret, in),
		limit:   limit,
		traffic: counts,
	}
}

// WriteObject sends one object.
func (s *stream) WriteObject(object any) error {
	data, err := marshal(object)
	if err != nil {
		return eris.Wrap(err, "encode message")
	}
	if len(data) > MaxMessageBytes {
		return eris.Errorf("message of %d bytes, at most %d are sent", len(data), MaxMessageBytes)
	}
	frame := make([]byte, 0, lengthBytes+len(data)+sealBytes)
	frame = binary.BigEndian.AppendUint32(frame, uint32(len(data)))
	frame = append(frame, data...)
	frame = append(frame, s.seal.sum(data)...)
	// A frozen process takes no more bytes; without a limit the writer of
	// this link would wait for it for ever.
	if err := s.conn.SetWriteDeadline(time.Now().Add(s.limit)); err != nil {
		return eris.Wrap(err, "limit writing")
	}
	if _, err := s.conn.Write(frame); err != nil {
		return eris.Wrap(err, "write message")
	}
	s.traffic.sent(s.sending, len(frame))
	return nil
}

// ReadObject reads the next object. Any fault ends the link.
func (s *stream) ReadObject(object any) error {
	var size [lengthBytes]byte
	if _, err := io.ReadFull(s.in, size[:]); err != nil {
		return io.EOF
	}
	length := binary.BigEndian.Uint32(size[:])
	if length > MaxMessageBytes {
		return eris.Errorf("message of %d bytes, at most %d are taken", length, MaxMessageBytes)
	}
	frame := make([]byte, length+sealBytes)
	if _, err := io.ReadFull(s.in, frame); err != nil {
		return io.EOF
	}
	data, sealed := frame[:length], frame[length:]
	if !hmac.Equal(sealed, s.check.sum(data)) {
		return eris.New("a message isn't sealed with the link's key")
	}
	s.read = lengthBytes + len(frame)
	return unmarshal(data, object)
}

// marshal and unmarshal leave out the scans that the json package makes around types
// that encode themselves, as the envelopes of jsonrpc2 do: they are most of what a
// short message costs.
func marshal(object any) ([]byte, error) {
	if own, found := object.(json.Marshaler); found {
		return own.MarshalJSON()
	}
	return json.Marshal(object)
}

func unmarshal(data []byte, object any) error {
	if own, found := object.(json.Unmarshaler); found {
		return own.UnmarshalJSON(data)
	}
	return json.Unmarshal(data, object)
}

// Close ends the connection.
func (s *stream) Close() error { return s.conn.Close() }
