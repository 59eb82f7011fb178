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
	observed := KeyHistory{PeersObserved: true}
	justStarted := KeyHistory{}
	tests := []struct {
		name  string
		facts Facts
		want  problem.Execution
	}{
		{"first submission, store down, peers silent", Facts{FirstSubmission: true, PeerSilent: true}, problem.NotRun},
		{"finished", Facts{Claim: ClaimFinished, PeerSilent: true}, problem.Ran},
		{"held by another submission", Facts{Claim: ClaimHeld, Reports: []KeyHistory{observed}}, problem.Unknown},
		{"free and not under way anywhere", Facts{Claim: ClaimFree, Reports: []KeyHistory{justStarted, justStarted}}, problem.NotRun},
		{"free, but under way at a peer", Facts{Claim: ClaimFree, Reports: []KeyHistory{justStarted, {Open: true}}}, problem.Unknown},
		{"free, but sent by a peer", Facts{Claim: ClaimFree, Reports: []KeyHistory{justStarted, {Sent: true}}}, problem.Unknown},
		{"free, but a live peer is silent", Facts{Claim: ClaimFree, Reports: []KeyHistory{justStarted}, PeerSilent: true}, problem.Unknown},
		{"free, and a peer died", Facts{Claim: ClaimFree, Reports: []KeyHistory{{PeerLost: true}}}, problem.NotRun},
		{"store down, no process knows the key", Facts{Reports: []KeyHistory{observed, justStarted}}, problem.NotRun},
		{"store down, no process observed its peers long enough", Facts{Reports: []KeyHistory{justStarted, justStarted}}, problem.Unknown},
		{"store down, a peer died", Facts{Reports: []KeyHistory{observed, {PeersObserved: true, PeerLost: true}}}, problem.Unknown},
		{"store down, a history is incomplete", Facts{Reports: []KeyHistory{observed, {Incomplete: true}}}, problem.Unknown},
		{"store down, a peer is silent", Facts{Reports: []KeyHistory{observed}, PeerSilent: true}, problem.Unknown},
		{"store down, sent here", Facts{Reports: []KeyHistory{{PeersObserved: true, Sent: true}}}, problem.Unknown},
		{"store down, a listed VM is not a peer", Facts{Reports: []KeyHistory{observed}, PeerUnknown: true}, problem.Unknown},
		{"free, but a listed VM is not a peer", Facts{Claim: ClaimFree, Reports: []KeyHistory{observed}, PeerUnknown: true}, problem.Unknown},
		{"nothing known", Facts{}, problem.Unknown},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) { assert.Equal(t, Decide(tc.facts), tc.want) })
	}
}

const window = time.Minute

func TestLookupReportsOpenAndSentSubmissions(t *testing.T) {
	h := NewHistory(window)
	now := time.Now()
	key := KeyOf("granite", "k")
	own := h.Begin(key)
	assert.Equal(t, h.Lookup(key, own, now), KeyHistory{})
	other := h.Begin(key)
	assert.Equal(t, h.Lookup(key, own, now), KeyHistory{Open: true})
	other.End(false, now)
	assert.Equal(t, h.Lookup(key, own, now), KeyHistory{})
	own.End(true, now)
	assert.Equal(t, h.Lookup(key, nil, now.Add(window)), KeyHistory{Sent: true})
	assert.Equal(t, h.Lookup(key, nil, now.Add(window+1)), KeyHistory{})
	assert.Equal(t, len(h.open)+len(h.sent)+len(h.order), 0)
}

// A process that accepted more keys than it can hold must not report a key that
// it dropped as certainly not sent.
func TestFullHistoryIsReportedIncomplete(t *testing.T) {
	h := NewHistory(window)
	h.maxKeys = 2
	now := time.Now()
	for i := range 3 {
		h.Begin(KeyOf("granite", fmt.Sprint(i))).End(true, now)
	}
	assert.Equal(t, h.Lookup(KeyOf("granite", "0"), nil, now), KeyHistory{Incomplete: true})
	assert.Equal(t, h.Lookup(KeyOf("granite", "2"), nil, now), KeyHistory{Sent: true, Incomplete: true})
	assert.Equal(t, h.Lookup(KeyOf("granite", "0"), nil, now.Add(window+1)), KeyHistory{})
}

func TestPeerHistoryReportsLostPeersForOneWindow(t *testing.T) {
	now := time.Now()
	h := NewPeerHistory(window, now)
	a, b := peer.Member{Incarnation: "a", CallerAddress: "x"}, peer.Member{Incarnation: "b", CallerAddress: "y"}
	h.Update([]peer.Member{a, b}, now)
	assert.Equal(t, h.Annotate(KeyHistory{}, now), KeyHistory{})
	h.Update([]peer.Member{a}, now)
	assert.Equal(t, h.Annotate(KeyHistory{}, now), KeyHistory{PeerLost: true})
	h.Update([]peer.Member{a, b}, now)
	assert.Equal(t, h.Annotate(KeyHistory{}, now), KeyHistory{})
	h.Update([]peer.Member{a}, now)
	h.Update([]peer.Member{a}, now.Add(window+1))
	assert.Equal(t, h.Annotate(KeyHistory{}, now.Add(window+1)), KeyHistory{PeersObserved: true})
	entries := EntryProcesses([]peer.Member{{Incarnation: "s"}, a})
	assert.Equal(t, len(entries), 1)
}
