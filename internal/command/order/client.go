package order

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/vanillagate/vanillagate/internal/targetapi"
)

// Result is the result of an order.
type Result string

// The results. After all of them except Fenced the engine's report is read
// again.
const (
	// Done: the engine confirmed that it serves what was ordered.
	Done Result = "done"
	// Fenced: the engine has received a higher fencing token, so another
	// steward holds the lease.
	Fenced Result = "fenced"
	// Refused: the engine did not execute the order.
	Refused Result = "refused"
	// Unknown: there was no answer. The engine may execute the order.
	Unknown Result = "unknown"
)

// Limits of the calls.
const (
	reportTimeout  = time.Second
	orderTimeout   = 2 * time.Minute // includes loading the weights
	dialTimeout    = 500 * time.Millisecond
	maxAnswerBytes = 1 << 20
	maxConnections = 4
)

// Client sends orders to engines and reads their reports.
type Client struct{ http *fasthttp.Client }

// NewClient returns a Client.
func NewClient() *Client {
	dialer := &fasthttp.TCPDialer{Concurrency: 64}
	return &Client{http: &fasthttp.Client{
		Dial:                func(addr string) (net.Conn, error) { return dialer.DialTimeout(addr, dialTimeout) },
		MaxConnsPerHost:     maxConnections,
		MaxResponseBodySize: maxAnswerBytes,
		// Each order is sent only after a check of the lease, so the library
		// must not resend one by itself.
		MaxIdemponentCallAttempts: 1,
	}}
}

// Report returns the models that an engine serves.
func (c *Client) Report(ctx context.Context, address string) (targetapi.ModelList, error) {
	var report targetapi.ModelList
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + address + targetapi.PathModels)
	if err := c.http.DoDeadline(req, resp, earliestDeadline(ctx, reportTimeout)); err != nil {
		return report, fmt.Errorf("order: report of %s: %w", address, err)
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return report, fmt.Errorf("order: report of %s: status %d", address, resp.StatusCode())
	}
	if err := json.Unmarshal(resp.Body(), &report); err != nil {
		return report, fmt.Errorf("order: report of %s: %w", address, err)
	}
	return report, nil
}

// Send sends one order with a fencing token. requestID identifies the order in
// the engine's logs.
func (c *Client) Send(ctx context.Context, address string, o Order, token uint64, requestID string) (Result, error) {
	path, body := o.pathAndBody()
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + address + path)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.Header.SetContentType("application/json")
	req.Header.Set(targetapi.HeaderRequestID, requestID)
	req.Header.Set(targetapi.HeaderFencingToken, strconv.FormatUint(token, 10))
	req.SetBodyRaw(body)
	if err := c.http.DoDeadline(req, resp, earliestDeadline(ctx, orderTimeout)); err != nil {
		return Unknown, fmt.Errorf("order: send to %s: %w", address, err)
	}
	return resultOf(resp.StatusCode()), nil
}

func resultOf(status int) Result {
	switch {
	case status >= fasthttp.StatusOK && status < fasthttp.StatusMultipleChoices:
		return Done
	case status == fasthttp.StatusConflict:
		return Fenced
	case status >= fasthttp.StatusInternalServerError:
		return Unknown
	default:
		return Refused
	}
}

func (o Order) pathAndBody() (path string, body []byte) {
	switch {
	case o.SetModel != nil:
		return targetapi.PathSetModel, encode(o.SetModel)
	case o.LoadAdapter != nil:
		return targetapi.PathLoadAdapter, encode(o.LoadAdapter)
	case o.UnloadAdapter != nil:
		return targetapi.PathUnloadAdapter, encode(o.UnloadAdapter)
	default:
		panic("order: empty order")
	}
}

func encode(body any) []byte {
	raw, err := json.Marshal(body)
	if err != nil {
		panic(fmt.Sprintf("order: encode %T: %v", body, err))
	}
	return raw
}

func earliestDeadline(ctx context.Context, limit time.Duration) time.Time {
	limitDeadline := time.Now().Add(limit)
	if ctxDeadline, ok := ctx.Deadline(); ok && ctxDeadline.Before(limitDeadline) {
		return ctxDeadline
	}
	return limitDeadline
}
