package entry

import (
	"encoding/json"
	"sort"
	"time"

	"go.uber.org/zap"

	"github.com/vanillagate/vanillagate/internal/peer"
	"github.com/vanillagate/vanillagate/internal/suspect"
)

// suspicion tells the peers what this process holds against requests, and
// takes in what they tell.
type suspicion struct {
	server *Server
	table  *suspect.Table
}

func newSuspicion(s *Server) *suspicion {
	sp := &suspicion{server: s, table: suspect.NewTable(string(s.opts.Network.Self().Incarnation))}
	s.opts.Network.Subscribe(peer.TopicSuspect, sp.heard)
	return sp
}

func (sp *suspicion) heard(item peer.Item) {
	var e suspect.Evidence
	if json.Unmarshal(item.Body, &e) == nil {
		sp.table.MergeEvidence(e, time.Now())
	}
}

func (sp *suspicion) tell(e suspect.Evidence) {
	sp.server.publish(peer.TopicSuspect, string(e.Fingerprint), suspect.EvidenceTTL, e)
}

// RecordCrash is part of pipeline.Suspicion.
func (sp *suspicion) RecordCrash(f suspect.Fingerprint, address string) {
	if sp.server.opts.Policy.NoSuspicion {
		return
	}
	sp.server.log.Warn("Target died under a request.", zap.String("target", address), zap.String("fingerprint", string(f)))
	sp.tell(sp.table.Crashed(f, address, time.Now()))
}

// RecordSuccess is part of pipeline.Suspicion.
func (sp *suspicion) RecordSuccess(f suspect.Fingerprint) { sp.tell(sp.table.Cleared(f, time.Now())) }

// Check is part of pipeline.Suspicion.
func (sp *suspicion) Check(f suspect.Fingerprint) suspect.Verdict {
	return sp.table.Check(f, time.Now())
}

// RequestPermission is part of pipeline.Suspicion.
func (sp *suspicion) RequestPermission(f suspect.Fingerprint) suspect.Permission {
	leave, news := sp.table.Ask(f, time.Now())
	if news != nil {
		sp.tell(*news)
	}
	return leave
}

// ReleasePermission is part of pipeline.Suspicion.
func (sp *suspicion) ReleasePermission(f suspect.Fingerprint, leave suspect.Permission) {
	if leave == suspect.Isolated {
		sp.table.Done(f)
	}
}

// MayContinue is part of pipeline.Suspicion.
func (sp *suspicion) MayContinue(f suspect.Fingerprint, leave suspect.Permission) bool {
	return sp.table.MayGoOn(f, leave, time.Now())
}

// Watch is part of pipeline.Suspicion.
func (sp *suspicion) Watch(f suspect.Fingerprint, fn func()) func() { return sp.table.Watch(f, fn) }

// Quarantine is part of pipeline.Suspicion.
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
	return suspect.Quarantine(sp.addresses(pool), rank, len(all))
}

// addresses are the targets that suspects may use. They are chosen by what all
// processes hear alike, the VM list, planned stops and deaths: where each left
// out what it can't reach itself, two would take the same target for theirs.
func (sp *suspicion) addresses(pool string) []string {
	now := time.Now()
	var list []string
	for _, t := range sp.server.targets.Status(now) {
		if t.Pool == pool && !t.Leaving && !sp.table.DiedRecently(t.Address, now) {
			list = append(list, t.Address)
		}
	}
	return list
}
