package origins

import (
	"context"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"github.com/vanillagate/vanillagate/internal/peer"
)

// methodVersions asks a process which versions it knows to be in the table. Processes that the store rejects learn it
// this way.
const methodVersions = "origins.versions"

// versionsAnswer has the versions whose rows are in the table. Known is false if the process doesn't know them.
type versionsAnswer struct {
	Known    bool          `json:"known"`
	Era      uint64        `json:"era"`
	Versions []peerVersion `json:"versions,omitempty"`
}

type peerVersion struct {
	Origin
	// CompleteInMS is the time until the rows of the service have all versions.
	CompleteInMS int64 `json:"complete_in_ms"`
	// Unwritten means that the row isn't known to be in the table, or is older than the table's return from a copy.
	Unwritten bool `json:"unwritten,omitempty"`
}

// answerPeer tells another process which versions are in the table.
func (l *Ledger) answerPeer(now time.Time) versionsAnswer {
	l.mu.Lock()
	defer l.mu.Unlock()
	answer := versionsAnswer{Known: l.knowsVersions, Era: l.moment.Era}
	for _, v := range l.admissions.acknowledged() {
		answer.Versions = append(answer.Versions, peerVersion{Origin: v.Origin, CompleteInMS: v.complete.Sub(now).Milliseconds()})
	}
	return answer
}

// addUnwritten adds the versions that this process knows whose rows may not be in the table.
func (l *Ledger) addUnwritten(answer *versionsAnswer, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for o, known := range l.admissions.versions {
		if known.acknowledged {
			continue
		}
		complete, has := l.admissions.complete[o.Service]
		if !has {
			complete = now.Add(versionMemory)
		}
		answer.Versions = append(answer.Versions, peerVersion{Origin: o, CompleteInMS: complete.Sub(now).Milliseconds(), Unwritten: true})
	}
}

// askPeer asks another process which versions are in the table.
func (l *Ledger) askPeer(ctx context.Context) {
	others := l.others(1) // the next failure may ask another one
	if len(others) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	var answer versionsAnswer
	if err := l.Network.Call(ctx, others[0], methodVersions, struct{}{}, &answer); err != nil || !answer.Known {
		l.Log.Debug("Process doesn't tell which versions are in the store.", zap.String("member", string(others[0])), zap.Error(err))
		return
	}
	l.applyAnswer(answer, time.Now())
}

// others returns up to n other processes at random.
func (l *Ledger) others(n int) []peer.Incarnation {
	var list []peer.Incarnation
	for _, m := range l.Network.View().Alive() {
		if m.Incarnation != l.Network.Self().Incarnation {
			list = append(list, m.Incarnation)
		}
	}
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list[:min(n, len(list))]
}

// applyAnswer takes over which versions another process knows to be in the table. It reports false if the table has
// come back from a copy since.
func (l *Ledger) applyAnswer(answer versionsAnswer, now time.Time) bool {
	var versions []acknowledgedVersion
	var all []Origin
	for _, v := range answer.Versions {
		all = append(all, v.Origin)
		versions = append(versions, acknowledgedVersion{
			Origin: v.Origin, complete: now.Add(time.Duration(v.CompleteInMS) * time.Millisecond), fromCopy: v.Unwritten,
		})
	}
	l.recordLeft(all, now)
	era := max(l.Rows.Era(), l.Versions.Era())
	l.mu.Lock()
	defer l.mu.Unlock()
	if answer.Era < max(l.moment.Era, era) {
		return false
	}
	if !l.knowsVersions {
		l.moment.Era = answer.Era
	}
	l.admissions.acknowledge(versions, l.listed, now)
	l.knowsVersions = true
	return true
}
