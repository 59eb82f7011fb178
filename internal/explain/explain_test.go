package explain

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

const logA = `{"level":"info","ts":"2026-02-23T05:07:52.086Z","msg":"request: Attempt got no answer.","request":"r1","target":"t1","sent":true}
not json
{"level":"info","ts":"2026-02-23T05:07:52.090Z","msg":"request: Answered by ourselves.","request":"r1","status":502,"reason":"target gave no answer"}
{"level":"info","ts":"2026-02-23T05:07:52.091Z","msg":"request: Answered by ourselves.","request":"r2","status":503}
{"level":"warn","ts":"2026-02-23T05:07:57.000Z","msg":"Log lines left out.","repeated":7,"dropped":1}
`

const logB = `  12.1 vm-b {"level":"info","ts":"2026-02-23T05:07:51.000Z","msg":"request: Target refused.","request":"r1","target":"t0"}
`

func TestLinesOfSeveralLogsAreSortedByTime(t *testing.T) {
	r := &RequestLog{Request: "r1"}
	assert.NilError(t, r.Read("vm-a", strings.NewReader(logA)))
	assert.NilError(t, r.Read("vm-b", strings.NewReader(logB)))
	r.Sort()
	var out strings.Builder
	assert.NilError(t, r.Write(&out))
	assert.Equal(t, out.String(), `05:07:51.000 vm-b: request: Target refused. target=t0
05:07:52.086 vm-a: request: Attempt got no answer. sent=true target=t1
05:07:52.090 vm-a: request: Answered by ourselves. reason=target gave no answer status=502
8 lines were left out of these logs; some may have been about this request.
`)
}

func TestRequestWithoutLinesIsReported(t *testing.T) {
	r := &RequestLog{Request: "nobody"}
	assert.NilError(t, r.Read("vm-a", strings.NewReader(logA)))
	var out strings.Builder
	assert.NilError(t, r.Write(&out))
	assert.Assert(t, strings.HasPrefix(out.String(), "No line about nobody."))
}
