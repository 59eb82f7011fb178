package table

import (
	"encoding/json"
	"hash/crc32"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/vanillagate/vanillagate/internal/standin/fault"
	"github.com/vanillagate/vanillagate/internal/standin/outage"
)

const maxBodyBytes = 16 << 20

// Handler serves the protocol over HTTP and injects the faults that are set for
// the table.
type Handler struct {
	Table  *Table
	Faults *fault.Set
	// Latency is the duration of a call when no fault is set.
	Latency time.Duration
}

// ServeHTTP handles one API call.
func (h Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f := h.Faults.Combined(fault.ScopeTable)
	if f.Refuse {
		unavailable := fail(codeUnavailable, "The service is unavailable")
		unavailable.status = http.StatusServiceUnavailable
		write(w, unavailable.status, unavailable)
		return
	}
	outage.Wait(f, h.Latency)
	status, answer := h.dispatch(r)
	if h.Faults.Sample(f.LoseAnswerShare) {
		h.Table.countLostAnswer()
		outage.Abort()
	}
	write(w, status, answer)
}

func (t *Table) countLostAnswer() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stats.LostAnswers++
}

func (h Handler) dispatch(r *http.Request) (int, any) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
	if err != nil {
		return failureResponse(fail(codeSerialization, "%s", err))
	}
	name, found := strings.CutPrefix(r.Header.Get("X-Amz-Target"), targetPrefix)
	if !found || r.Method != http.MethodPost {
		return failureResponse(fail(codeUnknownOperation, "No X-Amz-Target of this service"))
	}
	switch name {
	case "GetItem":
		return decodeAndRun(body, h.Table.get)
	case "PutItem":
		return decodeAndRun(body, h.Table.put)
	case "Query":
		return decodeAndRun(body, h.Table.query)
	case "TransactWriteItems":
		return decodeAndRun(body, h.Table.transact)
	}
	return failureResponse(fail(codeUnknownOperation, "%s is not supported by this stand-in", name))
}

// decodeAndRun decodes the body and passes it to call. It returns the HTTP
// status and the body of the answer.
func decodeAndRun[Request, Answer any](body []byte, call func(Request) (Answer, *failure)) (int, any) {
	var r Request
	if err := json.Unmarshal(body, &r); err != nil {
		return failureResponse(fail(codeSerialization, "%s", err))
	}
	answer, f := call(r)
	if f != nil {
		return failureResponse(f)
	}
	return http.StatusOK, answer
}

func failureResponse(f *failure) (int, any) { return f.status, f }

func write(w http.ResponseWriter, status int, answer any) {
	raw, err := json.Marshal(answer)
	if err != nil {
		panic(err) // unreachable: all answer types can be encoded
	}
	w.Header().Set("Content-Type", contentType)
	w.Header().Set("X-Amz-Crc32", strconv.FormatUint(uint64(crc32.ChecksumIEEE(raw)), 10))
	w.WriteHeader(status)
	_, _ = w.Write(raw)
}
