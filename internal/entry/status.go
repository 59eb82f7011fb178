package entry

import (
	"context"
	"encoding/json"
	"strings"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/vanillagate/vanillagate/internal/config"
	"github.com/vanillagate/vanillagate/internal/problem"
	"github.com/vanillagate/vanillagate/internal/query/costs"
	"github.com/vanillagate/vanillagate/internal/query/leases"
	"github.com/vanillagate/vanillagate/internal/query/status"
	"github.com/vanillagate/vanillagate/internal/suspect"
)

// methodStatus is the peer call that returns a process's status report.
const methodStatus = "status"

// queryTimeout bounds the reads for one operator query.
const queryTimeout = 3 * time.Second

func (s *Server) handleStatus(context.Context, json.RawMessage) (any, error) {
	return s.statusReport(), nil
}

// statusReport returns the status as this process sees it.
func (s *Server) statusReport() status.Report {
	now := time.Now()
	self := s.opts.Network.Self()
	return status.Report{
		Incarnation: self.Incarnation, CallerAddress: self.CallerAddress, Zone: self.Zone,
		Revision: s.keeper.State().Revision, Leaving: s.shuttingDown.Load() || s.stops.entryVMs()[self.CallerAddress], InFlight: int(s.callerRequests.Load()),
		Targets: s.targetReports(now), AtLimit: s.customers.AtLimit(now),
		Stores: s.health.report(), Suspects: s.suspectReports(now),
	}
}

func (s *Server) targetReports(now time.Time) []status.TargetReport {
	list := []status.TargetReport{}
	for _, t := range s.targets.Status(now) {
		list = append(list, status.TargetReport{
			Address: t.Address, Pool: t.Pool, Zone: t.Zone, InFlight: t.InFlight,
			Leaving: t.Leaving, OutOfUse: t.OutOfUse,
		})
	}
	return list
}

func (s *Server) suspectReports(now time.Time) []status.Suspect {
	var list []status.Suspect
	for _, r := range s.suspects.table.List(now) {
		list = append(list, status.Suspect{
			Fingerprint: string(r.Fingerprint), Verdict: string(r.Verdict), Crashes: r.Crashes,
		})
	}
	for _, c := range s.suspects.detector.Convictions() {
		list = append(list, status.Suspect{
			Fingerprint: strings.Join(c.Names(), "+"), Verdict: string(suspect.Convicted), Crashes: c.Crashes,
		})
	}
	return list
}

// serveStatus collects the reports of all entry processes and merges them.
func (s *Server) serveStatus(ctx *fasthttp.RequestCtx) {
	sources := status.Sources{Reports: []status.Report{s.statusReport()}, Listed: s.vms.get(), Stops: s.stops.list()}
	var mu sync.Mutex // guards sources.Reports
	callPeers(s, methodStatus, func(r status.Report) {
		mu.Lock()
		defer mu.Unlock()
		sources.Reports = append(sources.Reports, r)
	})
	readCtx, cancel := context.WithTimeout(context.Background(), queryTimeout)
	defer cancel()
	sources.Leases, sources.LeasesErr = leases.List(readCtx, s.opts.Table)
	writeJSON(ctx, status.Merge(sources))
}

// defaultCostSpan is the period that GET /v1/admin/costs covers if no start is
// given.
const defaultCostSpan = 24 * time.Hour

// serveCosts sums the cost rows between the query parameters since and until
// (RFC 3339). Costs that processes have not written yet are not included.
func (s *Server) serveCosts(ctx *fasthttp.RequestCtx) {
	now := time.Now()
	since, err := timeArg(ctx, "since", now.Add(-defaultCostSpan))
	if err != nil {
		writeProblem(ctx, problem.New(400, "bad-time", "Bad time", err.Error(), problem.NotRun))
		return
	}
	until, err := timeArg(ctx, "until", now)
	if err != nil {
		writeProblem(ctx, problem.New(400, "bad-time", "Bad time", err.Error(), problem.NotRun))
		return
	}
	readCtx, cancel := context.WithTimeout(context.Background(), queryTimeout)
	defer cancel()
	report, err := costs.Sum(readCtx, s.opts.Table, since, until)
	if err != nil {
		writeProblem(ctx, problem.New(503, "store-down", "Costs can't be read", err.Error(), problem.NotRun).
			WithRetryAfter(claimRetryAfter))
		return
	}
	writeJSON(ctx, report)
}

func timeArg(ctx *fasthttp.RequestCtx, name string, fallback time.Time) (time.Time, error) {
	raw := string(ctx.QueryArgs().Peek(name))
	if raw == "" {
		return fallback, nil
	}
	return time.Parse(time.RFC3339, raw)
}

// list returns the planned stops in force and those that are only announced.
func (st *stops) list() []config.Stop {
	list := []config.Stop{}
	for _, stop := range st.state().Stops {
		list = append(list, stop)
	}
	seen := map[string]bool{}
	for _, a := range st.pending() {
		if !seen[a.Change.ID] {
			seen[a.Change.ID] = true
			list = append(list, *a.Stop)
		}
	}
	return list
}
