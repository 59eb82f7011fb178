package run

import (
	"testing"

	"gotest.tools/v3/assert"
)

// scan reads a stream in parts of the given size and returns its events.
func scan(s *eventScanner, stream string, size int) []string {
	var events []string
	event := ""
	for len(stream) > 0 {
		part := []byte(stream[:min(size, len(stream))])
		stream = stream[len(part):]
		for len(part) > 0 {
			n, ended := s.next(part)
			event += string(part[:n])
			part = part[n:]
			if ended {
				events = append(events, event)
				event = ""
			}
		}
	}
	return events
}

func TestEventScanner(t *testing.T) {
	for name, tc := range map[string]struct {
		stream string
		events []string
		inside bool
	}{
		"LF":                 {"id: 1\ndata: a\n\ndata: b\n\n", []string{"id: 1\ndata: a\n\n", "data: b\n\n"}, false},
		"CRLF":               {"id: 1\r\ndata: a\r\n\r\ndata: b\r\n\r\n", []string{"id: 1\r\ndata: a\r\n\r\n", "data: b\r\n\r\n"}, false},
		"CR":                 {"id: 1\rdata: a\r\rdata: b\r\r", []string{"id: 1\rdata: a\r\r", "data: b\r\r"}, false},
		"mixed line ends":    {"id: 1\n\r\ndata: b\r\n\n", []string{"id: 1\n\r\n", "data: b\r\n\n"}, false},
		"cut in a line":      {"data: a\n\ndata", []string{"data: a\n\n"}, true},
		"cut after a line":   {"data: a\n\ndata: b\n", []string{"data: a\n\n"}, true},
		"cut after CR":       {"data: a\r\n\r\ndata: b\r", []string{"data: a\r\n\r\n"}, true},
		"empty":              {"", nil, false},
		"comment":            {": ping\n\n", nil, false},
		"comment alone":      {": ping\n", nil, false},
		"cut in a comment":   {": pi", nil, true},
		"comment in event":   {"data: a\n: ping\n\n", []string{"data: a\n: ping\n\n"}, false},
		"further empty line": {"data: a\n\n\n\n", []string{"data: a\n\n"}, false},
	} {
		t.Run(name, func(t *testing.T) {
			var s eventScanner
			assert.DeepEqual(t, scan(&s, tc.stream, len(tc.stream)+1), tc.events)
			assert.Equal(t, s.inside(), tc.inside)
			assert.Equal(t, s.complete, len(tc.events) > 0)
		})
	}
}

// Guards against an end of an event that is missed because it arrives in two reads.
func TestEventScannerInPartsOfAnySize(t *testing.T) {
	stream := "id: 1\r\ndata: a\r\n\r\n: ping\r\n\r\ndata: b\n\ndata: c\r\rdata: rest"
	for size := 1; size <= len(stream); size++ {
		var s eventScanner
		assert.Equal(t, len(scan(&s, stream, size)), 3, "%d", size)
		assert.Assert(t, s.inside(), "%d", size)
	}
}

func TestEventID(t *testing.T) {
	for event, id := range map[string]string{
		"id: 7\ndata: a\n\n": "7", "data: a\r\nid: 8\r\n\r\n": "8", "data: a\rid:9\r\r": "9", "data: id: 3\n\n": "",
	} {
		assert.Equal(t, eventID([]byte(event)), id, "%q", event)
	}
}
