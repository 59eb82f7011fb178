package run

import (
	"errors"
	"io"
	"slices"
	"time"

	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"github.com/vanillagate/vanillagate/internal/framing"
	"github.com/vanillagate/vanillagate/internal/serve/plan"
	"github.com/vanillagate/vanillagate/internal/serve/upstream"
)

// errPeerEnded means that a peer's answer has ended with its connection. Peers frame all answers, so this
// one has died, or is of a release that doesn't.
var errPeerEnded = errors.New("answer of a peer ended with its connection")

// peerBody is the body of a peer's answer. Only framing ends it.
type peerBody struct{ *upstream.Answer }

// Read returns data as it arrives.
func (b peerBody) Read(p []byte) (int, error) {
	n, err := b.Answer.Read(p)
	if errors.Is(err, io.EOF) && b.Kind == framing.Connection {
		err = errors.Join(io.ErrUnexpectedEOF, errPeerEnded)
	}
	return n, err
}

// forwardedStream is a stream that a peer passes on. If the peer dies or its answer breaks off, another peer
// goes on after the last event that the caller has, which counts as a retry.
type forwardedStream struct {
	job    *job
	peer   string // address of the peer that passes the stream on
	answer *upstream.Answer
	// asked are the addresses of the peers to which the request was sent.
	asked []string

	pending []byte // to be returned by Read
	events  eventScanner
	partial []byte // incomplete event
	held    heldBytes
	// lastEventID is the ID of the last event returned; empty if there was none.
	lastEventID string
	// resumable is set as long as a peer can be told after which event to go on.
	resumable bool
	resumed   bool
	hasEnded  bool
	failure   error
	buffer    [readSize]byte
}

// canGoOn reports whether a peer's answer is a stream that another peer can go on with.
func (j *job) canGoOn(answer *upstream.Answer) bool {
	return j.route.Kind == plan.Stream && j.route.Resumable && answer.Status == fasthttp.StatusOK && isEventStream(&answer.Header)
}

func newForwardedStream(j *job, peer string, answer *upstream.Answer) *forwardedStream {
	return &forwardedStream{
		job: j, peer: peer, answer: answer, asked: []string{peer}, lastEventID: j.req.LastEventID, resumable: true,
		held: heldBytes{memory: &j.streamMemory},
	}
}

// Read returns the next bytes of the stream.
func (s *forwardedStream) Read(p []byte) (int, error) {
	for len(s.pending) == 0 {
		if s.failure != nil {
			return 0, s.failure
		}
		s.fill()
	}
	n := copy(p, s.pending)
	s.pending = s.pending[n:]
	if len(s.pending) == 0 {
		s.pending = nil
		s.hold()
	}
	return n, nil
}

// hold counts what the stream holds, and reports whether there is memory for it.
func (s *forwardedStream) hold() bool { return s.held.hold(len(s.pending) + len(s.partial)) }

// fill reads more data from the peer.
func (s *forwardedStream) fill() {
	n, err := peerBody{s.answer}.Read(s.buffer[:])
	s.pending = s.pending[:0]
	s.receive(s.buffer[:n])
	switch {
	case err == nil:
	case errors.Is(err, io.EOF) && !s.events.inside():
		s.end(io.EOF)
	case errors.Is(err, io.EOF):
		s.goOn(errEndsInsideEvent)
	default:
		s.goOn(err)
	}
}

func (s *forwardedStream) receive(data []byte) {
	for len(data) > 0 {
		n, ended := s.events.next(data)
		s.partial = append(s.partial, data[:n]...)
		data = data[n:]
		if ended {
			s.emit(s.partial)
			s.partial = s.partial[:0]
		}
	}
	full := !s.hold()
	if tooLarge := len(s.partial) > maxHeldBytes || full && s.events.inside(); tooLarge || !s.events.inside() {
		s.resumable = s.resumable && !tooLarge
		s.pending = append(s.pending, s.partial...)
		s.partial = emptied(s.partial)
	}
}

// emit adds an event to the output, unless the caller already has it.
func (s *forwardedStream) emit(event []byte) {
	id := eventID(event)
	if s.resumed && id != "" && !isLater(id, s.lastEventID) {
		return
	}
	if id != "" {
		s.lastEventID = id
	} else if _, hasData := eventField(event, "data"); hasData {
		s.resumable = false
	}
	s.pending = append(s.pending, event...)
}

// goOn has another peer go on with the stream, or ends it.
func (s *forwardedStream) goOn(err error) {
	j, from := s.job, s.peer
	s.answer.Close()
	for j.ctx.Err() == nil && s.resumable && len(s.asked) < j.route.Attempts && s.hasPeers() && j.takeRetry() {
		if s.askPeer() {
			j.Log.Info("Stream goes on through another VM.", requestID(j.req.ID), zap.String("from", from), zap.String("to", s.peer),
				zap.String("after_event", s.lastEventID), zap.Error(err))
			j.Metrics.count("vanillagate_forwarded_streams_resumed")
			return
		}
	}
	j.Log.Warn("Stream of another VM broke.", requestID(j.req.ID), zap.String("peer", from),
		zap.String("after_event", s.lastEventID), zap.Error(err))
	s.end(truncationError(j.ctx, err))
}

// peers lists the addresses of the peers that haven't been asked.
func (s *forwardedStream) peers() []string {
	return slices.DeleteFunc(s.job.Reach.PeerAddresses(s.job.service), func(address string) bool { return slices.Contains(s.asked, address) })
}

func (s *forwardedStream) hasPeers() bool { return len(s.peers()) > 0 }

// askPeer asks the next peer to go on after the last event that the caller has.
func (s *forwardedStream) askPeer() bool {
	j := s.job
	address := s.peers()[0]
	s.asked = append(s.asked, address)
	request := *j.req
	request.LastEventID = s.lastEventID
	if request.Resumes == "" && s.lastEventID != "" {
		request.Resumes = request.ID // the attempt that brought the first event
	}
	answer, err := j.Client.Send(j.ctx, j.forwardRequest(&request, address))
	if upstream.NotSent(err) {
		return false
	}
	j.retry.Sent(time.Now())
	if err != nil {
		return false
	}
	if answer.Status != fasthttp.StatusOK || !j.Codec.ReadAnswer(&answer.Header).Signed {
		answer.Close()
		return false
	}
	s.peer, s.answer = address, answer
	s.events, s.partial, s.resumed = eventScanner{}, nil, s.lastEventID != ""
	return true
}

func (s *forwardedStream) end(failure error) {
	s.failure = failure
	if s.hasEnded {
		return
	}
	s.hasEnded = true
	s.partial = nil
	s.hold()
	s.answer.Close()
	s.job.cleanUp()
}

// Close ends the stream. The peer stops its work when the connection is closed.
func (s *forwardedStream) Close() error {
	s.end(io.ErrClosedPipe)
	s.held.hold(0)
	return nil
}
