// Package setup has a fresh deployment accept the configuration of a shape, as
// an operator would, and waits until it is in force and requests get through.
package setup

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/google/uuid"
	"github.com/valyala/fasthttp"

	"github.com/vanillagate/vanillagate/internal/config"
	"github.com/vanillagate/vanillagate/internal/load/shape"
)

// Headers and paths of the operators' interface.
const (
	headerIfMatch  = "If-Match"
	headerChangeID = "Change-Id"
	headerOperator = "X-Operator"
	adminPath      = "/v1/admin/"
	inForcePath    = adminPath + "in_force"
	readyPath      = "/readyz"
	healthPath     = "/healthz"
	operatorName   = "vgload"
	callTimeout    = 3 * time.Second
	pollPeriod     = 25 * time.Millisecond
)

// Operator changes and reads the configuration at one entry VM.
type Operator struct {
	client *fasthttp.Client
	entry  string
	key    string
}

// NewOperator is an operator with a bearer key, at an entry VM's IP:port.
func NewOperator(entry, key string) *Operator {
	return &Operator{client: &fasthttp.Client{MaxIdemponentCallAttempts: 1}, entry: entry, key: key}
}

// KeyHash is the form in which keys are kept.
func KeyHash(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// item is one piece of the configuration.
type item struct {
	kind config.Kind
	name string
	body any
}

// items lists the whole configuration of a shape, in an order in which each
// refers only to what came before.
func items(s *shape.Shape) []item {
	var all []item
	for _, p := range s.Pools {
		all = append(all, item{config.KindPool, p.Name, p.Pool})
	}
	for _, p := range s.Pipelines {
		all = append(all, item{config.KindPipeline, p.Name, p})
	}
	for _, service := range s.Services {
		all = append(all, item{config.KindService, service.Name, service})
	}
	for _, c := range s.Customers {
		contract := c.Contract
		contract.KeyHashes = append([]string{KeyHash(c.Key)}, contract.KeyHashes...)
		all = append(all, item{config.KindContract, contract.Customer, contract})
	}
	return all
}

// Apply creates every item of the shape and gives the last revision.
func (o *Operator) Apply(ctx context.Context, s *shape.Shape) (config.Revision, error) {
	var last config.Revision
	for _, i := range items(s) {
		revision, err := o.create(ctx, i)
		if err != nil {
			return 0, err
		}
		last = max(last, revision)
	}
	return last, nil
}

// putAnswer answers an accepted change.
type putAnswer struct {
	Revision config.Revision `json:"revision"`
}

// create puts a new item. It asks again under the same change id while the
// entry VM says that it can't now.
func (o *Operator) create(ctx context.Context, i item) (config.Revision, error) {
	changeID := uuid.NewString()
	path := adminPath + string(i.kind) + "s/" + i.name
	var answer putAnswer
	err := poll(ctx, func() (bool, error) {
		status, err := o.do(http.MethodPut, path, changeID, i.body, &answer)
		again := status == http.StatusServiceUnavailable || status == 0
		return again, err
	})
	return answer.Revision, err
}

// inForce answers GET /v1/admin/in_force.
type inForce struct {
	VMs []vmInForce `json:"vms"`
}

type vmInForce struct {
	Incarnation   string          `json:"incarnation"`
	CallerAddress string          `json:"caller_address"`
	Zone          string          `json:"zone"`
	Revision      config.Revision `json:"revision"`
}

// WaitInForce waits until so many entry VMs have a revision in force.
func (o *Operator) WaitInForce(ctx context.Context, revision config.Revision, entries int) error {
	return poll(ctx, func() (bool, error) {
		var answer inForce
		if _, err := o.do(http.MethodGet, inForcePath, "", nil, &answer); err != nil {
			return true, err
		}
		count := 0
		for _, vm := range answer.VMs {
			if vm.Revision >= revision {
				count++
			}
		}
		if count >= entries {
			return false, nil
		}
		return true, fmt.Errorf("setup: revision %d is in force at %d of %d entry VMs", revision, count, entries)
	})
}

// WaitOK waits until an address answers GET on a path with 200.
func WaitOK(ctx context.Context, address, path string) error {
	o := NewOperator(address, "")
	return poll(ctx, func() (bool, error) {
		status, err := o.do(http.MethodGet, path, "", nil, nil)
		return status != http.StatusOK, err
	})
}

// WaitReady waits until an entry VM says that it is ready for callers.
func WaitReady(ctx context.Context, address string) error {
	return WaitOK(ctx, address, readyPath)
}

// WaitHealthy waits until an entry VM answers at all.
func WaitHealthy(ctx context.Context, address string) error {
	return WaitOK(ctx, address, healthPath)
}

// do makes one call. The status is 0 when there was no answer.
func (o *Operator) do(method, path, changeID string, body, into any) (int, error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(method)
	req.SetRequestURI("http://" + o.entry + path)
	req.Header.Set("Authorization", "Bearer "+o.key)
	req.Header.Set(headerOperator, operatorName)
	if changeID != "" {
		req.Header.Set(headerChangeID, changeID)
		req.Header.Set(headerIfMatch, `"0"`)
	}
	if body != nil {
		raw, err := json.Marshal(body)
		if err != nil {
			return 0, err
		}
		req.Header.SetContentType("application/json")
		req.SetBody(raw)
	}
	if err := o.client.DoTimeout(req, resp, callTimeout); err != nil {
		return 0, fmt.Errorf("setup: %s %s at %s: %w", method, path, o.entry, err)
	}
	status := resp.StatusCode()
	if status >= http.StatusBadRequest {
		return status, fmt.Errorf("setup: %s %s at %s: %d %s", method, path, o.entry, status, resp.Body())
	}
	if into == nil {
		return status, nil
	}
	return status, json.Unmarshal(resp.Body(), into)
}

// poll calls try until it says not to come again, or ctx ends; then the last
// error of try is told too.
func poll(ctx context.Context, try func() (again bool, err error)) error {
	ticker := time.NewTicker(pollPeriod)
	defer ticker.Stop()
	for {
		again, err := try()
		if !again {
			return err
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("%w: %w", ctx.Err(), err)
		case <-ticker.C:
		}
	}
}
