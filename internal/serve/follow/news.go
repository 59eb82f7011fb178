package follow

import (
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/vanillagate/vanillagate/internal/serve/plan"
	"github.com/vanillagate/vanillagate/internal/serve/pool"
)

const methodNews = "follow.news"

// newsCall asks for what is newer than this.
type newsCall struct {
	Version uint64 `json:"version"`
	// Revision is that of the newest change of the list of targets that the caller
	// knows, UpTo the one up to which it knows all changes; 0 where it knows no list.
	Revision uint64 `json:"revision"`
	UpTo     uint64 `json:"up_to,omitempty"`
	// Evacuations is the revision of the last change of any evacuation.
	Evacuations uint64 `json:"evacuations,omitempty"`
	// Changes tells that the caller takes changes of the list, Packed that it takes
	// packed ones, a packed configuration and the list in parts. A process of an earlier
	// version doesn't.
	Changes bool `json:"changes,omitempty"`
	Packed  bool `json:"packed,omitempty"`
	// NoList tells that the caller knows no list at all, not even an empty one.
	NoList bool `json:"no_list,omitempty"`
}

// since is the revision after which the caller lacks changes of the list.
func (c newsCall) since() uint64 { return max(c.Revision, c.UpTo) }

// news is what is newer; nil and empty where nothing is.
type news struct {
	// Plan is for callers of an earlier version, PackedPlan for all others.
	Plan       *plan.Plan `json:"plan,omitempty"`
	PackedPlan []byte     `json:"packed_plan,omitempty"`
	// Evacuated is the revision of the last change of any evacuation, if that is newer
	// than the caller's; 0 otherwise. Evacuations are all those in force then.
	Evacuated   uint64            `json:"evacuated,omitempty"`
	Evacuations []pool.Evacuation `json:"evacuations,omitempty"`
	// PlanUpTo, EvacuationsUpTo and TargetsUpTo are the store's revisions up to which
	// the answering process knows all changes of each. EvacuationsUpTo is 0 from a
	// process of an earlier version, TargetsUpTo where Whole is set.
	PlanUpTo        uint64 `json:"plan_up_to,omitempty"`
	EvacuationsUpTo uint64 `json:"evacuations_up_to,omitempty"`
	TargetsUpTo     uint64 `json:"targets_up_to,omitempty"`
	// Revision is that of the list of targets; 0 where there is no news of it. Changes
	// or PackedChanges are those since the caller's.
	Revision      uint64        `json:"revision,omitempty"`
	Changes       []pool.Change `json:"changes,omitempty"`
	PackedChanges []byte        `json:"packed_changes,omitempty"`
	// Whole tells that the changes since the caller's revision can't be told: it needs the
	// whole list, which the answering process has. Many tells that they are known and too
	// many, so that no other process can tell them either.
	Whole bool `json:"whole,omitempty"`
	Many  bool `json:"many,omitempty"`
	// Sound tells that the store answers this process and has told it of changes
	// just now.
	Sound bool `json:"sound,omitempty"`
	// ServedMS is for how long the store has served this process without a break.
	ServedMS int64 `json:"served_ms,omitempty"`
	// AgeMS is how long ago the store last told this process.
	AgeMS int64 `json:"age_ms,omitempty"`
}

const (
	// mostPlain is the most changes that are told without being packed.
	mostPlain = 16
	// mostChanges is the most changes that are told in one answer, which must not keep
	// others waiting behind it on a slow link. Who lacks more asks for the list in parts.
	mostChanges = 2048
)

// unpack replaces what came packed.
func (n *news) unpack() error {
	if len(n.PackedPlan) > 0 {
		n.Plan = &plan.Plan{}
		if err := unpack(n.PackedPlan, n.Plan); err != nil {
			return err
		}
	}
	if len(n.PackedChanges) > 0 {
		return unpack(n.PackedChanges, &n.Changes)
	}
	return nil
}

// lacking tells whether the caller needs the whole list. One of an earlier version tells
// it in a way that isn't understood any more.
func (n *news) lacking() bool { return n.Whole || n.Revision > 0 && len(n.Changes) == 0 }

func (f *Follower) newsSince(call newsCall) news {
	now := time.Now()
	age := now.Sub(f.told())
	n := news{
		Sound:       f.sound() && age < f.within().trust(),
		ServedMS:    now.Sub(time.Unix(0, f.served.Load())).Milliseconds(),
		AgeMS:       age.Milliseconds(),
		PlanUpTo:    f.orderFeed.revision.Load(),
		TargetsUpTo: f.table.SyncedRevision(),
	}
	f.planNews(&n, call)
	f.evacuationNews(&n, call)
	f.targetNews(&n, call, now)
	return n
}

func (f *Follower) planNews(n *news, call newsCall) {
	p := f.plans.Current()
	if p == nil || p.Version <= call.Version {
		return
	}
	if !call.Packed {
		n.Plan = p
		return
	}
	n.PackedPlan = f.packedNews.plan(p, func() []byte { return f.pack(p) })
}

// evacuationNews adds what the caller lacks of the evacuations.
func (f *Follower) evacuationNews(n *news, call newsCall) {
	list, newest, upTo := f.table.Evacuations()
	n.EvacuationsUpTo = upTo
	if newest > call.Evacuations {
		n.Evacuated, n.Evacuations = newest, list
	}
}

// targetNews adds what the caller lacks of the list of targets.
func (f *Follower) targetNews(n *news, call newsCall, now time.Time) {
	if !f.table.Loaded() {
		return
	}
	if call.NoList {
		n.Whole, n.TargetsUpTo = true, 0
		return
	}
	since := call.since()
	if f.table.LastChangeRevision() <= since {
		return
	}
	changes, asOf, known := f.table.ChangesSince(since, now)
	switch {
	case !known || !call.Changes || len(changes) > mostChanges:
		n.Whole, n.Many, n.TargetsUpTo = true, known, 0
	case len(changes) == 0:
	case call.Packed && len(changes) > mostPlain:
		n.Revision = asOf
		n.PackedChanges = f.packedNews.changes(since, asOf, now, func() []byte { return f.pack(changes) })
	default:
		n.Revision, n.Changes = asOf, changes
	}
}

// pack packs a value of our own types, which can't fail.
func (f *Follower) pack(value any) []byte {
	data, err := pack(value)
	if err != nil {
		f.log.DPanic("News can't be packed.", zap.Error(err))
	}
	return data
}

// packedAge is how long packed changes are told again: the times that a target stays cold
// are as of when they were packed.
const packedAge = time.Second

// packedNews keeps what was packed last: most of those that ask lack the same.
type packedNews struct {
	mu sync.Mutex // guards what follows; a leaf
	// version is the packed configuration's.
	version    uint64
	packedPlan []byte
	// since, asOf and at are the revisions and the time of the packed changes.
	since, asOf   uint64
	at            time.Time
	packedChanges []byte
}

func (c *packedNews) plan(p *plan.Plan, pack func() []byte) []byte {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.version != p.Version || c.packedPlan == nil {
		c.version, c.packedPlan = p.Version, pack()
	}
	return c.packedPlan
}

func (c *packedNews) changes(since, asOf uint64, now time.Time, pack func() []byte) []byte {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.since != since || c.asOf != asOf || now.Sub(c.at) > packedAge {
		c.since, c.asOf, c.at, c.packedChanges = since, asOf, now, pack()
	}
	return c.packedChanges
}

// forget drops changes that nobody has asked for lately.
func (c *packedNews) forget(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if now.Sub(c.at) > packedAge {
		c.since, c.asOf, c.packedChanges = 0, 0, nil
	}
}
