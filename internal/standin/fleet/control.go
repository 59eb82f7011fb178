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

// FaultRequest is the body of PUT /faults: it replaces the scope's fault.
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

// Counts answers GET /counts.
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
	writeJSON(w, Counts{Executions: f.ledger.Executions()})
}

func (f *Fleet) resetCounts(w http.ResponseWriter, _ *http.Request) {
	f.ledger.Reset()
	w.WriteHeader(http.StatusNoContent)
}

func (f *Fleet) getSummary(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, f.ledger.Summary())
}

func (f *Fleet) getFaults(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, f.faults.All())
}

func (f *Fleet) putFault(w http.ResponseWriter, r *http.Request) {
	var order FaultRequest
	if !decode(w, r, &order) {
		return
	}
	if !f.knows(order.Scope) {
		writeProblem(w, http.StatusNotFound, "This process has no such scope: "+order.Scope)
		return
	}
	f.faults.Put(order.Scope, order.Fault)
	f.log.Info("fault replaced", zap.String("scope", order.Scope), zap.Any("fault", order.Fault))
	w.WriteHeader(http.StatusNoContent)
}

// knows keeps a misspelt scope from passing as a fault that does nothing.
func (f *Fleet) knows(scope string) bool {
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
	var order StateRequest
	if !decode(w, r, &order) {
		return
	}
	states := []string{vmlist.StateLive, vmlist.StateLeaving, vmlist.StateGone}
	if !contains(states, order.State) {
		writeProblem(w, http.StatusBadRequest, "state must be one of "+strings.Join(states, ", "))
		return
	}
	if !f.vms.SetState(order.Address, order.State) {
		writeProblem(w, http.StatusNotFound, "No VM has the address "+order.Address)
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
	_ = json.NewEncoder(w).Encode(p) // a caller that is gone sees to itself
}

func writeJSON(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body) // a caller that is gone sees to itself
}
