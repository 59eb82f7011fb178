package submissions

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/vanillagate/vanillagate/internal/peer"
	"github.com/vanillagate/vanillagate/internal/problem"
)

func TestDecide(t *testing.T) {
	long := KeyHistory{PeersObserved: true}
	young := KeyHistory{}
	tests := []struct {
		name  string
		facts Facts
		want  problem.Execution
	}{
		{"first submission, store down, peers silent", Facts{FirstSubmission: true, PeerSilent: true}, problem.NotRun},
		{"finished", Facts{Claim: ClaimFinished, PeerSilent: true}, problem.Ran},
		{"held by another", Facts{Claim: ClaimHeld, Reports: []KeyHistory{long}}, problem.Unknown},
		{"free and nobody has it under way", Facts{Claim: ClaimFree, Reports: []KeyHistory{young, young}}, problem.NotRun},
		{"free, but under way at a peer", Facts{Claim: ClaimFree, Reports: []KeyHistory{young, {Open: true}}}, problem.Unknown},
		{"free, but sent by a peer", Facts{Claim: ClaimFree, Reports: []KeyHistory{young, {Sent: true}}}, problem.Unknown},
		{"free, but a live peer is silent", Facts{Claim: ClaimFree, Reports: []KeyHistory{young}, PeerSilent: true}, problem.Unknown},
		{"free, and a peer died", Facts{Claim: ClaimFree, Reports: []KeyHistory{{PeerLost: true}}}, problem.NotRun},
		{"store down, all say no", Facts{Reports: []KeyHistory{long, young}}, problem.NotRun},
		{"store down, nobody watched long enough", Facts{Reports: []KeyHistory{young, young}}, problem.Unknown},
		{"store down, a peer died", Facts{Reports: []KeyHistory{long, {PeersObserved: true, PeerLost: true}}}, problem.Unknown},
		{"store down, a memory is too short", Facts{Reports: []KeyHistory{long, {Incomplete: true}}}, problem.Unknown},
		{"store down, a peer is silent", Facts{Reports: []KeyHistory{long}, PeerSilent: true}, problem.Unknown},
		{"store down, sent here", Facts{Reports: []KeyHistory{{PeersObserved: true, Sent: true}}}, problem.Unknown},
		{"store down, a listed VM is not seen", Facts{Reports: []KeyHistory{long}, PeerUnknown: true}, problem.Unknown},
		{"free, but a listed VM is not known", Facts{Claim: ClaimFree, Reports: []KeyHistory{long}, PeerUnknown: true}, problem.Unknown},
		{"nothing known", Facts{}, problem.Unknown},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) { assert.Equal(t, Decide(tc.facts), tc.want) })
	}
}

const window = time.Minute

func TestMemoryTellsOpenAndSentSubmissions(t *testing.T) {
	m := NewHistory(window)
	now := time.Now()
	key := KeyOf("granite", "k")
	mine := m.Begin(key)
	assert.Equal(t, m.Lookup(key, mine, now), KeyHistory{})
	other := m.Begin(key)
	assert.Equal(t, m.Lookup(key, mine, now), KeyHistory{Open: true})
	other.End(false, now)
	assert.Equal(t, m.Lookup(key, mine, now), KeyHistory{})
	mine.End(true, now)
	assert.Equal(t, m.Lookup(key, nil, now.Add(window)), KeyHistory{Sent: true})
	assert.Equal(t, m.Lookup(key, nil, now.Add(window+1)), KeyHistory{})
	assert.Equal(t, len(m.open)+len(m.sent)+len(m.order), 0)
}

// A process that took in more keys than it can hold must not say that it has
// not sent one which it dropped.
func TestFullMemorySaysThatItForgot(t *testing.T) {
	m := NewHistory(window)
	m.most = 2
	now := time.Now()
	for i := range 3 {
		m.Begin(KeyOf("granite", fmt.Sprint(i))).End(true, now)
	}
	assert.Equal(t, m.Lookup(KeyOf("granite", "0"), nil, now), KeyHistory{Incomplete: true})
	assert.Equal(t, m.Lookup(KeyOf("granite", "2"), nil, now), KeyHistory{Sent: true, Incomplete: true})
	assert.Equal(t, m.Lookup(KeyOf("granite", "0"), nil, now.Add(window+1)), KeyHistory{})
}

func TestRosterRemembersWhoWentUntilTheWindowIsOver(t *testing.T) {
	now := time.Now()
	r := NewPeerHistory(window, now)
	a, b := peer.Member{Incarnation: "a", CallerAddress: "x"}, peer.Member{Incarnation: "b", CallerAddress: "y"}
	r.Update([]peer.Member{a, b}, now)
	assert.Equal(t, r.Annotate(KeyHistory{}, now), KeyHistory{})
	r.Update([]peer.Member{a}, now)
	assert.Equal(t, r.Annotate(KeyHistory{}, now), KeyHistory{PeerLost: true})
	r.Update([]peer.Member{a, b}, now)
	assert.Equal(t, r.Annotate(KeyHistory{}, now), KeyHistory{})
	r.Update([]peer.Member{a}, now)
	r.Update([]peer.Member{a}, now.Add(window+1))
	assert.Equal(t, r.Annotate(KeyHistory{}, now.Add(window+1)), KeyHistory{PeersObserved: true})
	stewards := EntryProcesses([]peer.Member{{Incarnation: "s"}, a})
	assert.Equal(t, len(stewards), 1)
}
