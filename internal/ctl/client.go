package ctl

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"

	"github.com/vanillagate/vanillagate/internal/config"
	"github.com/vanillagate/vanillagate/internal/problem"
	"github.com/vanillagate/vanillagate/internal/query/costs"
	"github.com/vanillagate/vanillagate/internal/query/snapshot"
	"github.com/vanillagate/vanillagate/internal/query/status"
)

// Headers of operator requests.
const (
	headerOperator = "X-Operator"
	headerChangeID = "Change-Id"
)

// Limits of a request. An entry process takes at most 5 s for a change.
const (
	callTimeout    = 8 * time.Second
	maxAnswerBytes = 64 << 20
)

// kindPath is the path segment of the admin API for each kind of item.
var kindPath = map[config.Kind]string{
	config.KindContract: "contracts",
	config.KindPool:     "pools",
	config.KindPipeline: "pipelines",
	config.KindService:  "services",
	config.KindStop:     "stops",
}

// client sends requests to the entry processes.
type client struct {
	entries  []string // base URLs
	key      string
	operator string
	http     *fasthttp.Client
}

func newClient(entries []string, key, operator string) *client {
	c := &client{key: key, operator: operator, http: &fasthttp.Client{
		MaxResponseBodySize:       maxAnswerBytes,
		MaxIdemponentCallAttempts: 1,
	}}
	for _, entry := range entries {
		if !strings.Contains(entry, "://") {
			entry = "http://" + entry
		}
		c.entries = append(c.entries, strings.TrimSuffix(entry, "/"))
	}
	return c
}

// apiRequest is a request that any entry process can answer.
type apiRequest struct {
	method string
	path   string
	body   []byte
	// changeID and expectedRevision are set only for changes.
	changeID         string
	expectedRevision config.Revision
}

func (r apiRequest) isChange() bool { return r.changeID != "" }

// sendToAny sends the request to the entry processes in turn until one answers
// other than 503. Every attempt to make a change carries the same change ID, so
// that the change is applied only once even if several entry processes receive
// it. If all attempts fail, the error says that nothing was changed only if no
// attempt can have been applied.
func (c *client) sendToAny(ctx context.Context, r apiRequest) ([]byte, error) {
	failure := unreachableError{changeID: r.changeID}
	for _, entry := range c.entries {
		body, err := c.send(ctx, entry, r)
		if err == nil {
			return body, nil
		}
		var refusal *problem.Problem
		if errors.As(err, &refusal) && refusal.Status != statusUnavailable {
			return nil, refusal
		}
		failure.lastErr = err
		failure.outcomeUnknown = failure.outcomeUnknown || (r.isChange() && mayHaveRun(err))
	}
	return nil, failure
}

// mayHaveRun says whether the entry process may have run the request.
func mayHaveRun(err error) bool {
	var refusal *problem.Problem
	if errors.As(err, &refusal) {
		return refusal.Execution != problem.NotRun
	}
	return !errors.Is(err, errNotSent)
}

// errNotSent means that no connection was made, so that the request was not sent.
var errNotSent = errors.New("not connected")

// send sends the request to one entry process and returns the body of the
// answer. An answer outside 2xx is returned as a *problem.Problem.
func (c *client) send(ctx context.Context, entry string, r apiRequest) ([]byte, error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	c.fillRequest(req, entry, r)
	deadline := time.Now().Add(callTimeout)
	if ctxDeadline, ok := ctx.Deadline(); ok && ctxDeadline.Before(deadline) {
		deadline = ctxDeadline
	}
	if err := c.http.DoDeadline(req, resp, deadline); err != nil {
		if isDialError(err) {
			err = fmt.Errorf("%w: %w", errNotSent, err)
		}
		return nil, fmt.Errorf("%s: %w", entry, err)
	}
	if resp.StatusCode() < fasthttp.StatusOK || resp.StatusCode() >= fasthttp.StatusMultipleChoices {
		return nil, parseProblem(resp)
	}
	return append([]byte(nil), resp.Body()...), nil
}

// fillRequest sets the URI, method, headers and body of req.
func (c *client) fillRequest(req *fasthttp.Request, entry string, r apiRequest) {
	req.SetRequestURI(entry + r.path)
	req.Header.SetMethod(r.method)
	req.Header.Set(fasthttp.HeaderAuthorization, "Bearer "+c.key)
	req.Header.Set(headerOperator, c.operator)
	if !r.isChange() {
		return
	}
	req.Header.Set(headerChangeID, r.changeID)
	req.Header.Set(fasthttp.HeaderIfMatch, strconv.Quote(strconv.FormatUint(uint64(r.expectedRevision), 10)))
	if r.body != nil {
		req.Header.SetContentType("application/json")
		req.SetBodyRaw(r.body)
	}
}

// parseProblem returns the problem that an error answer describes. An answer
// without a problem, for example from a proxy in between, gets a generic one.
func parseProblem(resp *fasthttp.Response) *problem.Problem {
	parsed := &problem.Problem{}
	if err := json.Unmarshal(resp.Body(), parsed); err != nil || parsed.Title == "" {
		title := fmt.Sprintf("unexpected answer with status %d", resp.StatusCode())
		return problem.New(resp.StatusCode(), "not-ours", title, "", problem.Unknown)
	}
	parsed.Status = resp.StatusCode()
	return parsed
}

// get reads a JSON answer from the first entry process that can give it.
func get[T any](ctx context.Context, c *client, path string) (T, error) {
	var answer T
	raw, err := c.sendToAny(ctx, apiRequest{method: fasthttp.MethodGet, path: path})
	if err != nil {
		return answer, err
	}
	if err := json.Unmarshal(raw, &answer); err != nil {
		return answer, eris.Wrapf(err, "decode the answer of %s", path)
	}
	return answer, nil
}

// latestState reads the configuration in force from all entry processes of
// --entries and returns the one with the highest revision. A single entry
// process may not have received a change yet that the operator has just made
// through another.
func (c *client) latestState(ctx context.Context) (*config.State, error) {
	states := make([]*config.State, len(c.entries))
	errs := make([]error, len(c.entries))
	var all errgroup.Group
	for i, entry := range c.entries {
		all.Go(func() error {
			states[i], errs[i] = c.readState(ctx, entry)
			return nil
		})
	}
	_ = all.Wait() // the functions return no errors
	var latest *config.State
	for _, state := range states {
		if state != nil && (latest == nil || state.Revision > latest.Revision) {
			latest = state
		}
	}
	if latest == nil {
		return nil, mostSpecificError(errs)
	}
	return latest, nil
}

func (c *client) readState(ctx context.Context, entry string) (*config.State, error) {
	raw, err := c.send(ctx, entry, apiRequest{method: fasthttp.MethodGet, path: "/v1/admin/config"})
	if err != nil {
		return nil, err
	}
	return snapshot.Decode(raw)
}

// mostSpecificError returns the first error that an entry process answered, other
// than 503, or an unreachableError if there is none.
func mostSpecificError(errs []error) error {
	for _, err := range errs {
		var refusal *problem.Problem
		if errors.As(err, &refusal) && refusal.Status != statusUnavailable {
			return refusal
		}
	}
	return unreachableError{lastErr: errs[0]}
}

// changeAnswer is the answer to a change.
type changeAnswer struct {
	Revision config.Revision `json:"revision"`
	// Announced says that a planned stop is in effect although the store could
	// not record it yet. Revision is then zero.
	Announced bool `json:"announced,omitempty"`
}

// change is a change to one item.
type change struct {
	kind             config.Kind
	name             string
	body             []byte // nil to delete the item
	expectedRevision config.Revision
	id               string
}

func (c *client) submit(ctx context.Context, ch change) (changeAnswer, error) {
	r := apiRequest{
		method:           fasthttp.MethodPut,
		path:             "/v1/admin/" + kindPath[ch.kind] + "/" + url.PathEscape(ch.name),
		body:             ch.body,
		changeID:         ch.id,
		expectedRevision: ch.expectedRevision,
	}
	if ch.body == nil {
		r.method = fasthttp.MethodDelete
	}
	var answer changeAnswer
	raw, err := c.sendToAny(ctx, r)
	if err != nil {
		return answer, err
	}
	return answer, json.Unmarshal(raw, &answer)
}

// vmRevision is the configuration revision in force at one entry process.
type vmRevision struct {
	Incarnation   string          `json:"incarnation"`
	CallerAddress string          `json:"caller_address"`
	Zone          string          `json:"zone"`
	Revision      config.Revision `json:"revision"`
}

type inForceAnswer struct {
	VMs []vmRevision `json:"vms"`
}

type entryAddress struct {
	Address string `json:"address"`
	Zone    string `json:"zone"`
}

type entriesAnswer struct {
	Entries []entryAddress `json:"entries"`
}

// vmRevisions lists the entry processes with the revision in force at each. An
// entry process that is listed for callers but gave no answer has revision zero
// and no incarnation.
func (c *client) vmRevisions(ctx context.Context) ([]vmRevision, error) {
	inForce, err := get[inForceAnswer](ctx, c, "/v1/admin/in_force")
	if err != nil {
		return nil, err
	}
	entries, err := get[entriesAnswer](ctx, c, "/v1/entries")
	if err != nil {
		return nil, err
	}
	answered := map[string]bool{}
	for _, vm := range inForce.VMs {
		answered[vm.CallerAddress] = true
	}
	for _, entry := range entries.Entries {
		if !answered[entry.Address] {
			inForce.VMs = append(inForce.VMs, vmRevision{CallerAddress: entry.Address, Zone: entry.Zone})
		}
	}
	return inForce.VMs, nil
}

func (c *client) status(ctx context.Context) (status.Status, error) {
	return get[status.Status](ctx, c, "/v1/admin/status")
}

func (c *client) costs(ctx context.Context, since time.Time) (costs.Report, error) {
	return get[costs.Report](ctx, c, "/v1/admin/costs?since="+url.QueryEscape(since.UTC().Format(time.RFC3339)))
}

func isDialError(err error) bool {
	var op *net.OpError
	return errors.Is(err, fasthttp.ErrDialTimeout) || (errors.As(err, &op) && op.Op == "dial")
}
