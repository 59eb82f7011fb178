package target

import (
	"encoding/json"
	"errors"
	"net/http"
	"strconv"

	"github.com/vanillagate/vanillagate/internal/targetapi"
)

// Stream begins a stream of server-sent events. The engine time is sent as a
// trailer, since it isn't known before the end.
func (c *Call) Stream(a Answer) *Stream {
	c.setAnswerHeaders(a)
	h := c.writer.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-store")
	h.Set("Trailer", targetapi.HeaderEngineTime)
	c.writer.WriteHeader(http.StatusOK)
	flusher, _ := c.writer.(http.Flusher)
	return &Stream{writer: c.writer, flusher: flusher}
}

// Stream is an answer in the form of server-sent events.
type Stream struct {
	writer  http.ResponseWriter
	flusher http.Flusher // nil if a fault discards the answer
}

// ErrCallerLeft means that the caller has disconnected.
var ErrCallerLeft = errors.New("target: caller disconnected")

// Send writes one event and flushes it.
func (s *Stream) Send(event any) error {
	raw, err := json.Marshal(event)
	if err != nil {
		panic(err) // the targets' answer types can always be encoded
	}
	return s.writeEvent(raw)
}

func (s *Stream) writeEvent(raw []byte) error {
	framed := append(append([]byte("data: "), raw...), '\n', '\n')
	if _, err := s.writer.Write(framed); err != nil {
		return ErrCallerLeft
	}
	if s.flusher != nil {
		s.flusher.Flush()
	}
	return nil
}

// Finish ends the stream with the final [DONE] event and the engine time.
func (s *Stream) Finish(engineUS int64) error {
	s.writer.Header().Set(targetapi.HeaderEngineTime, strconv.FormatInt(engineUS, 10))
	return s.writeEvent([]byte("[DONE]"))
}
