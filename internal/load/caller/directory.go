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

// Entry is the address of an entry VM that callers may use.
type Entry struct {
	Address string `json:"address"`
	Zone    string `json:"zone"`
}

// EntriesAnswer is the response to GET /v1/entries, sorted by availability zone,
// nearest first.
type EntriesAnswer struct {
	Entries []Entry `json:"entries"`
	// TTLMS is how long callers may cache the response, in milliseconds.
	TTLMS int64 `json:"keep_ms"`
}

const (
	entriesPath      = "/v1/entries"
	fetchTimeout     = 500 * time.Millisecond
	initialAvoidTime = time.Second
	maxAvoidTime     = 8 * time.Second
	maxFailureRank   = 3
	minTTL           = 100 * time.Millisecond
	fetchRetryDelay  = 50 * time.Millisecond
)

var errNoEntries = errors.New("caller: no entry VM answers")

// directory caches the list of entry VMs and tracks which addresses fail.
type directory struct {
	initialAddresses []string
	conns            *connections

	// fetchMu is held by the goroutine that fetches the list. It is locked before
	// mu.
	fetchMu sync.Mutex
	// mu guards the fields below.
	mu            sync.Mutex
	cached        []Entry
	validUntil    time.Time
	failures      map[string]failure
	noFetchBefore time.Time
	nextTurn      int
}

func newDirectory(first []string, conns *connections) *directory {
	return &directory{initialAddresses: first, conns: conns, failures: map[string]failure{}}
}

// currentEntries returns the cached list, fetching it again once it has expired.
// If the fetch fails, an expired list is still used.
func (d *directory) currentEntries(now time.Time) ([]Entry, error) {
	if known, fresh := d.lookupCached(now); fresh {
		return known, nil
	}
	d.fetchMu.Lock()
	defer d.fetchMu.Unlock()
	if known, fresh := d.lookupCached(now); fresh {
		return known, nil
	}
	if err := d.fetch(); err != nil {
		if known, _ := d.lookupCached(now); len(known) > 0 {
			return known, nil
		}
		return nil, err
	}
	known, _ := d.lookupCached(now)
	return known, nil
}

func (d *directory) lookupCached(now time.Time) ([]Entry, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	fresh := len(d.cached) > 0 && (now.Before(d.validUntil) || now.Before(d.noFetchBefore))
	return d.cached, fresh
}

// fetch requests the list from one address after the other until one answers.
// Addresses that failed recently come last.
func (d *directory) fetch() error {
	for _, address := range d.fetchOrder(time.Now()) {
		answer, err := d.fetchFrom(address)
		if err != nil {
			d.recordFailure(address, time.Now())
			continue
		}
		d.cache(answer, time.Now())
		return nil
	}
	d.mu.Lock()
	d.noFetchBefore = time.Now().Add(fetchRetryDelay)
	d.mu.Unlock()
	return errNoEntries
}

func (d *directory) fetchOrder(now time.Time) []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	order := slices.Clone(d.initialAddresses)
	for _, e := range d.cached {
		if !slices.Contains(order, e.Address) {
			order = append(order, e.Address)
		}
	}
	slices.SortStableFunc(order, func(a, b string) int {
		return d.failureRank(a, now) - d.failureRank(b, now)
	})
	return order
}

// failureRank is 0 for an address that may be used. Otherwise it grows with the
// number of failures since the last answer: a VM that is only slow answers some
// requests, an unreachable one answers none.
func (d *directory) failureRank(address string, now time.Time) int {
	f := d.failures[address]
	if now.Before(f.avoidUntil) {
		return min(f.count, maxFailureRank)
	}
	return 0
}

func (d *directory) fetchFrom(address string) (EntriesAnswer, error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + address + entriesPath)
	if err := d.conns.clientFor(address).DoTimeout(req, resp, fetchTimeout); err != nil {
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

func (d *directory) cache(answer EntriesAnswer, now time.Time) {
	ttl := max(time.Duration(answer.TTLMS)*time.Millisecond, minTTL)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.cached = answer.Entries
	d.validUntil = now.Add(ttl)
}

// failure counts the failures of an address.
type failure struct {
	// count is the number of failures since the last answer.
	count      int
	avoidUntil time.Time
}

// recordFailure excludes an address for a while, twice as long after each failure
// up to maxAvoidTime. Further failures during that time are ignored: they belong
// to requests that were sent before it.
func (d *directory) recordFailure(address string, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	f := d.failures[address]
	if now.Before(f.avoidUntil) {
		return
	}
	f.count++
	f.avoidUntil = now.Add(min(initialAvoidTime<<min(f.count-1, 10), maxAvoidTime))
	d.failures[address] = f
}

// recordSuccess clears the failures of an address.
func (d *directory) recordSuccess(address string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.failures, address)
}

// chooseAddress returns the address for the next try.
func (d *directory) chooseAddress(tried map[string]int, now time.Time) (string, error) {
	entries, err := d.currentEntries(now)
	if err != nil {
		return "", err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.nextTurn++
	return pickEntry(entries, func(address string) int {
		return (maxFailureRank+1)*tried[address] + d.failureRank(address, now)
	}, d.nextTurn), nil
}

// pickEntry returns an entry with the lowest rank: from the nearest zone that has
// one, round-robin within the zone. Entries must not be empty.
func pickEntry(entries []Entry, rank func(address string) int, turn int) string {
	lowest := rank(entries[0].Address)
	for _, e := range entries {
		lowest = min(lowest, rank(e.Address))
	}
	var candidates []string
	zone := ""
	for _, e := range entries {
		if rank(e.Address) != lowest {
			continue
		}
		if len(candidates) == 0 {
			zone = e.Zone
		}
		if e.Zone == zone {
			candidates = append(candidates, e.Address)
		}
	}
	return candidates[turn%len(candidates)]
}
