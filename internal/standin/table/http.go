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

const maxBody = 16 << 20

// Handler speaks the protocol over HTTP and suffers the table's faults.
type Handler struct {
	Table  *Table
	Faults *fault.Set
	// Latency is what a call takes without any fault.
	Latency time.Duration
}

// ServeHTTP answers one call.
func (h Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f := h.Faults.Combined(fault.ScopeTable)
	if f.Refuse {
		unavailable := fail(codeUnavailable, "The service is unavailable")
		unavailable.status = http.StatusServiceUnavailable
		write(w, unavailable.status, unavailable)
		return
	}
	outage.Wait(f, h.Latency)
	status, answer := h.call(r)
	if h.Faults.Sample(f.LoseAnswerShare) {
		h.Table.lostAnswer()
		outage.Abort()
	}
	write(w, status, answer)
}

func (t *Table) lostAnswer() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stats.LostAnswers++
}

func (h Handler) call(r *http.Request) (int, any) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBody))
	if err != nil {
		return failed(fail(codeSerialization, "%s", err))
	}
	name, found := strings.CutPrefix(r.Header.Get("X-Amz-Target"), targetPrefix)
	if !found || r.Method != http.MethodPost {
		return failed(fail(codeUnknownCall, "No X-Amz-Target of this service"))
	}
	switch name {
	case "GetItem":
		return run(body, h.Table.get)
	case "PutItem":
		return run(body, h.Table.put)
	case "Query":
		return run(body, h.Table.query)
	case "TransactWriteItems":
		return run(body, h.Table.transact)
	}
	return failed(fail(codeUnknownCall, "%s is not supported by this stand-in", name))
}

func run[Request, Answer any](body []byte, call func(Request) (Answer, *failure)) (int, any) {
	var r Request
	if err := json.Unmarshal(body, &r); err != nil {
		return failed(fail(codeSerialization, "%s", err))
	}
	answer, f := call(r)
	if f != nil {
		return failed(f)
	}
	return http.StatusOK, answer
}

func failed(f *failure) (int, any) { return f.status, f }

func write(w http.ResponseWriter, status int, answer any) {
	raw, err := json.Marshal(answer)
	if err != nil {
		panic(err) // our own types can always be encoded
	}
	w.Header().Set("Content-Type", contentType)
	w.Header().Set("X-Amz-Crc32", strconv.FormatUint(uint64(crc32.ChecksumIEEE(raw)), 10))
	w.WriteHeader(status)
	_, _ = w.Write(raw)
}
