// Package reach determines from which services this VM is cut off, and shares that with the other
// processes. A VM may lose its links to the targets while callers, the store and its peers still
// reach it; others may then do for it what needs a target.
package reach

import (
	"context"
	"encoding/json"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/vanillagate/vanillagate/internal/peer"
	"github.com/vanillagate/vanillagate/internal/serve/pool"
	"github.com/vanillagate/vanillagate/internal/serve/upstream"
	"github.com/vanillagate/vanillagate/internal/wait"
)

const (
	// checkPeriod is how often a VM that is cut off checks its services, and the least time
	// between two checks of a service.
	checkPeriod = 500 * time.Millisecond
	// connectTimeout is how long a target may take to accept a connection in a check.
	connectTimeout = upstream.SlowConnectTime
	// noticeTTL is how long the notice of a VM that is cut off is valid; it is repeated every
	// noticePeriod.
	noticeTTL    = 5 * time.Second
	noticePeriod = 1500 * time.Millisecond
	noticeKey    = "cut-off"
)

// notice is what a process tells the others: the services from which it is cut off.
type notice struct {
	Services []string `json:"s"`
}

// peerNotice is the last notice of another process.
type peerNotice struct {
	services []string
	version  uint64
	until    time.Time
}

// Options configures a Tracker.
type Options struct {
	Log     *zap.Logger
	Network peer.Network
	Table   *pool.Table
	// Connect opens and closes a connection to a target.
	Connect func(ctx context.Context, address string) error
	// Services lists the services in the configuration in force.
	Services func() []string
	// OnChange is called after the set of services from which this VM is cut off has changed. It
	// may be nil.
	OnChange func()
}

// Tracker tracks which services this VM and the others reach. It is safe for concurrent use.
type Tracker struct {
	Options
	// hints holds a service to check next.
	hints chan string
	// notices is the number of notices published, noticedAt the time of the last one. Only Run's
	// goroutine uses them.
	notices   uint64
	noticedAt time.Time

	mu sync.Mutex // guards the fields below; no other lock is taken while it is held
	// failures has the time of each target's last failed connection, by service.
	failures map[string]failures
	cutOff   map[string]bool
	// connected has the targets of each service to which the last check connected.
	connected map[string][]*pool.Target
	peers     map[peer.Incarnation]peerNotice
	// generation grows with every change of cutOff and peers.
	generation uint64
}

// New returns a tracker. Call it before the network starts.
func New(o Options) *Tracker {
	t := &Tracker{
		Options: o, hints: make(chan string, 1), failures: map[string]failures{}, cutOff: map[string]bool{},
		connected: map[string][]*pool.Target{}, peers: map[peer.Incarnation]peerNotice{},
	}
	o.Network.Subscribe(peer.TopicReach, t.receive)
	o.Table.OnUnreachable(func(target *pool.Target) { t.connectFailed(target, time.Now()) })
	return t
}

// CutOff reports whether this VM is cut off from a service.
func (t *Tracker) CutOff(service string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.cutOff[service]
}

// Connected reports whether the last check of a target's service connected to the target.
func (t *Tracker) Connected(target *pool.Target) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.Contains(t.connected[target.Service], target)
}

// PeerCutOff reports whether another process has told that it is cut off from any of the services.
func (t *Tracker) PeerCutOff(id peer.Incarnation, services ...string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	told, known := t.peers[id]
	if !known || time.Now().After(told.until) {
		return false
	}
	return slices.ContainsFunc(services, func(s string) bool { return slices.Contains(told.services, s) })
}

// Generation returns a number that grows whenever the answers of CutOff and PeerCutOff change.
func (t *Tracker) Generation() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expirePeers(time.Now())
	return t.generation
}

// expirePeers drops notices that are no longer valid. The caller holds mu.
func (t *Tracker) expirePeers(now time.Time) {
	for id, told := range t.peers {
		if now.After(told.until) {
			delete(t.peers, id)
			t.generation++
		}
	}
}

func (t *Tracker) receive(item peer.Item) {
	var n notice
	if err := json.Unmarshal(item.Body, &n); err != nil {
		t.Log.Warn("Notice of a peer can't be decoded.", zap.String("member", string(item.Origin)), zap.Error(err))
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	old := t.peers[item.Origin]
	if item.Version < old.version {
		return
	}
	t.peers[item.Origin] = peerNotice{services: n.Services, version: item.Version, until: time.Now().Add(item.TTL)}
	if !slices.Equal(old.services, n.Services) {
		t.generation++
	}
}

// ConnectSlow records that a target doesn't accept a connection.
func (t *Tracker) ConnectSlow(address string) {
	for _, service := range t.Services() {
		if target := t.Table.ByAddress(service, address); target != nil {
			t.connectFailed(target, time.Now())
		}
	}
}

// connectFailed records that no connection to a target could be established, and has its service
// checked if that happened at several targets.
func (t *Tracker) connectFailed(target *pool.Target, now time.Time) {
	t.mu.Lock()
	failed := t.failures[target.Service]
	if failed == nil {
		failed = failures{}
		t.failures[target.Service] = failed
	}
	failed[target.ID] = now
	t.mu.Unlock()
	if !t.suspicious(target.Service) {
		return
	}
	select {
	case t.hints <- target.Service:
	default: // the next failure tries again
	}
}

// Run checks services when connections fail, and all of them periodically while this VM is cut off
// from any, until the context ends.
func (t *Tracker) Run(ctx context.Context) {
	for {
		if !t.isCutOff() {
			select {
			case <-ctx.Done():
				return
			case service := <-t.hints:
				if t.suspicious(service) {
					t.checkServices(ctx, []string{service})
				}
			}
		}
		if t.isCutOff() {
			t.forgetOtherServices()
			t.checkServices(ctx, t.Services())
			if time.Since(t.noticedAt) >= noticePeriod {
				t.publish()
			}
		}
		if !wait.For(ctx, checkPeriod) {
			return
		}
	}
}

// suspicious reports whether connections have failed at several targets of a service since its last
// check.
func (t *Tracker) suspicious(service string) bool {
	targets := len(t.Table.ReadySet(service).Targets)
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.failures[service].suspicious(targets, time.Now())
}

func (t *Tracker) isCutOff() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.cutOff) > 0
}

// checkServices connects to targets of some services, and tells the others if the result changes.
func (t *Tracker) checkServices(ctx context.Context, services []string) {
	results := make([]check, len(services))
	var group errgroup.Group
	for i, service := range services {
		group.Go(func() error {
			results[i] = t.check(ctx, service)
			return nil
		})
	}
	_ = group.Wait() // no check returns an error
	if ctx.Err() != nil || !t.apply(services, results) {
		return
	}
	t.publish()
	if t.OnChange != nil {
		t.OnChange()
	}
}

// check connects to targets of a service, all at the same time.
func (t *Tracker) check(ctx context.Context, service string) check {
	targets := sample(t.Table.ReadySet(service).Targets)
	t.mu.Lock()
	delete(t.failures, service)
	t.mu.Unlock()
	start := time.Now()
	ctx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	var mu sync.Mutex // guards connected
	var connected []*pool.Target
	var group errgroup.Group
	for _, target := range targets {
		group.Go(func() error {
			if t.Connect(ctx, target.Address) == nil {
				mu.Lock()
				defer mu.Unlock()
				connected = append(connected, target)
			}
			return nil
		})
	}
	_ = group.Wait() // a failed connection is a result
	return check{tried: len(targets), connected: connected, late: time.Since(start) > maxCheckTime}
}

// sample returns a random choice of the targets.
func sample(targets []*pool.Target) []*pool.Target {
	chosen := make([]*pool.Target, 0, maxChecked)
	for _, i := range rand.Perm(len(targets)) {
		if len(chosen) < maxChecked && !targets[i].GoneOrDraining() {
			chosen = append(chosen, targets[i])
		}
	}
	return chosen
}

// apply records the results of checks and reports whether they change anything.
func (t *Tracker) apply(services []string, results []check) (changed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for i, service := range services {
		was := t.cutOff[service]
		if !results[i].late {
			t.connected[service] = results[i].connected
		}
		if results[i].cutOff(was) == was {
			continue
		}
		changed = true
		t.generation++
		t.Log.Warn("Reach of a service changed.", zap.String("service", service), zap.Bool("cut_off", !was),
			zap.Int("targets_tried", results[i].tried), zap.Int("connected", len(results[i].connected)))
		if was {
			delete(t.cutOff, service)
		} else {
			t.cutOff[service] = true
		}
	}
	return changed
}

// forgetOtherServices drops services that are no longer in the configuration.
func (t *Tracker) forgetOtherServices() {
	current := t.Services()
	t.mu.Lock()
	defer t.mu.Unlock()
	keepOnly(t.failures, current)
	keepOnly(t.connected, current)
	before := len(t.cutOff)
	keepOnly(t.cutOff, current)
	if len(t.cutOff) != before {
		t.generation++
	}
}

// keepOnly deletes all other services from a map.
func keepOnly[V any](m map[string]V, services []string) {
	maps.DeleteFunc(m, func(service string, _ V) bool { return !slices.Contains(services, service) })
}

// publish tells the other processes from which services this VM is cut off.
func (t *Tracker) publish() {
	t.mu.Lock()
	services := slices.Sorted(maps.Keys(t.cutOff))
	t.mu.Unlock()
	t.notices++
	t.noticedAt = time.Now()
	if err := t.Network.Publish(peer.TopicReach, noticeKey, t.notices, noticeTTL, notice{Services: services}); err != nil {
		t.Log.Warn("Failed to tell the peers from which services this VM is cut off.", zap.Error(err))
	}
}
