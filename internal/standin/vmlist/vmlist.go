// Package vmlist emulates the platform's VM list, in the format of Prometheus HTTP
// service discovery. The served list lags: a change appears in it
// only after a configured delay.
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

// States of a VM. Setting StateGone removes the VM from the list.
const (
	StateLive    = "live"
	StateLeaving = "leaving"
	StateGone    = "gone"
)

// Labels describes a VM.
type Labels struct {
	Role        string `json:"role"`
	Pool        string `json:"pool,omitempty"`
	Zone        string `json:"zone"`
	Region      string `json:"region"`
	State       string `json:"state"`
	PeerAddress string `json:"peer_address,omitempty"`
}

// Row is a target group of the service discovery format. This list puts one address
// in each.
type Row struct {
	Targets []string `json:"targets"`
	Labels  Labels   `json:"labels"`
}

// List is an emulated VM list. Create it with New.
type List struct {
	faults *fault.Set
	rows   *history.DelayedValue[[]Row]

	mu sync.Mutex // serializes changes of rows; taken before the lock of rows
}

// New returns a list that serves the initial rows at once, and later changes after
// the lag.
func New(faults *fault.Set, lag time.Duration, rows []Row) *List {
	return &List{faults: faults, rows: history.New(lag, 0, rows)}
}

// Latest is the list without its lag.
func (l *List) Latest() []Row { return l.rows.Latest() }

// Replace sets the rows, which are served after the lag.
func (l *List) Replace(rows []Row) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.rows.Set(time.Now(), rows)
}

// SetState changes the state of the VM with the given address. It returns false if
// there is none.
func (l *List) SetState(address, state string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	rows := slices.Clone(l.rows.Latest())
	index := slices.IndexFunc(rows, func(r Row) bool { return slices.Contains(r.Targets, address) })
	if index < 0 {
		return false
	}
	if state == StateGone {
		rows = slices.Delete(rows, index, index+1)
	} else {
		rows[index].Labels.State = state
	}
	l.rows.Set(time.Now(), rows)
	return true
}

// ServeHTTP serves the rows as they were one lag ago.
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
		panic(err) // unreachable: the type can be encoded
	}
	etag := etagOf(raw)
	w.Header().Set("ETag", etag)
	if r.Header.Get("If-None-Match") == etag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(raw)
}

// etagOf returns the ETag of a response body.
func etagOf(raw []byte) string {
	sum := sha256.Sum256(raw)
	return strconv.Quote(hex.EncodeToString(sum[:8]))
}
