package follow

import (
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/vanillagate/vanillagate/internal/serve/plan"
	"github.com/vanillagate/vanillagate/internal/serve/pool"
	"github.com/vanillagate/vanillagate/internal/serve/revision"
)

const methodUpdates = "follow.news"

// updatesRequest asks a peer for state newer than the caller's.
type updatesRequest struct {
	Version uint64 `json:"version"`
	// NewestKnown is the revision of the newest change of the target list that the caller has.
	// SyncedTo is the one up to which it has all changes; 0 if it has no list.
	NewestKnown revision.Revision `json:"revision"`
	SyncedTo    revision.Revision `json:"up_to,omitempty"`
	// EvacuationsRevision is the revision of the last change of any evacuation that the caller
	// has.
	EvacuationsRevision revision.Revision `json:"evacuations,omitempty"`
	// AcceptsChanges means that the caller understands changes of the list. AcceptsPacked
	// means that it understands packed changes, a packed configuration and the list in parts.
	// Processes of earlier versions set neither.
	AcceptsChanges bool `json:"changes,omitempty"`
	AcceptsPacked  bool `json:"packed,omitempty"`
	// NoList means that the caller has no target list, not even an empty one.
	NoList bool `json:"no_list,omitempty"`
	// KnowsEras means that the caller tells eras apart. Processes of earlier releases don't set it; their revisions
	// count as those of the answering process's era.
	KnowsEras bool `json:"eras,omitempty"`
	// CatchUp asks the peer to get the store's changes before it answers.
	CatchUp bool `json:"catch_up,omitempty"`
}

// since returns the revision after which the caller lacks changes of the list.
func (r updatesRequest) since() revision.Revision { return max(r.NewestKnown, r.SyncedTo) }

// updates is the answer to an updatesRequest. Fields are empty where the caller is up to
// date.
type updates struct {
	// Plan is for callers of an earlier version, PackedPlan for all others.
	Plan       *plan.Plan `json:"plan,omitempty"`
	PackedPlan []byte     `json:"packed_plan,omitempty"`
	// EvacuationsRevision is the revision of the last change of any evacuation if it is
	// newer than the caller's, otherwise 0. Evacuations are all evacuations in effect as of
	// that revision.
	EvacuationsRevision revision.Revision `json:"evacuated,omitempty"`
	Evacuations         []pool.Evacuation `json:"evacuations,omitempty"`
	// PlanUpTo, EvacuationsUpTo and TargetsUpTo are the store revisions up to which the
	// answering process has all changes of each. EvacuationsUpTo is 0 from a process of an
	// earlier version, and TargetsUpTo has version 0 where NeedsList is set.
	PlanUpTo        revision.Revision `json:"plan_up_to,omitempty"`
	EvacuationsUpTo revision.Revision `json:"evacuations_up_to,omitempty"`
	TargetsUpTo     revision.Revision `json:"targets_up_to,omitempty"`
	// Revision is the revision of the target list; 0 if the caller is up to date. Changes
	// or PackedChanges are the changes since the caller's revision.
	Revision      revision.Revision `json:"revision,omitempty"`
	Changes       peerChanges       `json:"changes,omitempty"`
	PackedChanges []byte            `json:"packed_changes,omitempty"`
	// NeedsList means that the changes since the caller's revision can't be sent: the
	// caller needs the full list, which the answering process has. TooManyChanges means
	// that they are known but too many, so no other process would send them either.
	NeedsList      bool `json:"whole,omitempty"`
	TooManyChanges bool `json:"many,omitempty"`
	// StoreHealthy means that the store answers the sending process and did so recently.
	StoreHealthy bool `json:"sound,omitempty"`
	// ServedMS is how long the store has served the sending process without interruption.
	ServedMS int64 `json:"served_ms,omitempty"`
	// AgeMS is the time since the store last answered the sending process.
	AgeMS int64 `json:"age_ms,omitempty"`
	// CaughtUp means that the sending process has got the store's changes since the request.
	CaughtUp bool `json:"caught_up,omitempty"`
}

const (
	// maxUnpackedChanges is the maximum number of changes sent without packing.
	maxUnpackedChanges = 16
	// maxChanges is the maximum number of changes per answer, which must not delay the
	// messages behind it on a slow link. A caller that lacks more requests the list in
	// parts.
	maxChanges = 2048
)

// unpack decodes the packed fields into Plan and Changes.
func (u *updates) unpack() error {
	if len(u.PackedPlan) > 0 {
		u.Plan = &plan.Plan{}
		if err := unpack(u.PackedPlan, u.Plan); err != nil {
			return err
		}
	}
	if len(u.PackedChanges) > 0 {
		if err := unpack(u.PackedChanges, &u.Changes); err != nil {
			return err
		}
	}
	u.setEntryEras()
	return nil
}

// needsList reports whether the caller needs the full list. Peers of an earlier version
// send the list itself, in a format that is no longer supported; they set Revision without
// Changes.
func (u *updates) needsList() bool { return u.NeedsList || u.Revision > 0 && len(u.Changes) == 0 }

// needList says that the caller needs the full list.
func (u *updates) needList() {
	u.NeedsList, u.TargetsUpTo = true, u.TargetsUpTo.EraStart()
}

func (f *Follower) updatesSince(request updatesRequest) updates {
	now := time.Now()
	age := now.Sub(f.lastAnswer())
	u := updates{
		StoreHealthy: f.storeHealthy() && age < f.propagationBound().contactTTL(),
		ServedMS:     now.Sub(time.Unix(0, f.servedSince.Load())).Milliseconds(),
		AgeMS:        age.Milliseconds(),
		PlanUpTo:     f.operatorFeed.revision.Load(),
		TargetsUpTo:  f.table.SyncedRevision(),
	}
	if !request.KnowsEras {
		request.NewestKnown = request.NewestKnown.InEra(f.table.LastChangeRevision().Era())
		request.SyncedTo = request.SyncedTo.InEra(f.table.LastChangeRevision().Era())
		_, evacuations, _ := f.table.Evacuations()
		request.EvacuationsRevision = request.EvacuationsRevision.InEra(evacuations.Era())
	}
	f.addPlan(&u, request)
	f.addEvacuations(&u, request)
	f.addTargets(&u, request, now)
	return u
}

func (f *Follower) addPlan(u *updates, request updatesRequest) {
	p := f.plans.Current()
	if p == nil || p.Version <= request.Version {
		return
	}
	if !request.AcceptsPacked {
		u.Plan = p
		return
	}
	u.PackedPlan = f.packedUpdates.plan(p, func() []byte { return f.pack(p) })
}

// addEvacuations adds the evacuations if the caller's are older.
func (f *Follower) addEvacuations(u *updates, request updatesRequest) {
	list, newest, upTo := f.table.Evacuations()
	u.EvacuationsUpTo = upTo
	if newest > request.EvacuationsRevision {
		u.EvacuationsRevision, u.Evacuations = newest, list
	}
}

// addTargets adds the changes of the target list that the caller lacks.
func (f *Follower) addTargets(u *updates, request updatesRequest, now time.Time) {
	if !f.table.Loaded() {
		return
	}
	if request.NoList {
		u.needList()
		return
	}
	since := request.since()
	if f.table.LastChangeRevision() <= since {
		return
	}
	changes, asOf, known := f.table.ChangesSince(since, now)
	switch {
	case since.Era() < asOf.Era():
		u.needList()
		u.TooManyChanges = true // no process can send changes from one era to the next
	case !known || !request.AcceptsChanges || len(changes) > maxChanges:
		u.needList()
		u.TooManyChanges = known
	case len(changes) == 0:
	case request.AcceptsPacked && len(changes) > maxUnpackedChanges:
		u.Revision = asOf
		u.PackedChanges = f.packedUpdates.changes(since, asOf, now, func() []byte { return f.pack(changes) })
	default:
		u.Revision, u.Changes = asOf, changes
	}
}

// pack packs a value of a type of this package or plan, which can't fail.
func (f *Follower) pack(value any) []byte {
	data, err := pack(value)
	if err != nil {
		f.log.DPanic("Updates for peers can't be encoded.", zap.Error(err))
	}
	return data
}

// packedMaxAge is how long packed changes are reused: the remaining cold times of targets
// in them are relative to the time of packing.
const packedMaxAge = time.Second

// packedUpdates caches the last packed plan and changes, since most callers lack the same
// ones.
type packedUpdates struct {
	mu sync.Mutex // guards the fields below; no other lock is taken while it is held
	// version is the version of packedPlan.
	version    uint64
	packedPlan []byte
	// since and asOf are the revisions that packedChanges spans; packedAt is when they were
	// packed.
	since, asOf   revision.Revision
	packedAt      time.Time
	packedChanges []byte
}

func (c *packedUpdates) plan(p *plan.Plan, pack func() []byte) []byte {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.version != p.Version || c.packedPlan == nil {
		c.version, c.packedPlan = p.Version, pack()
	}
	return c.packedPlan
}

func (c *packedUpdates) changes(since, asOf revision.Revision, now time.Time, pack func() []byte) []byte {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.since != since || c.asOf != asOf || now.Sub(c.packedAt) > packedMaxAge {
		c.since, c.asOf, c.packedAt, c.packedChanges = since, asOf, now, pack()
	}
	return c.packedChanges
}

// dropExpired releases packed changes older than packedMaxAge.
func (c *packedUpdates) dropExpired(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if now.Sub(c.packedAt) > packedMaxAge {
		c.since, c.asOf, c.packedChanges = 0, 0, nil
	}
}
