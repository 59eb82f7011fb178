package order

import (
	"context"
	"encoding/json"
	"fmt"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/vanillagate/vanillagate/internal/target"
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
	maxAnswerBytes = 1 << 20
)

// Client sends orders to engines and reads their reports.
type Client struct{ targets *target.Client }

// NewClient returns a Client.
func NewClient() *Client { return &Client{targets: target.NewClient(maxAnswerBytes)} }

// Prune closes connections that have been unused for too long. Call it regularly.
func (c *Client) Prune(now time.Time) { c.targets.Prune(now) }

// Report returns the models that an engine serves.
func (c *Client) Report(ctx context.Context, address string) (targetapi.ModelList, error) {
	var report targetapi.ModelList
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	answer, err := c.targets.Do(ctx, target.Call{Address: address, Method: fasthttp.MethodGet, Path: targetapi.PathModels})
	if err != nil {
		return report, fmt.Errorf("order: report of %s: %w", address, err)
	}
	if answer.Status != fasthttp.StatusOK {
		return report, fmt.Errorf("order: report of %s: status %d", address, answer.Status)
	}
	if err := json.Unmarshal(answer.Body, &report); err != nil {
		return report, fmt.Errorf("order: report of %s: %w", address, err)
	}
	return report, nil
}

// Send sends one order with a fencing token, once: each order is sent only after a check of the lease. requestID
// identifies the order in the engine's logs.
func (c *Client) Send(ctx context.Context, address string, o Order, token uint64, requestID string) (Result, error) {
	path, body := o.pathAndBody()
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	answer, err := c.targets.Do(ctx, target.Call{
		Address: address, Method: fasthttp.MethodPost, Path: path, ContentType: "application/json", Body: body,
		Headers: []target.Header{
			{Name: targetapi.HeaderRequestID, Value: requestID},
			{Name: targetapi.HeaderFencingToken, Value: strconv.FormatUint(token, 10)},
		},
	})
	if err != nil {
		return Unknown, fmt.Errorf("order: send to %s: %w", address, err)
	}
	return resultOf(answer.Status), nil
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
