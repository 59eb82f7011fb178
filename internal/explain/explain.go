// Package explain tells the story of one request from the logs of several
// processes.
package explain

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"sort"
	"strings"
	"time"
)

// Line is one line of a log about the request.
type Line struct {
	// Source is the log that the line stands in.
	Source  string         `json:"source"`
	At      time.Time      `json:"at"`
	Message string         `json:"message"`
	Fields  map[string]any `json:"fields"`
}

// RequestLog is what the logs say of a request, in order.
type RequestLog struct {
	Request string `json:"request"`
	Lines   []Line `json:"lines"`
	// LeftOut counts the lines that the logs say they left out: the story may
	// lack some.
	LeftOut int `json:"left_out"`
}

// maxLine bounds one line of a log, in bytes.
const maxLine = 1 << 20

// messageLeftOut is how a log says that lines are missing.
const messageLeftOut = "Log lines left out."

// Read adds what a log says of the request. Lines that aren't JSON are passed
// over: other programs may write to the same log.
func (s *RequestLog) Read(source string, log io.Reader) error {
	scanner := bufio.NewScanner(log)
	scanner.Buffer(make([]byte, 0, 64<<10), maxLine)
	for scanner.Scan() {
		s.add(source, scanner.Bytes())
	}
	if err := scanner.Err(); err != nil {
		return fmt.Errorf("%s: %w", source, err)
	}
	return nil
}

func (s *RequestLog) add(source string, raw []byte) {
	start := strings.IndexByte(string(raw), '{')
	if start < 0 {
		return
	}
	var fields map[string]any
	if json.Unmarshal(raw[start:], &fields) != nil {
		return
	}
	message, _ := fields["msg"].(string)
	if message == messageLeftOut {
		s.LeftOut += number(fields["repeated"]) + number(fields["dropped"])
		return
	}
	if fields["request"] != s.Request {
		return
	}
	stamp, _ := fields["ts"].(string)
	at, err := time.Parse("2006-01-02T15:04:05.000Z0700", stamp)
	if err != nil {
		at = time.Time{}
	}
	for _, known := range []string{"msg", "ts", "request", "level", "caller"} {
		delete(fields, known)
	}
	s.Lines = append(s.Lines, Line{Source: source, At: at, Message: message, Fields: fields})
}

func number(v any) int {
	n, _ := v.(float64)
	return int(n)
}

// Sort puts the lines into the order of their times. VMs' clocks differ a
// little; lines of one log keep their order.
func (s *RequestLog) Sort() {
	slices.SortStableFunc(s.Lines, func(a, b Line) int { return a.At.Compare(b.At) })
}

// Write writes the story as text.
func (s *RequestLog) Write(w io.Writer) error {
	if len(s.Lines) == 0 {
		_, err := fmt.Fprintf(w, "No line about %s. It was answered by a target, in time, or never arrived here.\n", s.Request)
		return err
	}
	for _, line := range s.Lines {
		names := make([]string, 0, len(line.Fields))
		for name := range line.Fields {
			names = append(names, name)
		}
		sort.Strings(names)
		var fields strings.Builder
		for _, name := range names {
			fmt.Fprintf(&fields, " %s=%v", name, line.Fields[name])
		}
		if _, err := fmt.Fprintf(w, "%s %s: %s%s\n", line.At.Format("15:04:05.000"), line.Source, line.Message, fields.String()); err != nil {
			return err
		}
	}
	if s.LeftOut == 0 {
		return nil
	}
	_, err := fmt.Fprintf(w, "%d lines were left out of these logs; some may have been about this request.\n", s.LeftOut)
	return err
}
