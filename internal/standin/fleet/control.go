package fleet

import (
	"encoding/json"
	"net/http"
	"strings"

	"go.uber.org/zap"

	"github.com/vanillagate/vanillagate/internal/problem"
	"github.com/vanillagate/vanillagate/internal/standin/count"
	"github.com/vanillagate/vanillagate/internal/standin/fault"
	"github.com/vanillagate/vanillagate/internal/standin/vmlist"
)

// FaultRequest is the body of PUT /faults, which replaces the fault of a scope.
type FaultRequest struct {
	// Scope is "table", "objects", "vm_list", "pool:NAME" or "target:IP:PORT".
	Scope string      `json:"scope"`
	Fault fault.Fault `json:"fault"`
}

// StateRequest is the body of POST /vms/state.
type StateRequest struct {
	Address string `json:"address"`
	// State is live, leaving or gone.
	State string `json:"state"`
}

// Counts is the response body of GET /counts.
type Counts struct {
	Executions []count.Execution `json:"executions"`
}

func (f *Fleet) controlHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /counts", f.getCounts)
	mux.HandleFunc("POST /counts/reset", f.resetCounts)
	mux.HandleFunc("GET /summary", f.getSummary)
	mux.HandleFunc("GET /faults", f.getFaults)
	mux.HandleFunc("PUT /faults", f.putFault)
	if f.vms != nil {
		mux.HandleFunc("GET /table/stats", f.getTableStats)
		mux.HandleFunc("GET /vms", f.getVMs)
		mux.HandleFunc("PUT /vms", f.putVMs)
		mux.HandleFunc("POST /vms/state", f.postState)
	}
	return mux
}

func (f *Fleet) getCounts(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, Counts{Executions: f.executionLog.Executions()})
}

func (f *Fleet) resetCounts(w http.ResponseWriter, _ *http.Request) {
	f.executionLog.Reset()
	w.WriteHeader(http.StatusNoContent)
}

func (f *Fleet) getSummary(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, f.executionLog.Summary())
}

func (f *Fleet) getFaults(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, f.faults.All())
}

func (f *Fleet) putFault(w http.ResponseWriter, r *http.Request) {
	var request FaultRequest
	if !decode(w, r, &request) {
		return
	}
	if !f.hasScope(request.Scope) {
		writeProblem(w, http.StatusNotFound, "This process has no such scope: "+request.Scope)
		return
	}
	f.faults.Put(request.Scope, request.Fault)
	f.log.Info("fault replaced", zap.String("scope", request.Scope), zap.Any("fault", request.Fault))
	w.WriteHeader(http.StatusNoContent)
}

// hasScope tells whether this process hosts the scope. A misspelled scope is
// rejected, since its fault would silently have no effect.
func (f *Fleet) hasScope(scope string) bool {
	switch scope {
	case fault.ScopeTable, fault.ScopeObjects, fault.ScopeVMList:
		return f.vms != nil
	}
	for pool, addresses := range f.Targets {
		if scope == fault.PoolScope(pool) {
			return true
		}
		for _, a := range addresses {
			if scope == fault.TargetScope(a) {
				return true
			}
		}
	}
	return false
}

func (f *Fleet) getTableStats(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, f.table.Stats())
}

func (f *Fleet) getVMs(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, f.vms.Latest())
}

func (f *Fleet) putVMs(w http.ResponseWriter, r *http.Request) {
	var rows []vmlist.Row
	if !decode(w, r, &rows) {
		return
	}
	f.vms.Replace(rows)
	w.WriteHeader(http.StatusNoContent)
}

func (f *Fleet) postState(w http.ResponseWriter, r *http.Request) {
	var request StateRequest
	if !decode(w, r, &request) {
		return
	}
	states := []string{vmlist.StateLive, vmlist.StateLeaving, vmlist.StateGone}
	if !contains(states, request.State) {
		writeProblem(w, http.StatusBadRequest, "state must be one of "+strings.Join(states, ", "))
		return
	}
	if !f.vms.SetState(request.Address, request.State) {
		writeProblem(w, http.StatusNotFound, "No VM has the address "+request.Address)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func contains(all []string, wanted string) bool {
	for _, s := range all {
		if s == wanted {
			return true
		}
	}
	return false
}

func decode(w http.ResponseWriter, r *http.Request, into any) bool {
	decoder := json.NewDecoder(r.Body)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		writeProblem(w, http.StatusBadRequest, err.Error())
		return false
	}
	return true
}

func writeProblem(w http.ResponseWriter, status int, detail string) {
	w.Header().Set("Content-Type", problem.ContentType)
	w.WriteHeader(status)
	p := problem.New(status, "control", http.StatusText(status), detail, problem.NotRun)
	_ = json.NewEncoder(w).Encode(p) // fails only if the client has disconnected
}

func writeJSON(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body) // fails only if the client has disconnected
}
