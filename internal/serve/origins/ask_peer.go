package origins

import (
	"context"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"
)

// methodVersions asks a process which versions it knows to be in the table. Processes that the store rejects learn it
// this way.
const methodVersions = "origins.versions"

// versionsAnswer has the versions whose rows are in the table. Known is false if the process doesn't know them.
type versionsAnswer struct {
	Known    bool          `json:"known"`
	Versions []peerVersion `json:"versions,omitempty"`
}

type peerVersion struct {
	Origin
	// CompleteInMS is the time until the rows of the service have all versions.
	CompleteInMS int64 `json:"complete_in_ms"`
}

// answerPeer tells another process which versions are in the table.
func (l *Ledger) answerPeer(now time.Time) versionsAnswer {
	l.mu.Lock()
	defer l.mu.Unlock()
	answer := versionsAnswer{Known: l.knowsVersions}
	for _, v := range l.admissions.acknowledged() {
		answer.Versions = append(answer.Versions, peerVersion{Origin: v.Origin, CompleteInMS: v.complete.Sub(now).Milliseconds()})
	}
	return answer
}

// askPeer asks another process which versions are in the table.
func (l *Ledger) askPeer(ctx context.Context) {
	alive := l.Network.View().Alive()
	if len(alive) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	var answer versionsAnswer
	peer := alive[rand.IntN(len(alive))].Incarnation
	if peer == l.Network.Self().Incarnation {
		return // the next failure asks another one
	}
	if err := l.Network.Call(ctx, peer, methodVersions, struct{}{}, &answer); err != nil || !answer.Known {
		l.Log.Debug("Process doesn't tell which versions are in the store.", zap.String("member", string(peer)), zap.Error(err))
		return
	}
	now := time.Now()
	var versions []acknowledgedVersion
	for _, v := range answer.Versions {
		versions = append(versions, acknowledgedVersion{Origin: v.Origin, complete: now.Add(time.Duration(v.CompleteInMS) * time.Millisecond)})
	}
	l.mu.Lock()
	found := l.admissions.acknowledge(versions, l.listed, now)
	l.knowsVersions = true
	l.mu.Unlock()
	for _, o := range found {
		l.Versions.RecordLeft(o.Service, o.Version, now)
	}
}
