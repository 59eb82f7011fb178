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

// maxEvent bounds one line of a stream of events, in bytes.
const maxEvent = 1 << 20

var errEventTooLong = errors.New("target: event is too long")

// lineReader takes the data lines out of a server-sent event stream.
type lineReader struct{ r *bufio.Reader }

func newLineReader(r io.Reader) *lineReader {
	return &lineReader{r: bufio.NewReaderSize(r, 4096)}
}

// nextData gives the data of the next event. Events here have one data line.
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
		if len(whole)+len(part) > maxEvent {
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

// ParseLoad reads an ORCA report from a header's value, "JSON {...}"; nil where
// there is none that can be understood.
func ParseLoadHeader(value string) *targetapi.LoadReport {
	raw, found := strings.CutPrefix(value, "JSON ")
	if !found {
		return nil
	}
	return ParseLoadJSON([]byte(raw))
}

// ReadLoad reads an ORCA report from JSON; nil where it can't be understood.
func ParseLoadJSON(raw []byte) *targetapi.LoadReport {
	var report targetapi.LoadReport
	if json.Unmarshal(raw, &report) != nil || !plausible(&report) {
		return nil
	}
	return &report
}

// maxLoadValue bounds what a target can say of its load.
const maxLoadValue = 1e9

// plausible refuses a report with which routing can't reckon: a negative load
// would draw all work to the target that reports it.
func plausible(r *targetapi.LoadReport) bool {
	for _, n := range []float64{r.Utilization, r.Named.Running, r.Named.Waiting, r.Named.CacheUsage} {
		if !(n >= 0 && n <= maxLoadValue) {
			return false
		}
	}
	return true
}
