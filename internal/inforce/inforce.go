// Package inforce holds this process's copy of the configuration in force. It
// polls the table service, receives changes from peers, and falls back to peers or
// to the snapshot in the object store while the table service is down.
package inforce

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/vanillagate/vanillagate/internal/backing"
	"github.com/vanillagate/vanillagate/internal/command/snapshot"
	"github.com/vanillagate/vanillagate/internal/config"
	"github.com/vanillagate/vanillagate/internal/peer"
	"github.com/vanillagate/vanillagate/internal/query/changes"
	querysnapshot "github.com/vanillagate/vanillagate/internal/query/snapshot"
)

// Names of the RPC methods between peers.
const (
	// MethodState returns the whole config.State if it is newer than the revision in
	// the parameter, null otherwise.
	MethodState = "config.state"
	// MethodRevision returns a ProcessRevision.
	MethodRevision = "config.revision"
)

// ProcessRevision is the revision of the configuration that a process has in force.
type ProcessRevision struct {
	Incarnation   peer.Incarnation `json:"incarnation"`
	CallerAddress string           `json:"caller_address,omitempty"`
	Zone          string           `json:"zone"`
	Revision      config.Revision  `json:"revision"`
}

// Options are the settings of a Keeper.
type Options struct {
	Table   backing.Table
	Objects backing.ObjectStore
	Network peer.Network
	Log     *zap.Logger
	// Period is the mean interval between reads of the table. Each wait is drawn at
	// random from 0.5 to 1.5 times it, so that VMs that started together spread out.
	Period time.Duration
	// SnapshotPeriod is the mean interval at which the process that writes the
	// snapshot checks whether it is outdated.
	SnapshotPeriod time.Duration
	// OnPeerAnswer, if not nil, is called with a peer that has answered, before the
	// configuration counts as fresh. It fetches the other state that a process needs
	// before it serves.
	OnPeerAnswer func(ctx context.Context, of peer.Incarnation)
}

const (
	// maxBackoff bounds the wait between reads while the table is down.
	maxBackoff = 30 * time.Second
	// readTimeout bounds one round of reads.
	readTimeout = 3 * time.Second
	// peerTimeout bounds one call to a peer.
	peerTimeout = time.Second
	// changeTTL is how long peers keep and forward an accepted change. After that
	// the processes read it from the table.
	changeTTL = 2 * time.Minute
)

// Keeper holds the configuration in force. Its revision never decreases: an old
// snapshot or a delayed message from a peer can't replace a newer state.
type Keeper struct {
	opts  Options
	state atomic.Pointer[config.State]
	// freshness tells whether the state may be relied on.
	freshness *freshness
	// tableUp is set while the last read of the table succeeded.
	tableUp atomic.Bool

	mu       sync.Mutex // held while a newer state is installed and the onChange functions run
	onChange []func(*config.State)
	wake     chan struct{}
	// savedRevision is the last known config.Revision of the snapshot. Run and RunSnapshots
	// set it.
	savedRevision atomic.Uint64
}

// New returns a Keeper at revision 0. Call it before the network starts.
func New(opts Options) *Keeper {
	k := &Keeper{opts: opts, freshness: newFreshness(time.Now()), wake: make(chan struct{}, 1)}
	k.state.Store(config.NewState())
	opts.Network.Subscribe(peer.TopicChange, k.onPeerChange)
	opts.Network.Handle(MethodState, k.handleState)
	opts.Network.Handle(MethodRevision, k.handleRevision)
	return k
}

// State returns the state in force. It must not be modified.
func (k *Keeper) State() *config.State { return k.state.Load() }

// Fresh reports whether a source has confirmed the configuration, and has done so
// since the last time that this process was frozen.
func (k *Keeper) Fresh() bool { return k.freshness.isFresh(time.Now()) }

// AwaitFresh waits until the configuration is fresh. It returns false if that takes
// longer than timeout.
func (k *Keeper) AwaitFresh(timeout time.Duration) bool {
	return k.freshness.await(time.Now(), timeout)
}

// TableUp reports whether the last read of the table service succeeded.
func (k *Keeper) TableUp() bool { return k.tableUp.Load() }

// OnChange registers fn to be called with every newer state. Call it before Run.
func (k *Keeper) OnChange(fn func(*config.State)) { k.onChange = append(k.onChange, fn) }

// ApplyAndPublish puts a change in force that was accepted through this process and
// publishes it to the peers.
func (k *Keeper) ApplyAndPublish(c config.Change) {
	err := k.opts.Network.Publish(peer.TopicChange, revisionKey(c.Revision), uint64(c.Revision), changeTTL, c)
	if err != nil {
		k.opts.Log.Warn("Failed to publish a change to peers.", zap.Error(err))
	}
	if !k.apply(c) {
		k.catchUpFromPeers(c.Revision)
	}
	k.TriggerRead()
}

// catchUpFromPeers applies the missing changes up to a revision, as received from
// peers. The table may have gone down right after it accepted the last one, and
// then can't be read.
func (k *Keeper) catchUpFromPeers(to config.Revision) {
	byRevision := map[config.Revision]config.Change{}
	for _, item := range k.opts.Network.Items(peer.TopicChange) {
		var c config.Change
		if json.Unmarshal(item.Body, &c) == nil {
			byRevision[c.Revision] = c
		}
	}
	for r := k.State().Revision + 1; r <= to; r++ {
		c, found := byRevision[r]
		if !found || !k.apply(c) {
			return
		}
	}
}

func revisionKey(r config.Revision) string { return strconv.FormatUint(uint64(r), 10) }

// TriggerRead makes Run read the table without waiting for the next period.
func (k *Keeper) TriggerRead() {
	select {
	case k.wake <- struct{}{}:
	default:
	}
}

// apply puts changes in force that directly follow the present revision. It
// returns false if there is a gap.
func (k *Keeper) apply(list ...config.Change) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	next, err := k.State().Apply(list...)
	if err != nil {
		return false
	}
	k.setState(next)
	return true
}

// adopt puts a complete state in force if it is newer.
func (k *Keeper) adopt(s *config.State) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.setState(s)
}

func (k *Keeper) setState(next *config.State) {
	if next.Revision <= k.State().Revision {
		return
	}
	k.state.Store(next)
	k.opts.Log.Info("Configuration in force.", zap.Uint64("revision", uint64(next.Revision)))
	for _, fn := range k.onChange {
		fn(next)
	}
}

// onPeerChange applies a change that a peer published. If changes before it are
// missing, the table is read at once.
func (k *Keeper) onPeerChange(item peer.Item) {
	var c config.Change
	if json.Unmarshal(item.Body, &c) != nil {
		return
	}
	if c.Revision <= k.State().Revision {
		return
	}
	if k.apply(c) {
		return
	}
	k.catchUpFromPeers(c.Revision)
	if k.State().Revision < c.Revision {
		k.TriggerRead()
	}
}

// Run polls the table until the context ends. It starts with the snapshot, which
// saves reading all changes. Since the snapshot may be old, it is not relied on
// until the table or a peer has answered, or no source does for standaloneAfter.
func (k *Keeper) Run(ctx context.Context) {
	go k.freshness.runHeartbeat(ctx)
	k.readSnapshot(ctx)
	failures := 0
	for {
		if k.readTable(ctx) {
			failures = 0
		} else {
			failures++
			k.askPeers(ctx)
			k.acceptLastKnown()
		}
		if !k.waitForNextRead(ctx, failures) {
			return
		}
	}
}

// acceptLastKnown marks the present state as fresh when no source has answered for
// standaloneAfter: a process that is isolated in an outage serves by the last
// snapshot, or by its state from before a freeze, rather than not at all.
func (k *Keeper) acceptLastKnown() {
	now := time.Now()
	if k.State().Revision > 0 && k.freshness.staleFor(now) > standaloneAfter {
		k.opts.Log.Warn("No configuration source answers; using the last known configuration.", zap.Uint64("revision", uint64(k.State().Revision)))
		k.freshness.confirm(now, now)
	}
}

const (
	// staleReadInterval bounds the wait between reads while the configuration is not
	// fresh. It doubles with each failure, at most maxStaleDoublings times.
	staleReadInterval = 200 * time.Millisecond
	maxStaleDoublings = 2
)

func (k *Keeper) waitForNextRead(ctx context.Context, failures int) bool {
	base := min(k.opts.Period<<min(failures, 8), maxBackoff)
	if !k.Fresh() {
		base = min(base, staleReadInterval<<min(failures, maxStaleDoublings))
	}
	timer := time.NewTimer(base/2 + rand.N(base))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-k.wake:
		return true
	case <-timer.C:
		return true
	}
}

func (k *Keeper) readTable(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	requestedAt := time.Now()
	state, _, err := changes.CatchUp(ctx, k.opts.Table, k.State())
	k.adopt(state)
	k.recordTableResult(err)
	if err != nil {
		return false
	}
	k.freshness.confirm(requestedAt, time.Now())
	return true
}

func (k *Keeper) recordTableResult(err error) {
	wasUp := k.tableUp.Swap(err == nil)
	if err != nil && wasUp {
		k.opts.Log.Warn("Failed to read the table service.", zap.Error(err))
	}
	if err == nil && !wasUp {
		k.opts.Log.Info("Table service is reachable.")
	}
}

func (k *Keeper) readSnapshot(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	state, err := querysnapshot.Read(ctx, k.opts.Objects)
	if err != nil {
		k.opts.Log.Warn("Failed to read the configuration snapshot.", zap.Error(err))
		return
	}
	k.savedRevision.Store(uint64(state.Revision))
	k.adopt(state)
}

// maxPeersAsked bounds the peers that are asked in one round while the table is
// down.
const maxPeersAsked = 3

func (k *Keeper) askPeers(ctx context.Context) {
	members := k.opts.Network.Members()
	rand.Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
	for i, m := range members {
		if i == maxPeersAsked || ctx.Err() != nil {
			return
		}
		k.askPeer(ctx, m.Incarnation)
	}
}

func (k *Keeper) askPeer(ctx context.Context, to peer.Incarnation) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	var raw json.RawMessage
	requestedAt := time.Now()
	if k.opts.Network.Call(ctx, to, MethodState, k.State().Revision, &raw) != nil {
		return
	}
	if k.opts.OnPeerAnswer != nil {
		k.opts.OnPeerAnswer(ctx, to)
	}
	if string(raw) == "null" {
		k.freshness.confirm(requestedAt, time.Now())
		return
	}
	state, err := querysnapshot.Decode(raw)
	if err != nil {
		return
	}
	k.adopt(state)
	k.freshness.confirm(requestedAt, time.Now())
}

// handleState serves MethodState. A process without a fresh configuration refuses:
// it must not confirm to a peer that there is nothing newer.
func (k *Keeper) handleState(_ context.Context, params json.RawMessage) (any, error) {
	var after config.Revision
	if err := json.Unmarshal(params, &after); err != nil {
		return nil, err
	}
	if !k.Fresh() {
		return nil, errNoConfiguration
	}
	state := k.State()
	if state.Revision <= after {
		return nil, nil
	}
	return state, nil
}

func (k *Keeper) handleRevision(context.Context, json.RawMessage) (any, error) {
	return k.OwnRevision(), nil
}

// OwnRevision returns the revision that this process has in force.
func (k *Keeper) OwnRevision() ProcessRevision {
	self := k.opts.Network.Self()
	return ProcessRevision{
		Incarnation: self.Incarnation, CallerAddress: self.CallerAddress,
		Zone: self.Zone, Revision: k.State().Revision,
	}
}

// RunSnapshots rewrites the snapshot when it is outdated. Only the entry process
// with the lowest incarnation does so, which saves the others the store traffic.
func (k *Keeper) RunSnapshots(ctx context.Context) {
	for {
		timer := time.NewTimer(k.opts.SnapshotPeriod/2 + rand.N(k.opts.SnapshotPeriod))
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-timer.C:
		}
		if k.isSnapshotWriter() && uint64(k.State().Revision) > k.savedRevision.Load() {
			k.writeSnapshot(ctx)
		}
	}
}

func (k *Keeper) isSnapshotWriter() bool {
	self := k.opts.Network.Self().Incarnation
	for _, m := range k.opts.Network.Members() {
		if m.State == peer.Alive && m.CallerAddress != "" && m.Incarnation < self {
			return false
		}
	}
	return true
}

func (k *Keeper) writeSnapshot(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	state := k.State()
	if outcome, err := snapshot.Write(ctx, k.opts.Objects, state); outcome == snapshot.Unavailable {
		k.opts.Log.Warn("Failed to write the configuration snapshot.", zap.Error(err))
		return
	}
	k.savedRevision.Store(uint64(state.Revision))
}
