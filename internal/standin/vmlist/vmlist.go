// Package vmlist emulates the platform's VM list in the form of the
// Prometheus HTTP service discovery. What it serves is old: it shows the truth
// as it was a while ago.
package vmlist

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/vanillagate/vanillagate/internal/standin/fault"
	"github.com/vanillagate/vanillagate/internal/standin/history"
	"github.com/vanillagate/vanillagate/internal/standin/outage"
)

// States of a row. A VM that is set to StateGone leaves the list.
const (
	StateLive    = "live"
	StateLeaving = "leaving"
	StateGone    = "gone"
)

// Labels describe one VM.
type Labels struct {
	Role        string `json:"role"`
	Pool        string `json:"pool,omitempty"`
	Zone        string `json:"zone"`
	Region      string `json:"region"`
	State       string `json:"state"`
	PeerAddress string `json:"peer_address,omitempty"`
}

// Row is one group of the list; ours hold one address each.
type Row struct {
	Targets []string `json:"targets"`
	Labels  Labels   `json:"labels"`
}

// List is the VM list. Use New.
type List struct {
	faults *fault.Set
	rows   *history.DelayedValue[[]Row]

	mu sync.Mutex // orders changes of the truth; taken before the history's
}

// New builds a list that first shows the rows without any lag.
func New(faults *fault.Set, lag time.Duration, rows []Row) *List {
	return &List{faults: faults, rows: history.New(lag, 0, rows)}
}

// Latest is the list without its lag.
func (l *List) Latest() []Row { return l.rows.Latest() }

// Replace sets the truth.
func (l *List) Replace(rows []Row) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.rows.Set(time.Now(), rows)
}

// SetState changes the state of one VM; false if there is none of the
// address.
func (l *List) SetState(address, state string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	rows := slices.Clone(l.rows.Latest())
	at := slices.IndexFunc(rows, func(r Row) bool { return slices.Contains(r.Targets, address) })
	if at < 0 {
		return false
	}
	if state == StateGone {
		rows = slices.Delete(rows, at, at+1)
	} else {
		rows[at].Labels.State = state
	}
	l.rows.Set(time.Now(), rows)
	return true
}

// ServeHTTP answers with what is seen now.
func (l *List) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f := l.faults.Combined(fault.ScopeVMList)
	if f.Refuse {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	outage.Wait(f, 0)
	if l.faults.Sample(f.LoseAnswerShare) {
		outage.Abort()
	}
	raw, err := json.Marshal(l.rows.Delayed(time.Now()))
	if err != nil {
		panic(err) // our own type can always be encoded
	}
	tag := tagOf(raw)
	w.Header().Set("ETag", tag)
	if r.Header.Get("If-None-Match") == tag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(raw)
}

// tagOf is the entity tag of what is served.
func tagOf(raw []byte) string {
	sum := sha256.Sum256(raw)
	return strconv.Quote(hex.EncodeToString(sum[:8]))
}
