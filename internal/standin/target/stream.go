package target

import (
	"encoding/json"
	"errors"
	"net/http"
	"strconv"

	"github.com/vanillagate/vanillagate/internal/targetapi"
)

// Stream begins a stream of server-sent events. The time that it cost is sent
// as a trailer, since it isn't known before.
func (c *Call) Stream(a Answer) *Stream {
	c.head(a)
	h := c.writer.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-store")
	h.Set("Trailer", targetapi.HeaderEngineTime)
	c.writer.WriteHeader(http.StatusOK)
	flusher, _ := c.writer.(http.Flusher)
	return &Stream{writer: c.writer, flusher: flusher}
}

// Stream is an answer in events.
type Stream struct {
	writer  http.ResponseWriter
	flusher http.Flusher // nil where the answer is lost anyway
}

// ErrCallerLeft means that the caller hung up.
var ErrCallerLeft = errors.New("target: caller is gone")

// Send writes one event at once.
func (s *Stream) Send(event any) error {
	raw, err := json.Marshal(event)
	if err != nil {
		panic(err) // our own types can always be encoded
	}
	return s.data(raw)
}

func (s *Stream) data(raw []byte) error {
	framed := append(append([]byte("data: "), raw...), '\n', '\n')
	if _, err := s.writer.Write(framed); err != nil {
		return ErrCallerLeft
	}
	if s.flusher != nil {
		s.flusher.Flush()
	}
	return nil
}

// Finish ends the stream as it should end.
func (s *Stream) Finish(engineUS int64) error {
	s.writer.Header().Set(targetapi.HeaderEngineTime, strconv.FormatInt(engineUS, 10))
	return s.data([]byte("[DONE]"))
}
