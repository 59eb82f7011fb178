package caller

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
)

// Entry is one address of the system that callers may use.
type Entry struct {
	Address string `json:"address"`
	Zone    string `json:"zone"`
}

// EntriesAnswer answers GET /v1/entries, nearest availability zone first.
type EntriesAnswer struct {
	Entries []Entry `json:"entries"`
	// TTLMS is how long the answer may be used, in milliseconds.
	TTLMS int64 `json:"keep_ms"`
}

const (
	entriesPath    = "/v1/entries"
	askTimeout     = 500 * time.Millisecond
	failedFor      = time.Second
	longestFailed  = 8 * time.Second
	worstFailure   = 3
	shortestKeep   = 100 * time.Millisecond
	askAgainBefore = 50 * time.Millisecond
)

var errNoEntries = errors.New("caller: no entry VM answers")

// directory keeps the answer to "which of your addresses do I use".
type directory struct {
	first []string
	conns *connections

	// asking is held while one goroutine asks; it is taken before mu.
	asking sync.Mutex
	// mu guards what follows.
	mu       sync.Mutex
	known    []Entry
	until    time.Time
	failed   map[string]failure
	notAgain time.Time
	turn     int
}

func newDirectory(first []string, conns *connections) *directory {
	return &directory{first: first, conns: conns, failed: map[string]failure{}}
}

// entries is what the caller holds, asked for again once it is too old. An old
// answer is better than none when nobody answers.
func (d *directory) entries(now time.Time) ([]Entry, error) {
	if known, fresh := d.held(now); fresh {
		return known, nil
	}
	d.asking.Lock()
	defer d.asking.Unlock()
	if known, fresh := d.held(now); fresh {
		return known, nil
	}
	if err := d.ask(); err != nil {
		if known, _ := d.held(now); len(known) > 0 {
			return known, nil
		}
		return nil, err
	}
	known, _ := d.held(now)
	return known, nil
}

func (d *directory) held(now time.Time) ([]Entry, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	fresh := len(d.known) > 0 && (now.Before(d.until) || now.Before(d.notAgain))
	return d.known, fresh
}

// ask asks one address after the other until one answers. Those that failed
// lately come last.
func (d *directory) ask() error {
	for _, address := range d.askOrder(time.Now()) {
		answer, err := d.askOne(address)
		if err != nil {
			d.fail(address, time.Now())
			continue
		}
		d.keep(answer, time.Now())
		return nil
	}
	d.mu.Lock()
	d.notAgain = time.Now().Add(askAgainBefore)
	d.mu.Unlock()
	return errNoEntries
}

func (d *directory) askOrder(now time.Time) []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	order := slices.Clone(d.first)
	for _, e := range d.known {
		if !slices.Contains(order, e.Address) {
			order = append(order, e.Address)
		}
	}
	slices.SortStableFunc(order, func(a, b string) int {
		return d.failedRank(a, now) - d.failedRank(b, now)
	})
	return order
}

// failedRank is 0 for an address that may be used, and higher the more often it
// has failed without an answer in between: a VM that is only slow answers some
// requests, one behind a cut path none.
func (d *directory) failedRank(address string, now time.Time) int {
	f := d.failed[address]
	if now.Before(f.until) {
		return min(f.times, worstFailure)
	}
	return 0
}

func (d *directory) askOne(address string) (EntriesAnswer, error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + address + entriesPath)
	if err := d.conns.to(address).DoTimeout(req, resp, askTimeout); err != nil {
		return EntriesAnswer{}, err
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return EntriesAnswer{}, fmt.Errorf("caller: %s answered %d", entriesPath, resp.StatusCode())
	}
	var answer EntriesAnswer
	if err := json.Unmarshal(resp.Body(), &answer); err != nil {
		return EntriesAnswer{}, err
	}
	if len(answer.Entries) == 0 {
		return EntriesAnswer{}, errNoEntries
	}
	return answer, nil
}

func (d *directory) keep(answer EntriesAnswer, now time.Time) {
	keep := max(time.Duration(answer.TTLMS)*time.Millisecond, shortestKeep)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.known = answer.Entries
	d.until = now.Add(keep)
}

// failure is what a caller remembers of an address that did not answer.
type failure struct {
	// times counts failures since the last answer.
	times int
	until time.Time
}

// fail passes an address over for a while, for longer each time. Failures while
// it is passed over belong to requests sent before, and count as one.
func (d *directory) fail(address string, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	f := d.failed[address]
	if now.Before(f.until) {
		return
	}
	f.times++
	f.until = now.Add(min(failedFor<<min(f.times-1, 10), longestFailed))
	d.failed[address] = f
}

// answered forgets the failures of an address.
func (d *directory) answered(address string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.failed, address)
}

// choose picks the address for the next try.
func (d *directory) choose(tried map[string]int, now time.Time) (string, error) {
	entries, err := d.entries(now)
	if err != nil {
		return "", err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.turn++
	return pick(entries, func(address string) int {
		return (worstFailure+1)*tried[address] + d.failedRank(address, now)
	}, d.turn), nil
}

// pick takes an entry with the lowest rank, the nearest zone first and in turn
// among the entries of that zone. Entries must not be empty.
func pick(entries []Entry, rank func(address string) int, turn int) string {
	best := rank(entries[0].Address)
	for _, e := range entries {
		best = min(best, rank(e.Address))
	}
	var same []string
	zone := ""
	for _, e := range entries {
		if rank(e.Address) != best {
			continue
		}
		if len(same) == 0 {
			zone = e.Zone
		}
		if e.Zone == zone {
			same = append(same, e.Address)
		}
	}
	return same[turn%len(same)]
}
