package entry

import (
	"context"
	"encoding/json"
	"fmt"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"github.com/vanillagate/vanillagate/internal/backing"
	"github.com/vanillagate/vanillagate/internal/command/change"
	"github.com/vanillagate/vanillagate/internal/config"
	"github.com/vanillagate/vanillagate/internal/inforce"
	"github.com/vanillagate/vanillagate/internal/peer"
	"github.com/vanillagate/vanillagate/internal/problem"
)

// Request headers of operator calls.
const (
	headerOperator = "X-Operator"
	headerChangeID = "Change-Id"
)

// kindByPath maps the path section of an admin URL to the kind of item it
// changes.
var kindByPath = map[string]config.Kind{
	"contracts": config.KindContract,
	"pools":     config.KindPool,
	"pipelines": config.KindPipeline,
	"services":  config.KindService,
	"stops":     config.KindStop,
}

const (
	changeTimeout   = 5 * time.Second
	peerCallTimeout = time.Second
)

func (s *Server) serveAdmin(ctx *fasthttp.RequestCtx, path string) {
	operator, prob := s.authenticateOperator(ctx)
	if prob != nil {
		writeProblem(ctx, prob)
		return
	}
	section, name, _ := strings.Cut(path, "/")
	kind, isItem := kindByPath[section]
	switch {
	case isItem && name != "":
		s.serveChange(ctx, operator, kind, name)
	case section == "config" && ctx.IsGet():
		writeJSON(ctx, s.keeper.State())
	case section == "in_force" && ctx.IsGet():
		writeJSON(ctx, InForce{VMs: s.collectStandings()})
	case section == "status" && ctx.IsGet():
		s.serveStatus(ctx)
	case section == "costs" && ctx.IsGet():
		s.serveCosts(ctx)
	default:
		writeProblem(ctx, problem.New(404, "no-path", "No such path", path+" is not served to operators.", problem.NotRun))
	}
}

// Accepted is the response to a change that is in force in this process.
type Accepted struct {
	Revision config.Revision `json:"revision"`
	// Announced means that a stop is in effect at every reachable entry VM
	// although the store could not record it yet (Revision is zero).
	Announced bool `json:"announced,omitempty"`
}

func (s *Server) serveChange(ctx *fasthttp.RequestCtx, operator string, kind config.Kind, name string) {
	req, prob := readChange(ctx, operator, kind, name)
	if prob != nil {
		writeProblem(ctx, prob)
		return
	}
	stop, isStop := parseStop(req)
	announced := isStop && s.stops.announce(req, stop)
	submitCtx, cancel := context.WithTimeout(context.Background(), changeTimeout)
	defer cancel()
	out := s.changes.Submit(submitCtx, req)
	s.log.Info("Change submitted.", zap.String("operator", operator), zap.String("item", config.ItemKey(kind, name)),
		zap.String("change", req.ID), zap.Int("result", int(out.Result)), zap.Uint64("revision", uint64(out.Revision)))
	if out.Result == change.Accepted {
		s.applyAccepted(req, out.Revision)
		writeJSON(ctx, Accepted{Revision: out.Revision})
		return
	}
	if announced && (out.Result == change.Unavailable || out.Result == change.Unknown) {
		ctx.SetStatusCode(fasthttp.StatusAccepted)
		writeJSON(ctx, Accepted{Announced: true})
		return
	}
	if announced {
		s.stops.withdraw(req)
	}
	writeProblem(ctx, changeProblem(out))
}

func readChange(ctx *fasthttp.RequestCtx, operator string, kind config.Kind, name string) (change.Request, *problem.Problem) {
	req := change.Request{ID: string(ctx.Request.Header.Peek(headerChangeID)), Kind: kind, Name: name, By: operator}
	if req.ID == "" {
		req.ID = uuid.NewString()
	}
	expect := strings.Trim(string(ctx.Request.Header.Peek(fasthttp.HeaderIfMatch)), `"`)
	if expect == "" {
		return req, problem.New(428, "if-match", "If-Match is missing",
			"If-Match must be the revision of the item's last change, 0 for a new item.", problem.NotRun)
	}
	revision, err := strconv.ParseUint(expect, 10, 64)
	if err != nil {
		return req, problem.New(400, "if-match", "Bad If-Match", "If-Match must be a revision.", problem.NotRun)
	}
	req.ExpectedRevision = config.Revision(revision)
	switch {
	case ctx.IsDelete():
		req.Deleted = true
	case ctx.IsPut():
		req.Body = append(json.RawMessage(nil), ctx.PostBody()...)
	default:
		return req, problem.New(405, "method", "Method not allowed", "Use PUT or DELETE.", problem.NotRun)
	}
	return req, nil
}

// parseStop returns the stop that a change request creates, if it is one.
func parseStop(req change.Request) (config.Stop, bool) {
	var stop config.Stop
	if req.Kind != config.KindStop || req.Deleted || json.Unmarshal(req.Body, &stop) != nil {
		return stop, false
	}
	return stop, stop.ID != "" && stop.ID == req.Name && stop.Address != ""
}

// applyAccepted puts an accepted change in force without waiting for the next
// read of the table.
func (s *Server) applyAccepted(req change.Request, revision config.Revision) {
	s.keeper.ApplyAndPublish(config.Change{
		ID: req.ID, Revision: revision, Kind: req.Kind, Name: req.Name, Deleted: req.Deleted,
		Body: req.Body, By: req.By, At: time.Now().UTC(),
	})
}

func changeProblem(out change.Outcome) *problem.Problem {
	switch out.Result {
	case change.Conflict:
		return problem.New(412, "conflict", "Somebody else changed it", fmt.Sprintf(
			"%s changed this item at revision %d (change %s). Nothing of this change was applied.",
			out.Last.By, out.Last.Revision, out.Last.ChangeID), problem.NotRun)
	case change.Invalid:
		return problem.New(400, "invalid", "Not a valid item", strings.Join(out.ValidationErrors, "; "), problem.NotRun)
	case change.Unavailable:
		return problem.New(503, "store-down", "The table service is down",
			"Nothing was changed.", problem.NotRun).WithRetryAfter(claimRetryAfter)
	default:
		return problem.New(503, "store-silent", "The table service gave no answer",
			"The change may have been accepted. Send it again with the same Change-Id.", problem.Unknown).
			WithRetryAfter(claimRetryAfter)
	}
}

// InForce is the response to GET /v1/admin/in_force.
type InForce struct {
	VMs []inforce.ProcessRevision `json:"vms"`
}

// collectStandings asks every peer which revision it has in force. Peers are
// asked on demand: if every VM broadcast its revision after every change, that
// would be most of the peer traffic.
func (s *Server) collectStandings() []inforce.ProcessRevision {
	list := []inforce.ProcessRevision{s.keeper.OwnRevision()}
	var mu sync.Mutex // guards list
	callPeers(s, inforce.MethodRevision, func(st inforce.ProcessRevision) {
		mu.Lock()
		defer mu.Unlock()
		list = append(list, st)
	})
	list = append(list, s.unresponsive(list)...)
	sort.Slice(list, func(i, j int) bool { return list[i].CallerAddress < list[j].CallerAddress })
	return list
}

// unresponsive lists the entry VMs that should be serving but did not answer;
// their entries have no incarnation. Without them a frozen or partitioned VM
// would be missing from the list, and an operator would conclude that a
// revision is in force everywhere.
func (s *Server) unresponsive(answered []inforce.ProcessRevision) []inforce.ProcessRevision {
	known := map[string]bool{}
	for _, st := range answered {
		known[st.CallerAddress] = true
	}
	var list []inforce.ProcessRevision
	add := func(address, zone string) {
		if address != "" && !known[address] {
			known[address] = true
			list = append(list, inforce.ProcessRevision{CallerAddress: address, Zone: zone})
		}
	}
	for _, m := range s.opts.Network.Members() {
		if m.State != peer.Leaving {
			add(m.CallerAddress, m.Zone)
		}
	}
	for _, vm := range s.vms.get() {
		if vm.Role == backing.RoleEntry && vm.State == backing.VMLive {
			add(vm.Address, vm.Zone)
		}
	}
	return list
}

// maxConcurrentPeerCalls bounds the concurrent calls that callPeers makes.
const maxConcurrentPeerCalls = 16

// callPeers calls a method at every entry process among the peers and passes
// each answer to onAnswer, which may run concurrently. Peers that don't answer
// in time are skipped.
func callPeers[T any](s *Server, method string, onAnswer func(T)) {
	var wait sync.WaitGroup
	slots := make(chan struct{}, maxConcurrentPeerCalls)
	for _, m := range s.opts.Network.Members() {
		if m.CallerAddress == "" {
			continue
		}
		slots <- struct{}{}
		wait.Go(func() {
			defer func() { <-slots }()
			ctx, cancel := context.WithTimeout(context.Background(), peerCallTimeout)
			defer cancel()
			var answer T
			if s.opts.Network.Call(ctx, m.Incarnation, method, nil, &answer) == nil {
				onAnswer(answer)
			}
		})
	}
	wait.Wait()
}
