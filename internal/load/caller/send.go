package caller

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/vanillagate/vanillagate/internal/problem"
	"github.com/vanillagate/vanillagate/internal/targetapi"
)

// Headers of the API for callers.
const (
	headerTimeout      = "Request-Timeout" // milliseconds
	headerRetryAttempt = "Retry-Attempt"   // tries before this one
	headerRetryAfter   = "Retry-After"     // seconds
)

// pipelineRequest is the body of a pipeline call.
type pipelineRequest struct {
	Input     string `json:"input"`
	MaxTokens int    `json:"max_tokens"`
	Stream    bool   `json:"stream"`
}

// pipelineAnswer holds the fields of a pipeline's JSON answer that are checked.
type pipelineAnswer struct {
	Output string `json:"output"`
}

// answer is the result of one try.
type answer struct {
	status    int
	requestID string
	// output is the generated text, or the body of a service's answer.
	output string
	// ended is true if the answer was received up to its end.
	ended bool
	// problem is the error response of the system, if any.
	problem    *problem.Problem
	retryAfter time.Duration
	firstToken time.Time
	// err is a connection or decoding error.
	err error
	// refusedConnection is true if the connection could not be established, so
	// that nothing was sent.
	refusedConnection bool
}

func (c *Caller) send(conns *connections, address string, call Call, try int) answer {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	writeRequest(req, address, call, time.Now())
	// For a first try, the system can answer "not run" without checking whether
	// an earlier try ran.
	req.Header.Set(headerRetryAttempt, strconv.Itoa(try-1))
	resp.StreamBody = call.Kind == KindStream
	err := conns.clientFor(address).DoDeadline(req, resp, call.Deadline().Add(c.gracePeriod))
	if err != nil {
		return answer{err: err, refusedConnection: isDialError(err)}
	}
	got := answer{
		status:     resp.StatusCode(),
		requestID:  string(resp.Header.Peek(targetapi.HeaderRequestID)),
		retryAfter: retryAfter(string(resp.Header.Peek(headerRetryAfter))),
	}
	if resp.StreamBody {
		readStreamed(resp, &got)
		return got
	}
	got.readBody(resp.Body(), call.Kind)
	return got
}

// isDialError reports whether the connection could not be established.
func isDialError(err error) bool {
	var op *net.OpError
	return errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, fasthttp.ErrDialTimeout) ||
		(errors.As(err, &op) && op.Op == "dial")
}

func writeRequest(req *fasthttp.Request, address string, call Call, now time.Time) {
	left := max(call.Deadline().Sub(now).Milliseconds(), 1)
	req.Header.Set("Authorization", "Bearer "+call.BearerKey)
	req.Header.Set(headerTimeout, strconv.FormatInt(left, 10))
	req.Header.Set(targetapi.HeaderIdempotencyKey, call.IdempotencyKey)
	req.Header.SetContentType("application/json")
	if call.Kind == KindService {
		req.Header.SetMethod(call.Method)
		req.SetRequestURI("http://" + address + "/v1/services/" + call.Service + call.Path)
		if call.Method != http.MethodGet {
			req.SetBodyString(serviceBody(call))
		}
		return
	}
	req.Header.SetMethod(http.MethodPost)
	req.SetRequestURI("http://" + address + "/v1/pipelines/" + call.Pipeline)
	req.SetBody(mustJSON(pipelineRequest{
		Input:     pipelineInput(call),
		MaxTokens: call.MaxTokens,
		Stream:    call.Kind == KindStream,
	}))
}

func (a *answer) readBody(body []byte, kind Kind) {
	if a.status >= http.StatusBadRequest {
		a.problem = readProblem(a.status, body)
		return
	}
	if kind == KindService {
		a.output, a.ended = string(body), true
		return
	}
	var got pipelineAnswer
	if err := json.Unmarshal(body, &got); err != nil {
		a.err = err
		return
	}
	a.output, a.ended = got.Output, true
}

// readProblem decodes an error response. If the body isn't problem+json, the
// execution is unknown.
func readProblem(status int, body []byte) *problem.Problem {
	var p problem.Problem
	if json.Unmarshal(body, &p) == nil && p.Execution != "" {
		p.Status = status
		return &p
	}
	return &problem.Problem{Status: status, Title: http.StatusText(status), Execution: problem.Unknown}
}

func readStreamed(resp *fasthttp.Response, got *answer) {
	stream := resp.BodyStream()
	if stream == nil {
		got.readBody(resp.Body(), KindStream)
		return
	}
	defer func() { _ = resp.CloseBodyStream() }()
	if got.status >= http.StatusBadRequest {
		body, err := io.ReadAll(stream)
		if err != nil {
			got.err = err
			return
		}
		got.problem = readProblem(got.status, body)
		return
	}
	readEvents(stream, got)
}

// Parts of the server-sent events format.
const (
	eventField = "event:"
	dataField  = "data:"
	errorEvent = "error"
	doneData   = "[DONE]"
)

// readEvents reads server-sent events to the end of the stream. A stream is
// complete only if it has a [DONE] or an error event; otherwise it was truncated.
func readEvents(stream io.Reader, got *answer) {
	lines := bufio.NewReader(stream)
	var output strings.Builder
	event := ""
	for {
		line, err := lines.ReadBytes('\n')
		if err != nil {
			if !got.ended && got.problem == nil {
				got.err = io.ErrUnexpectedEOF
			}
			break
		}
		text := string(bytes.TrimRight(line, "\r\n"))
		switch {
		case text == "":
			event = ""
		case strings.HasPrefix(text, eventField):
			event = strings.TrimSpace(strings.TrimPrefix(text, eventField))
		case strings.HasPrefix(text, dataField):
			got.handleEvent(event, strings.TrimPrefix(strings.TrimPrefix(text, dataField), " "), &output)
		}
	}
	got.output = output.String()
}

func (a *answer) handleEvent(event, data string, output *strings.Builder) {
	if event == errorEvent {
		a.problem = readProblem(a.status, []byte(data))
		return
	}
	if data == doneData {
		a.ended = true
		return
	}
	var piece targetapi.Completion
	if err := json.Unmarshal([]byte(data), &piece); err != nil {
		a.err = err
		return
	}
	if a.firstToken.IsZero() {
		a.firstToken = time.Now()
	}
	for _, choice := range piece.Choices {
		output.WriteString(choice.Text)
	}
}

func retryAfter(header string) time.Duration {
	seconds, err := strconv.ParseFloat(header, 64)
	if err != nil || seconds < 0 {
		return 0
	}
	return time.Duration(seconds * float64(time.Second))
}

func mustJSON(value any) []byte {
	raw, err := json.Marshal(value)
	if err != nil {
		panic(err) // plain structs of strings and numbers always encode
	}
	return raw
}
