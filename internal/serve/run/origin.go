package run

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"github.com/vanillagate/vanillagate/internal/serve/origins"
	"github.com/vanillagate/vanillagate/internal/serve/plan"
	"github.com/vanillagate/vanillagate/internal/serve/pool"
)

const (
	// maxRecordWait limits how long the first event of a stream is held back until another process knows
	// where the stream began.
	maxRecordWait = 50 * time.Millisecond
	// takeUpTime is how long after its deadline a stream may still be taken up.
	takeUpTime = time.Minute
	// refreshPeriod is how often the holders of a running stream's record are checked.
	refreshPeriod = time.Second
	// maxListAge is the age up to which the list of targets counts as current where there is no table of origins.
	maxListAge = 3 * time.Second
)

// takesUp reports whether the caller takes up a stream of which it already has events.
func (j *job) takesUp() bool {
	return j.route.Kind == plan.Stream && (j.req.LastEventID != "" || j.req.Resumes != "")
}

// originKey returns the key of the request's stream.
func (j *job) originKey() origins.Key {
	team, attempt := "", j.req.ID
	if j.team != nil {
		team = j.team.Name
	}
	if j.req.Resumes != "" {
		attempt = j.req.Resumes
	}
	return origins.KeyOf(team, attempt)
}

// findOrigin determines the service and version that began the stream that the caller takes up. It returns
// the refusal if they aren't certain: what two versions write doesn't fit together.
func (j *job) findOrigin() *Reply {
	if !j.takesUp() {
		return nil
	}
	if j.ledger() == nil {
		return j.findOriginWithoutLedger()
	}
	found := j.Origins.Find(j.ctx, j.originKey())
	if found.Found {
		return j.goOnAt(found.Origin, foundBy(found))
	}
	caughtUp := make(chan bool, 1)
	go func() { caughtUp <- j.CatchUp == nil || j.CatchUp(j.ctx) }()
	origin, recorded, read := j.ledger().Recall(j.ctx, j.originKey())
	if recorded {
		return j.goOnAt(origin, byStore)
	}
	// A process that was cut off or stood still has an old list, and can't tell: only what was read since counts.
	read = <-caughtUp && read
	if read {
		if only, certain := j.onlyOrigin(time.Now()); certain {
			return j.goOnAt(only, byOnlyVersion)
		}
	}
	return j.refuseUnknownVersion(found, read)
}

// findOriginWithoutLedger determines the origin of the stream from the list of targets and other processes alone.
func (j *job) findOriginWithoutLedger() *Reply {
	now := time.Now()
	only, certain := j.onlyOrigin(now)
	current := j.listIsCurrent(now)
	if j.req.Resumes == "" && certain && current {
		return j.goOnAt(only, byOnlyVersion)
	}
	var found origins.Result
	if j.Origins != nil {
		found = j.Origins.Find(j.ctx, j.originKey())
	}
	if found.Found {
		return j.goOnAt(found.Origin, foundBy(found))
	}
	if certain && (found.Answered > 0 || current) {
		return j.goOnAt(only, byOnlyVersion)
	}
	return j.refuseUnknownVersion(found, true)
}

// refuseUnknownVersion refuses the request because nobody knows which version began its stream. The caller is told to come
// back if others may know it. read means that the table of origins was read.
func (j *job) refuseUnknownVersion(found origins.Result, read bool) *Reply {
	j.Log.Info("Version that began a stream isn't known.", requestID(j.req.ID), zap.String("resumes", j.req.Resumes),
		zap.Int("asked", found.Asked), zap.Int("answered", found.Answered), zap.Bool("store_read", read))
	ledger := j.ledger()
	if found.Answered < found.Asked || found.Joining || !read || ledger != nil && ledger.HoldsBack(j.service) {
		return refuse(fasthttp.StatusServiceUnavailable, UnknownVersion, retryAfter(0))
	}
	return refuse(fasthttp.StatusServiceUnavailable, UnknownVersion, 0)
}

// foundBy returns by what the version of a stream is known that was found.
func foundBy(found origins.Result) string {
	if found.Local() {
		return byOwnRecord
	}
	return byPeer
}

// By what the version of a stream that was taken up is known, in logs and metrics.
const (
	byOwnRecord   = "own record"
	byPeer        = "peer"
	byStore       = "store"
	byOnlyVersion = "only version"
)

// goOnAt has the stream go on where it began. It returns a refusal if the route no longer has the service.
func (j *job) goOnAt(origin origins.Origin, source string) *Reply {
	j.Metrics.count(series("vanillagate_stream_origins_known", "by", source))
	j.origin, j.originBy = &origin, source
	if !j.route.Includes(origin.Service) && !j.hasMovedTo(origin.Service) {
		return refuse(fasthttp.StatusServiceUnavailable, VersionGone, 0)
	}
	j.service = origin.Service
	return nil
}

// hasMovedTo reports whether the route has moved to a service since this process last heard of the configuration, and takes
// the new route over.
func (j *job) hasMovedTo(service string) bool {
	if j.CatchUp == nil || !j.CatchUp(j.ctx) {
		return false
	}
	route := j.Plans.Current().Route(j.req.Host, j.req.Path)
	if route == nil || route.Unusable || route.Kind != j.route.Kind || route.Public != j.route.Public || !route.Includes(service) {
		return false
	}
	j.route = route
	return true
}

// ledger returns the ledger of origins; nil if there is none.
func (j *job) ledger() *origins.Ledger {
	if j.Origins == nil {
		return nil
	}
	return j.Origins.Ledger()
}

// onlyOrigin returns the service and version at which every stream of the request's route began; false if there
// are several.
func (j *job) onlyOrigin(now time.Time) (origins.Origin, bool) {
	p := j.Plans.Current()
	if p == nil {
		return origins.Origin{}, false
	}
	route := p.Route(j.req.Host, j.req.Path)
	if route == nil || len(route.Split) != 1 || !route.Includes(j.service) || j.Plans.WasElsewhere(j.req.Host, j.req.Path, j.service, now) {
		return origins.Origin{}, false
	}
	version, only := j.Table.OnlyVersion(j.service, now)
	origin := origins.Origin{Service: j.service, Version: version}
	ledger := j.ledger()
	if !only || ledger == nil {
		return origin, only
	}
	// The ledger may have found further versions since.
	certain := ledger.Certain(origin, now)
	again, only := j.Table.OnlyVersion(j.service, now)
	return origin, certain && only && again == version
}

// knowsAllVersions reports whether this process knows all versions that others may know of.
func (j *job) knowsAllVersions(now time.Time) bool {
	return j.ledger() != nil || j.Table.KnowsLeftVersions(now)
}

// listIsCurrent reports whether the store, or a process that it answers, has confirmed the list lately.
func (j *job) listIsCurrent(now time.Time) bool {
	return j.ContactAge == nil || j.ContactAge(now) < maxListAge
}

// eligible removes the targets that this process can't reach, and those of other versions than the one that
// began the stream.
func (j *job) eligible(views []pool.View) []pool.View {
	views = j.reachable(views)
	if j.origin == nil {
		return j.admitted(views)
	}
	return slices.DeleteFunc(views, func(v pool.View) bool { return v.Version != j.origin.Version })
}

// admitted removes the targets of versions at which streams may not begin yet, if there are others in the service.
func (j *job) admitted(views []pool.View) []pool.View {
	ledger := j.ledger()
	if ledger == nil || !j.route.Resumable || !ledger.HoldsBack(j.service) {
		return views
	}
	isWaiting := func(v pool.View) bool {
		return !ledger.Admitted(origins.Origin{Service: j.service, Version: v.Version})
	}
	kept := slices.DeleteFunc(slices.Clone(views), isWaiting)
	if len(kept) > 0 {
		return kept
	}
	others := slices.DeleteFunc(j.reachable(j.Table.Views(j.service, time.Now())), isWaiting)
	if len(others) > 0 {
		return nil
	}
	return views
}

// versionGone reports whether the stream has begun and no target of its version gets requests.
func (j *job) versionGone() bool {
	return j.origin != nil && len(j.eligible(j.Table.Views(j.service, time.Now()))) == 0
}

// isOfOrigin reports whether a target is of the version that began the stream.
func (j *job) isOfOrigin(target *pool.Target) bool { return target.Version == j.origin.Version }

// refuseVersionGone refuses the request because no target of its stream's version takes it.
func (j *job) refuseVersionGone() *Reply {
	var after time.Duration
	for _, target := range j.Table.ReadySet(j.service).Targets {
		if j.isOfOrigin(target) {
			after = retryAfter(0)
			if opening, known := j.Table.NextOpening(j.service, time.Now(), j.isOfOrigin); known && opening.Wait > 0 {
				after = spreadReturn(opening, rand.Float64())
			}
			break
		}
	}
	return j.errorReply(fasthttp.StatusBadGateway, VersionGone, after)
}

// setOrigin records, before the caller gets a part of an event, which version wrote it. From then on the
// stream goes on at that version only.
func (j *job) setOrigin(target *pool.Target) {
	taken := j.origin != nil
	if !taken {
		j.origin = &origins.Origin{Service: j.service, Version: target.Version}
		j.countUnadmitted()
	}
	j.recordOrigin()
	if j.recording != nil && j.recording.Persistent() && !taken && !j.recording.Wait(maxRecordWait) {
		j.Metrics.count("streams.unrecorded")
	}
}

// countUnadmitted counts the stream if it begins at a version that isn't admitted: there was no other. Nobody may know
// of that version if all processes die now.
func (j *job) countUnadmitted() {
	ledger := j.ledger()
	if ledger == nil || !j.route.Resumable || ledger.Admitted(*j.origin) {
		return
	}
	j.Metrics.count("streams.unadmitted")
	j.Log.Info("Stream begins at a version that isn't in the store yet.", requestID(j.req.ID), zap.String("version", j.origin.Version))
}

// recordOrigin has other processes know where the stream began. The record is written to the table of origins as long as
// its version may not be the only one.
func (j *job) recordOrigin() {
	if j.Origins == nil || !j.route.Resumable {
		return
	}
	now := time.Now()
	j.recordedAt, j.recordedAs = now, j.Table.Generation()
	if j.recording == nil {
		j.recording = j.Origins.Hold(j.originKey(), *j.origin, j.deadline.Add(takeUpTime))
	} else {
		j.recording.Refresh()
	}
	if !j.isOnlyOrigin(now) {
		j.recording.Persist()
	}
}

// isOnlyOrigin reports whether every stream of the route has begun where this one did, as far as this process knows.
func (j *job) isOnlyOrigin(now time.Time) bool {
	origin, certain := j.onlyOrigin(now)
	// Processes that have run for longer may know of more versions.
	return certain && origin == *j.origin && j.knowsAllVersions(now)
}

// refreshOrigin calls recordOrigin from time to time while the stream runs, and when the targets have changed.
func (j *job) refreshOrigin(now time.Time) {
	if j.origin == nil || j.recording == nil {
		return
	}
	if now.Sub(j.recordedAt) >= refreshPeriod || !j.recording.Persistent() && j.Table.Generation() != j.recordedAs {
		j.recordOrigin()
	}
}
