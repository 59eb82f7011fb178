// Package control is the client of the stand-ins' control listener: it reads
// what the targets counted and switches faults.
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
	timeout = 10 * time.Second
	// DefaultIdleWait is a usual limit for CountsWhenIdle.
	DefaultIdleWait = 2 * time.Second
	settlePeriod    = 50 * time.Millisecond
	countsPath      = "/counts"
	resetPath       = "/counts/reset"
	summaryPath     = "/summary"
	faultsPath      = "/faults"
	vmStatePath     = "/vms/state"
)

// Execution is one call that a target ran.
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

// Counts answers GET /counts.
type Counts struct {
	Executions []Execution `json:"executions"`
}

// FaultRequest replaces the fault of a scope; an empty Fault clears it.
type FaultRequest struct {
	Scope string          `json:"scope"`
	Fault json.RawMessage `json:"fault"`
}

// VMStateRequest orders a row of the VM list into a state.
type VMStateRequest struct {
	Address string `json:"address"`
	State   string `json:"state"`
}

// Client talks to one control listener.
type Client struct {
	address string
	client  *fasthttp.Client
}

// New is a client of the control listener at an IP:port.
func New(address string) *Client {
	return &Client{address: address, client: &fasthttp.Client{MaxIdemponentCallAttempts: 1}}
}

// Counts lists every call that the targets ran since the last Reset.
func (c *Client) Counts() (Counts, error) {
	var counts Counts
	err := c.do(http.MethodGet, countsPath, nil, &counts)
	return counts, err
}

// CountsWhenIdle reads the counts once every call has ended, or when limit has passed:
// a call that still runs as the last answer arrives may be a second execution.
func (c *Client) CountsWhenIdle(limit time.Duration) (Counts, error) {
	for until := time.Now().Add(limit); ; time.Sleep(settlePeriod) {
		counts, err := c.Counts()
		if err != nil || !counts.running() || time.Now().After(until) {
			return counts, err
		}
	}
}

func (c Counts) running() bool {
	return slices.ContainsFunc(c.Executions, func(x Execution) bool { return !x.Finished && !x.Cancelled })
}

// Reset forgets the executions so far.
func (c *Client) Reset() error { return c.do(http.MethodPost, resetPath, nil, nil) }

// SetFault switches a fault.
func (c *Client) SetFault(order FaultRequest) error {
	return c.do(http.MethodPut, faultsPath, order, nil)
}

// SetVMState changes a row of the VM list.
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
	if err := c.client.DoTimeout(req, resp, timeout); err != nil {
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
