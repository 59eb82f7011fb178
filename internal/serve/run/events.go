package run

import (
	"bytes"
	"strconv"
)

// eventScanner finds the events in a stream that arrives in parts of any size. Lines end with
// LF, CR or CRLF, an event ends with an empty line, and comment lines belong to no event.
type eventScanner struct {
	inLine, inComment, afterCR bool
	// inEvent is set while an event has a line, complete whether any event has ended.
	inEvent, complete bool
}

// next reads up to the end of the first event in data and returns how much it has read.
func (s *eventScanner) next(data []byte) (n int, ended bool) {
	for i, c := range data {
		if !s.read(c) {
			continue
		}
		if c == '\r' && i+1 < len(data) && data[i+1] == '\n' {
			s.afterCR = false
			return i + 2, true
		}
		return i + 1, true
	}
	return len(data), false
}

// read reads one byte and reports whether it ends an event.
func (s *eventScanner) read(c byte) bool {
	secondOfCRLF := c == '\n' && s.afterCR
	s.afterCR = c == '\r'
	switch {
	case secondOfCRLF:
		return false
	case c != '\n' && c != '\r':
		s.inComment = s.inComment || !s.inLine && c == ':'
		s.inLine = true
		return false
	case s.inLine:
		s.inEvent = s.inEvent || !s.inComment
		s.inLine, s.inComment = false, false
		return false
	}
	ended := s.inEvent
	s.inEvent = false
	s.complete = s.complete || ended
	return ended
}

// inside reports whether the data read so far ends inside an event or a line.
func (s *eventScanner) inside() bool { return s.inLine || s.inEvent }

func eventID(event []byte) string {
	id, _ := eventField(event, "id")
	return id
}

// eventField returns the value of an event's first field of a name, and whether there is one.
func eventField(event []byte, name string) (value string, found bool) {
	for line := range bytes.FieldsFuncSeq(event, func(r rune) bool { return r == '\n' || r == '\r' }) {
		if value, found := bytes.CutPrefix(line, []byte(name+":")); found {
			return string(bytes.TrimSpace(value)), true
		}
	}
	return "", false
}

// isLater reports whether event a comes after event b. Ids are increasing numbers.
func isLater(a, b string) bool {
	x, errX := strconv.ParseInt(a, 10, 64)
	y, errY := strconv.ParseInt(b, 10, 64)
	if errX != nil || errY != nil {
		return a != b
	}
	return x > y
}
