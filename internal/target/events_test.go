package target

import (
	"bytes"
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"gotest.tools/v3/assert"
)

func readAll(r io.Reader) (events []string, last error) {
	lines := newLineReader(r)
	for {
		data, err := lines.nextData()
		if err != nil {
			return events, err
		}
		events = append(events, string(data))
	}
}

// A stream arrives in pieces of any size. The pieces must not change what is
// read, and an event that was cut off must not be returned: the caller would
// get half a word.
func FuzzEvents(f *testing.F) {
	f.Add([]byte("data: {\"id\":\"a\"}\n\ndata: [DONE]\n\n"))
	f.Add([]byte("data: cut off"))
	f.Add([]byte("event: x\r\ndata:y\r\n\r\n: comment\ndata:\n"))
	f.Add([]byte("data: " + strings.Repeat("x", 9000) + "\n"))
	f.Add([]byte("\n\n\n"))
	f.Fuzz(func(t *testing.T, stream []byte) {
		whole, err := readAll(bytes.NewReader(stream))
		assert.Assert(t, errors.Is(err, io.EOF) || errors.Is(err, errEventTooLong))
		pieces, pieceErr := readAll(iotest.OneByteReader(bytes.NewReader(stream)))
		assert.DeepEqual(t, whole, pieces)
		assert.Equal(t, err, pieceErr)
		for _, event := range whole {
			assert.Assert(t, !strings.Contains(event, "\n"))
		}
		complete := stream[:bytes.LastIndexByte(stream, '\n')+1]
		ended, _ := readAll(bytes.NewReader(complete))
		assert.DeepEqual(t, whole, ended)
	})
}

func TestOverlongEventIsRefused(t *testing.T) {
	_, err := readAll(strings.NewReader("data: " + strings.Repeat("x", maxEventBytes) + "\n"))
	assert.ErrorIs(t, err, errEventTooLong)
}

// A target may report any value as its load; only usable values may pass.
func FuzzLoadReport(f *testing.F) {
	f.Add(`JSON {"application_utilization":0.5,"named_metrics":{"running":1,"waiting":2}}`)
	f.Add(`JSON {`)
	f.Add(`TEXT cpu_utilization=0.3`)
	f.Add(`JSON {"application_utilization":1e999}`)
	f.Add(`JSON null`)
	f.Fuzz(func(t *testing.T, value string) {
		report := ParseLoadHeader(value)
		if report == nil {
			return
		}
		for _, n := range []float64{report.Utilization, report.Named.Running, report.Named.Waiting, report.Named.CacheUsage} {
			assert.Assert(t, n >= 0 && n <= maxLoadValue, "%v", n)
		}
	})
}
