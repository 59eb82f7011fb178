// Package inforce keeps the configuration that is in force in this process:
// read from the table service, passed on between peers, and taken from peers
// or the object store's snapshot while the table service is down.
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

// Method names of the calls between peers.
const (
	// MethodState answers with the whole State; its parameter is a revision
	// from which the asker wants something newer.
	MethodState = "config.state"
	// MethodRevision answers with a ProcessRevision.
	MethodRevision = "config.revision"
)

// ProcessRevision says which revision a process has in force.
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
	// Period is how often the table is read; each wait is drawn between half
	// and one and a half of it, so that VMs started together spread out.
	Period time.Duration
	// SnapshotPeriod is how often the process in charge looks whether the
	// snapshot is behind.
	SnapshotPeriod time.Duration
	// OnPeerAnswer, where not nil, is called with a peer that has answered, before its
	// answer counts: what else a process must know before it serves.
	OnPeerAnswer func(ctx context.Context, of peer.Incarnation)
}

const (
	// longestBackoff bounds the wait between reads while the table is down.
	longestBackoff = 30 * time.Second
	// readTimeout bounds one round of reads.
	readTimeout = 3 * time.Second
	// peerTimeout bounds one call of a peer.
	peerTimeout = time.Second
	// changeTTL is how long peers keep an accepted change to pass on. After
	// that the table's readers have it.
	changeTTL = 2 * time.Minute
)

// Keeper holds the configuration in force. Its revision only ever grows: a
// process that was frozen, an old snapshot and a late message of a peer are all
// behind it or ahead of it, never instead of it.
type Keeper struct {
	opts  Options
	state atomic.Pointer[config.State]
	// currency says whether the state may be gone by.
	currency *currency
	// tableUp says whether the last read of the table succeeded.
	tableUp atomic.Bool

	mu       sync.Mutex // held while a newer state is put in force; a leaf
	onChange []func(*config.State)
	wake     chan struct{}
	saved    config.Revision // snapshot's revision as last seen; the snapshot loop owns it
}

// New makes a Keeper at revision 0. Call before the network starts.
func New(opts Options) *Keeper {
	k := &Keeper{opts: opts, currency: newCurrency(time.Now()), wake: make(chan struct{}, 1)}
	k.state.Store(config.NewState())
	opts.Network.Subscribe(peer.TopicChange, k.heard)
	opts.Network.Handle(MethodState, k.answerState)
	opts.Network.Handle(MethodRevision, k.answerRevision)
	return k
}

// State is what is in force now. It must not be changed.
func (k *Keeper) State() *config.State { return k.state.Load() }

// Fresh says that the configuration has been read from some source, and not
// only before this process stood still.
func (k *Keeper) Fresh() bool { return k.currency.is(time.Now()) }

// AwaitFresh waits until the configuration is known, or says that it isn't in time.
func (k *Keeper) AwaitFresh(most time.Duration) bool { return k.currency.await(time.Now(), most) }

// TableUp says whether the last read of the table service succeeded.
func (k *Keeper) TableUp() bool { return k.tableUp.Load() }

// OnChange has fn called with every newer state. Call before Run.
func (k *Keeper) OnChange(fn func(*config.State)) { k.onChange = append(k.onChange, fn) }

// ApplyAndPublish puts a change that this process had accepted in force and tells the
// peers.
func (k *Keeper) ApplyAndPublish(c config.Change) {
	err := k.opts.Network.Publish(peer.TopicChange, revisionKey(c.Revision), uint64(c.Revision), changeTTL, c)
	if err != nil {
		k.opts.Log.Warn("Change not told to peers.", zap.Error(err))
	}
	if !k.apply(c) {
		k.catchUp(c.Revision)
	}
	k.TriggerRead()
}

// catchUp closes a gap before a change with what peers told. The table may go
// down right after it accepted the change, and could not be asked then.
func (k *Keeper) catchUp(to config.Revision) {
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

// TriggerRead has the table read soon.
func (k *Keeper) TriggerRead() {
	select {
	case k.wake <- struct{}{}:
	default:
	}
}

// apply puts changes in force that continue the present state; false where
// there is a gap.
func (k *Keeper) apply(list ...config.Change) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	next, err := k.State().Apply(list...)
	if err != nil {
		return false
	}
	k.put(next)
	return true
}

// adopt puts a whole state in force if it is newer.
func (k *Keeper) adopt(s *config.State) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.put(s)
}

func (k *Keeper) put(next *config.State) {
	if next.Revision <= k.State().Revision {
		return
	}
	k.state.Store(next)
	k.opts.Log.Info("Configuration in force.", zap.Uint64("revision", uint64(next.Revision)))
	for _, fn := range k.onChange {
		fn(next)
	}
}

// heard takes in a change that a peer passed on. After a gap the table is read
// at once instead.
func (k *Keeper) heard(item peer.Item) {
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
	k.catchUp(c.Revision)
	if k.State().Revision < c.Revision {
		k.TriggerRead()
	}
}

// Run reads until the context ends. It begins with the snapshot, which saves
// reading all changes. The snapshot may be old, so it is not gone by until the
// table has answered or a peer, or nobody does.
func (k *Keeper) Run(ctx context.Context) {
	go k.currency.run(ctx)
	k.readSnapshot(ctx)
	failures := 0
	for {
		if k.readTable(ctx) {
			failures = 0
		} else {
			failures++
			k.askPeers(ctx)
			k.goAlone()
		}
		if !k.pause(ctx, failures) {
			return
		}
	}
}

// goAlone goes by what there is when no source has answered for a while: a
// process that is alone in an outage serves by the last snapshot, or by what
// it had before it stood still, rather than not at all.
func (k *Keeper) goAlone() {
	now := time.Now()
	if k.State().Revision > 0 && k.currency.lacking(now) > aloneAfter {
		k.opts.Log.Warn("No source answers, going by what is known.", zap.Uint64("revision", uint64(k.State().Revision)))
		k.currency.confirm(now, now)
	}
}

const (
	// hurry bounds the wait between reads while nothing is known, and
	// mostHurried how many times it is doubled.
	hurry       = 200 * time.Millisecond
	mostHurried = 2
)

func (k *Keeper) pause(ctx context.Context, failures int) bool {
	base := min(k.opts.Period<<min(failures, 8), longestBackoff)
	if !k.Fresh() {
		base = min(base, hurry<<min(failures, mostHurried))
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
	asked := time.Now()
	state, _, err := changes.CatchUp(ctx, k.opts.Table, k.State())
	k.adopt(state)
	k.noteTable(err)
	if err != nil {
		return false
	}
	k.currency.confirm(asked, time.Now())
	return true
}

func (k *Keeper) noteTable(err error) {
	was := k.tableUp.Swap(err == nil)
	if err != nil && was {
		k.opts.Log.Warn("Table service can't be read.", zap.Error(err))
	}
	if err == nil && !was {
		k.opts.Log.Info("Table service answers.")
	}
}

func (k *Keeper) readSnapshot(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	state, err := querysnapshot.Read(ctx, k.opts.Objects)
	if err != nil {
		k.opts.Log.Warn("Snapshot can't be read.", zap.Error(err))
		return
	}
	k.saved = state.Revision
	k.adopt(state)
}

// maxPeersAsked bounds the peers that are asked while the table is down.
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
	asked := time.Now()
	if k.opts.Network.Call(ctx, to, MethodState, k.State().Revision, &raw) != nil {
		return
	}
	if k.opts.OnPeerAnswer != nil {
		k.opts.OnPeerAnswer(ctx, to)
	}
	if string(raw) == "null" {
		k.currency.confirm(asked, time.Now())
		return
	}
	state, err := querysnapshot.Decode(raw)
	if err != nil {
		return
	}
	k.adopt(state)
	k.currency.confirm(asked, time.Now())
}

// answerState gives the state if it is newer than the asker's. A process that
// knows nothing itself must not tell another that nothing is in force.
func (k *Keeper) answerState(_ context.Context, params json.RawMessage) (any, error) {
	var after config.Revision
	if err := json.Unmarshal(params, &after); err != nil {
		return nil, err
	}
	if !k.Fresh() {
		return nil, errNotKnown
	}
	state := k.State()
	if state.Revision <= after {
		return nil, nil
	}
	return state, nil
}

func (k *Keeper) answerRevision(context.Context, json.RawMessage) (any, error) {
	return k.OwnRevision(), nil
}

// OwnRevision is what this process has in force.
func (k *Keeper) OwnRevision() ProcessRevision {
	self := k.opts.Network.Self()
	return ProcessRevision{
		Incarnation: self.Incarnation, CallerAddress: self.CallerAddress,
		Zone: self.Zone, Revision: k.State().Revision,
	}
}

// RunSnapshots writes the snapshot anew when it is behind. Of all processes
// only the first by incarnation does, so that the store isn't read by each.
func (k *Keeper) RunSnapshots(ctx context.Context) {
	for {
		timer := time.NewTimer(k.opts.SnapshotPeriod/2 + rand.N(k.opts.SnapshotPeriod))
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-timer.C:
		}
		if k.inCharge() && k.State().Revision > k.saved {
			k.save(ctx)
		}
	}
}

func (k *Keeper) inCharge() bool {
	self := k.opts.Network.Self().Incarnation
	for _, m := range k.opts.Network.Members() {
		if m.State == peer.Alive && m.CallerAddress != "" && m.Incarnation < self {
			return false
		}
	}
	return true
}

func (k *Keeper) save(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	state := k.State()
	if outcome, err := snapshot.Write(ctx, k.opts.Objects, state); outcome == snapshot.Unavailable {
		k.opts.Log.Warn("Snapshot not written.", zap.Error(err))
		return
	}
	k.saved = state.Revision
}
