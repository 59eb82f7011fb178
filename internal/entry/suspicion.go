package entry

import (
	"encoding/json"
	"sort"
	"time"

	"go.uber.org/zap"

	"github.com/vanillagate/vanillagate/internal/crashes"
	"github.com/vanillagate/vanillagate/internal/logging"
	"github.com/vanillagate/vanillagate/internal/peer"
	"github.com/vanillagate/vanillagate/internal/suspect"
)

// suspicion shares evidence about requests that crash their targets with the
// peers.
type suspicion struct {
	server *Server
	table  *suspect.Table
	// detector finds what requests that are unlike each other have in common.
	detector *crashes.Detector
}

func newSuspicion(s *Server) *suspicion {
	sp := &suspicion{server: s, table: suspect.NewTable(string(s.opts.Network.Self().Incarnation))}
	sp.detector = crashes.New(s.loopCtx, crashes.Options{Log: logging.WithComponent(s.opts.Log, "suspicion"), Network: s.opts.Network})
	s.opts.Network.Subscribe(peer.TopicSuspect, sp.receive)
	return sp
}

func (sp *suspicion) receive(item peer.Item) {
	var e suspect.Evidence
	if json.Unmarshal(item.Body, &e) == nil {
		sp.table.MergeEvidence(e, time.Now())
	}
}

func (sp *suspicion) publishEvidence(e suspect.Evidence) {
	sp.server.publish(peer.TopicSuspect, string(e.Fingerprint), suspect.EvidenceTTL, e)
}

// RecordCrash implements pipeline.Suspicion.
func (sp *suspicion) RecordCrash(f suspect.Fingerprint, address string) {
	if sp.server.opts.Policy.NoSuspicion {
		return
	}
	sp.server.log.Warn("Target died under a request.", zap.String("target", address), zap.String("fingerprint", string(f)))
	sp.publishEvidence(sp.table.RecordCrash(f, address, time.Now()))
}

// RecordSuccess implements pipeline.Suspicion.
func (sp *suspicion) RecordSuccess(f suspect.Fingerprint) {
	sp.publishEvidence(sp.table.RecordSuccess(f, time.Now()))
}

// Check implements pipeline.Suspicion.
func (sp *suspicion) Check(f suspect.Fingerprint) suspect.Verdict {
	return sp.table.Check(f, time.Now())
}

// RequestPermission implements pipeline.Suspicion.
func (sp *suspicion) RequestPermission(f suspect.Fingerprint) suspect.Permission {
	permission, evidence := sp.table.RequestPermission(f, time.Now())
	if evidence != nil {
		sp.publishEvidence(*evidence)
	}
	return permission
}

// ReleasePermission implements pipeline.Suspicion.
func (sp *suspicion) ReleasePermission(f suspect.Fingerprint, permission suspect.Permission) {
	if permission == suspect.Isolated {
		sp.table.ReleasePermission(f)
	}
}

// MayContinue implements pipeline.Suspicion.
func (sp *suspicion) MayContinue(f suspect.Fingerprint, permission suspect.Permission) bool {
	return sp.table.MayContinue(f, permission, time.Now())
}

// Watch implements pipeline.Suspicion.
func (sp *suspicion) Watch(f suspect.Fingerprint, fn func()) func() { return sp.table.Watch(f, fn) }

// Convicted implements pipeline.Suspicion.
func (sp *suspicion) Convicted(t crashes.Traits) bool {
	_, found := sp.detector.Convicted(t)
	return found
}

// Crashed implements pipeline.Suspicion.
func (sp *suspicion) Crashed(c crashes.Call) {
	if !sp.server.opts.Policy.NoSuspicion {
		sp.detector.Crashed(c)
	}
}

// Answered implements pipeline.Suspicion.
func (sp *suspicion) Answered(c crashes.Call) { sp.detector.Answered(c, false) }

// Quarantine implements pipeline.Suspicion.
func (sp *suspicion) Quarantine(pool string) func(address string) bool {
	network := sp.server.opts.Network
	self := network.Self().Incarnation
	all := []string{string(self)}
	for _, m := range network.Members() {
		if m.CallerAddress != "" && m.State == peer.Alive {
			all = append(all, string(m.Incarnation))
		}
	}
	sort.Strings(all)
	rank := sort.SearchStrings(all, string(self))
	return suspect.Quarantine(sp.quarantineTargets(pool), rank, len(all))
}

// quarantineTargets returns the targets that suspects may use. They are
// computed only from data that all processes share: the VM list, planned stops
// and target deaths. If each process left out the targets that it can't reach
// itself, two processes could assign the same target to their suspects.
func (sp *suspicion) quarantineTargets(pool string) []string {
	now := time.Now()
	var list []string
	for _, t := range sp.server.targets.Status(now) {
		if t.Pool == pool && !t.Leaving && !sp.table.DiedRecently(t.Address, now) {
			list = append(list, t.Address)
		}
	}
	return list
}
