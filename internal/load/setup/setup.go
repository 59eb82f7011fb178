// Package setup configures a new deployment from a shape through the API for
// operators, and waits until entry VMs are up and have the configuration in force.
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

// Headers and paths of the API for operators.
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
	pollInterval   = 25 * time.Millisecond
)

// Operator is a client of the API for operators at one entry VM.
type Operator struct {
	client *fasthttp.Client
	entry  string
	key    string
}

// NewOperator returns a client with a bearer key for the entry VM at an IP:port.
func NewOperator(entry, key string) *Operator {
	return &Operator{client: &fasthttp.Client{MaxIdemponentCallAttempts: 1}, entry: entry, key: key}
}

// KeyHash returns the hash of a bearer key as contracts contain it.
func KeyHash(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// item is an item of the configuration.
type item struct {
	kind config.Kind
	name string
	body any
}

// items returns the configuration of a shape, ordered so that items only refer to
// earlier ones.
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

// Apply creates every item of the shape and returns the latest revision.
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

// putResponse is the response to an accepted change.
type putResponse struct {
	Revision config.Revision `json:"revision"`
}

// create creates an item. It retries with the same change ID while the entry VM
// is unreachable or answers 503.
func (o *Operator) create(ctx context.Context, i item) (config.Revision, error) {
	changeID := uuid.NewString()
	path := adminPath + string(i.kind) + "s/" + i.name
	var answer putResponse
	err := poll(ctx, func() (bool, error) {
		status, err := o.do(http.MethodPut, path, changeID, i.body, &answer)
		again := status == http.StatusServiceUnavailable || status == 0
		return again, err
	})
	return answer.Revision, err
}

// inForceResponse is the response to GET /v1/admin/in_force.
type inForceResponse struct {
	VMs []vmRevision `json:"vms"`
}

type vmRevision struct {
	Incarnation   string          `json:"incarnation"`
	CallerAddress string          `json:"caller_address"`
	Zone          string          `json:"zone"`
	Revision      config.Revision `json:"revision"`
}

// WaitInForce waits until a revision or a later one is in force at the given
// number of entry VMs.
func (o *Operator) WaitInForce(ctx context.Context, revision config.Revision, entries int) error {
	return poll(ctx, func() (bool, error) {
		var answer inForceResponse
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

// WaitOK waits until GET of a path at an address returns 200.
func WaitOK(ctx context.Context, address, path string) error {
	o := NewOperator(address, "")
	return poll(ctx, func() (bool, error) {
		status, err := o.do(http.MethodGet, path, "", nil, nil)
		return status != http.StatusOK, err
	})
}

// WaitReady waits until an entry VM reports that it is ready for requests.
func WaitReady(ctx context.Context, address string) error {
	return WaitOK(ctx, address, readyPath)
}

// WaitHealthy waits until an entry VM passes its health check, ready or not.
func WaitHealthy(ctx context.Context, address string) error {
	return WaitOK(ctx, address, healthPath)
}

// do sends one request. The status is 0 if there was no response.
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

// poll calls try until it returns again == false or ctx is done. In the latter case
// the error wraps the last error of try as well.
func poll(ctx context.Context, try func() (again bool, err error)) error {
	ticker := time.NewTicker(pollInterval)
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
