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
	// MaxMessageBytes is the maximum size of one message, which bounds the memory that
	// a peer can make a process allocate per link.
	MaxMessageBytes = 1 << 20
	macBytes        = 16
	lengthBytes     = 4
	readBufferBytes = 2048
)

// stream carries JSON-RPC objects in frames: length, object, MAC. The MAC covers the
// position in the stream, so that a man in the middle can't change, replay, drop or
// reorder messages without ending the link.
//
// jsonrpc2 never makes concurrent writes or concurrent reads.
type stream struct {
	conn     net.Conn
	in       *bufio.Reader
	signer   frameMAC
	verifier frameMAC
	limit    time.Duration // for writing one message
	traffic  *traffic
	sending  messageKind // set before each write by link.onSend
	read     int         // size of the last frame read
}

// frameMAC computes the MACs of the frames of one direction.
type frameMAC struct {
	mac  hash.Hash
	next uint64
}

type direction string

const (
	toAccepter direction = "to accepter"
	toDialer   direction = "to dialer"
)

func newFrameMAC(secret []byte, dir direction) frameMAC {
	return frameMAC{mac: hmac.New(sha256.New, computeProof(secret, purpose(dir)))}
}

func (s *frameMAC) sum(data []byte) []byte {
	var position [8]byte
	binary.BigEndian.PutUint64(position[:], s.next)
	s.next++
	s.mac.Reset()
	s.mac.Write(position[:])
	s.mac.Write(data)
	return s.mac.Sum(nil)[:macBytes]
}

func newStream(conn net.Conn, secret []byte, dialed bool, limit time.Duration, counts *traffic) *stream {
	out, in := toAccepter, toDialer
	if !dialed {
		out, in = in, out
	}
	return &stream{
		conn:     conn,
		in:       bufio.NewReaderSize(conn, readBufferBytes),
		signer:   newFrameMAC(secret, out),
		verifier: newFrameMAC(secret, in),
		limit:    limit,
		traffic:  counts,
	}
}

// WriteObject implements jsonrpc2.ObjectStream.
func (s *stream) WriteObject(object any) error {
	data, err := marshal(object)
	if err != nil {
		return eris.Wrap(err, "encode message")
	}
	if len(data) > MaxMessageBytes {
		return eris.Errorf("outgoing message has %d bytes, the maximum is %d", len(data), MaxMessageBytes)
	}
	frame := make([]byte, 0, lengthBytes+len(data)+macBytes)
	frame = binary.BigEndian.AppendUint32(frame, uint32(len(data)))
	frame = append(frame, data...)
	frame = append(frame, s.signer.sum(data)...)
	// A frozen process reads nothing; without a deadline the writer of this link would
	// block for ever.
	if err := s.conn.SetWriteDeadline(time.Now().Add(s.limit)); err != nil {
		return eris.Wrap(err, "set write deadline")
	}
	if _, err := s.conn.Write(frame); err != nil {
		return eris.Wrap(err, "write message")
	}
	s.traffic.sent(s.sending, len(frame))
	return nil
}

// ReadObject implements jsonrpc2.ObjectStream. Any error ends the link.
func (s *stream) ReadObject(object any) error {
	var size [lengthBytes]byte
	if _, err := io.ReadFull(s.in, size[:]); err != nil {
		return io.EOF
	}
	length := binary.BigEndian.Uint32(size[:])
	if length > MaxMessageBytes {
		return eris.Errorf("incoming message has %d bytes, the maximum is %d", length, MaxMessageBytes)
	}
	frame := make([]byte, length+macBytes)
	if _, err := io.ReadFull(s.in, frame); err != nil {
		return io.EOF
	}
	data, received := frame[:length], frame[length:]
	if !hmac.Equal(received, s.verifier.sum(data)) {
		return eris.New("wrong MAC on a message")
	}
	s.read = lengthBytes + len(frame)
	return unmarshal(data, object)
}

// marshal and unmarshal call the methods of types that encode themselves directly, as the
// envelopes of jsonrpc2 do. This saves the json package's extra passes over the data,
// which are most of the cost of a short message.
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

// Close implements jsonrpc2.ObjectStream.
func (s *stream) Close() error { return s.conn.Close() }
