package target

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"strings"

	"github.com/vanillagate/vanillagate/internal/targetapi"
)

// maxEventBytes bounds one line of an event stream.
const maxEventBytes = 1 << 20

var errEventTooLong = errors.New("target: event line exceeds 1 MiB")

// lineReader extracts the data lines of a server-sent event stream.
type lineReader struct{ r *bufio.Reader }

func newLineReader(r io.Reader) *lineReader {
	return &lineReader{r: bufio.NewReaderSize(r, 4096)}
}

// nextData returns the data of the next event. Targets send one data line per
// event.
func (l *lineReader) nextData() ([]byte, error) {
	for {
		line, err := l.readLine()
		if err != nil {
			return nil, err
		}
		if data, ok := bytes.CutPrefix(line, []byte("data:")); ok {
			return bytes.TrimSpace(data), nil
		}
	}
}

func (l *lineReader) readLine() ([]byte, error) {
	var whole []byte
	for {
		part, err := l.r.ReadSlice('\n')
		if len(whole)+len(part) > maxEventBytes {
			return nil, errEventTooLong
		}
		if err == nil && whole == nil {
			return part, nil
		}
		whole = append(whole, part...)
		if err == nil {
			return whole, nil
		}
		if !errors.Is(err, bufio.ErrBufferFull) {
			return nil, err
		}
	}
}

// ParseLoadHeader parses an ORCA report from a header value of the form "JSON
// {...}"; nil if there is no valid one.
func ParseLoadHeader(value string) *targetapi.LoadReport {
	raw, found := strings.CutPrefix(value, "JSON ")
	if !found {
		return nil
	}
	return ParseLoadJSON([]byte(raw))
}

// ParseLoadJSON parses an ORCA report from JSON; nil if it is not valid.
func ParseLoadJSON(raw []byte) *targetapi.LoadReport {
	var report targetapi.LoadReport
	if json.Unmarshal(raw, &report) != nil || !plausible(&report) {
		return nil
	}
	return &report
}

// maxLoadValue is the largest load value accepted from a target.
const maxLoadValue = 1e9

// plausible checks that routing can use a report's values: a negative load, for
// example, would attract all calls to the target that reports it.
func plausible(r *targetapi.LoadReport) bool {
	for _, n := range []float64{r.Utilization, r.Named.Running, r.Named.Waiting, r.Named.CacheUsage} {
		if !(n >= 0 && n <= maxLoadValue) {
			return false
		}
	}
	return true
}
