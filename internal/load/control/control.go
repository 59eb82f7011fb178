// Package control is a client of the stand-ins' control listener: it reads the
// executions that targets recorded and sets faults and VM states.
package control

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"time"

	"github.com/valyala/fasthttp"
)

const (
	callTimeout = 10 * time.Second
	// DefaultIdleWait is the default limit for CountsWhenIdle.
	DefaultIdleWait  = 2 * time.Second
	idlePollInterval = 50 * time.Millisecond
	countsPath       = "/counts"
	resetPath        = "/counts/reset"
	summaryPath      = "/summary"
	faultsPath       = "/faults"
	vmStatePath      = "/vms/state"
)

// Execution is the record of a call that a target ran.
type Execution struct {
	Target         string `json:"target"`
	Pool           string `json:"pool"`
	RequestID      string `json:"request_id"`
	IdempotencyKey string `json:"idempotency_key"`
	Customer       string `json:"customer"`
	Method         string `json:"method"`
	Path           string `json:"path"`
	Finished       bool   `json:"finished"`
	Cancelled      bool   `json:"cancelled"`
	EngineUS       int64  `json:"engine_us"`
	PromptTokens   int    `json:"prompt_tokens"`
	CachedTokens   int    `json:"cached_tokens"`
}

// Counts is the response to GET /counts.
type Counts struct {
	Executions []Execution `json:"executions"`
}

// FaultRequest sets the fault of a scope; {} as Fault clears it.
type FaultRequest struct {
	Scope string          `json:"scope"`
	Fault json.RawMessage `json:"fault"`
}

// VMStateRequest sets the state of a VM in the VM list.
type VMStateRequest struct {
	Address string `json:"address"`
	State   string `json:"state"`
}

// Client sends requests to a control listener.
type Client struct {
	address string
	client  *fasthttp.Client
}

// New returns a client of the control listener at an IP:port.
func New(address string) *Client {
	return &Client{address: address, client: &fasthttp.Client{MaxIdemponentCallAttempts: 1}}
}

// Counts returns every call that the targets ran since the last Reset.
func (c *Client) Counts() (Counts, error) {
	var counts Counts
	err := c.do(http.MethodGet, countsPath, nil, &counts)
	return counts, err
}

// CountsWhenIdle returns the counts once no call is running, or after limit. A call
// that still runs when the last answer arrives may be a second execution of the
// same request.
func (c *Client) CountsWhenIdle(limit time.Duration) (Counts, error) {
	for until := time.Now().Add(limit); ; time.Sleep(idlePollInterval) {
		counts, err := c.Counts()
		if err != nil || !counts.hasRunningCalls() || time.Now().After(until) {
			return counts, err
		}
	}
}

func (c Counts) hasRunningCalls() bool {
	return slices.ContainsFunc(c.Executions, func(x Execution) bool { return !x.Finished && !x.Cancelled })
}

// Reset deletes the recorded executions.
func (c *Client) Reset() error { return c.do(http.MethodPost, resetPath, nil, nil) }

// SetFault sets or clears a fault.
func (c *Client) SetFault(order FaultRequest) error {
	return c.do(http.MethodPut, faultsPath, order, nil)
}

// SetVMState sets the state of a VM in the VM list.
func (c *Client) SetVMState(state VMStateRequest) error {
	return c.do(http.MethodPost, vmStatePath, state, nil)
}

func (c *Client) do(method, path string, body, into any) error {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(method)
	req.SetRequestURI("http://" + c.address + path)
	if body != nil {
		raw, err := json.Marshal(body)
		if err != nil {
			return err
		}
		req.Header.SetContentType("application/json")
		req.SetBody(raw)
	}
	if err := c.client.DoTimeout(req, resp, callTimeout); err != nil {
		return fmt.Errorf("control: %s %s: %w", method, path, err)
	}
	if resp.StatusCode() >= http.StatusBadRequest {
		return fmt.Errorf("control: %s %s: %d %s", method, path, resp.StatusCode(), resp.Body())
	}
	if into == nil {
		return nil
	}
	return json.Unmarshal(resp.Body(), into)
}
