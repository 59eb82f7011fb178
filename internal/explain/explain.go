// Package explain collects the lines about one request from the logs of several
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

// Line is one log line about the request.
type Line struct {
	// Source names the log that contains the line.
	Source  string         `json:"source"`
	At      time.Time      `json:"at"`
	Message string         `json:"message"`
	Fields  map[string]any `json:"fields"`
}

// RequestLog holds all log lines about one request.
type RequestLog struct {
	Request string `json:"request"`
	Lines   []Line `json:"lines"`
	// LeftOut counts the lines that the logs report as omitted. Some of them may have
	// been about this request.
	LeftOut int `json:"left_out"`
}

// maxLine is the maximum length of a log line in bytes.
const maxLine = 1 << 20

// msgLinesLeftOut is the message by which a log reports omitted lines.
const msgLinesLeftOut = "Log lines left out."

// Read adds the lines of a log that are about the request. It skips lines that
// aren't JSON, since other programs may write to the same log.
func (r *RequestLog) Read(source string, log io.Reader) error {
	scanner := bufio.NewScanner(log)
	scanner.Buffer(make([]byte, 0, 64<<10), maxLine)
	for scanner.Scan() {
		r.add(source, scanner.Bytes())
	}
	if err := scanner.Err(); err != nil {
		return fmt.Errorf("%s: %w", source, err)
	}
	return nil
}

func (r *RequestLog) add(source string, raw []byte) {
	start := strings.IndexByte(string(raw), '{')
	if start < 0 {
		return
	}
	var fields map[string]any
	if json.Unmarshal(raw[start:], &fields) != nil {
		return
	}
	message, _ := fields["msg"].(string)
	if message == msgLinesLeftOut {
		r.LeftOut += toInt(fields["repeated"]) + toInt(fields["dropped"])
		return
	}
	if fields["request"] != r.Request {
		return
	}
	stamp, _ := fields["ts"].(string)
	at, err := time.Parse("2006-01-02T15:04:05.000Z0700", stamp)
	if err != nil {
		at = time.Time{}
	}
	for _, key := range []string{"msg", "ts", "request", "level", "caller"} {
		delete(fields, key)
	}
	r.Lines = append(r.Lines, Line{Source: source, At: at, Message: message, Fields: fields})
}

func toInt(v any) int {
	n, _ := v.(float64)
	return int(n)
}

// Sort sorts the lines by time. The order of lines from different VMs is
// approximate, since their clocks differ; lines of the same time keep their order.
func (r *RequestLog) Sort() {
	slices.SortStableFunc(r.Lines, func(a, b Line) int { return a.At.Compare(b.At) })
}

// Write writes the lines as text.
func (r *RequestLog) Write(w io.Writer) error {
	if len(r.Lines) == 0 {
		_, err := fmt.Fprintf(w, "No line about %s. It was answered by a target, in time, or never arrived here.\n", r.Request)
		return err
	}
	for _, line := range r.Lines {
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
	if r.LeftOut == 0 {
		return nil
	}
	_, err := fmt.Fprintf(w, "%d lines were left out of these logs; some may have been about this request.\n", r.LeftOut)
	return err
}
