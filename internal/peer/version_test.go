package peer

import (
	"encoding/json"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/vanillagate/vanillagate/internal/member"
)

// A process of a later version sends a member state that is unknown to this version, over
// all its links. If that ended the processes that receive it, a rollout would end the
// whole system at once, with all requests.
func TestUnknownMemberStateIsTolerated(t *testing.T) {
	n, err := New(Options{Self: Member{Zone: "a", Region: "r"}, Keys: []string{testKey}})
	assert.NilError(t, err)
	n.detector = newFreezeDetector(instantOf(time.Now()), time.Minute)
	var m message
	assert.NilError(t, json.Unmarshal([]byte(`{"e":[
		{"i":"other","s":1,"p":"10.0.0.1:1","z":"a","r":"r","t":7},
		{"i":"usual","s":1,"p":"10.0.0.2:1","z":"a","r":"r"}]}`), &m))
	l := &link{node: n, events: map[string]member.Record{}}
	n.receive(l, m)
	assert.Equal(t, len(n.Members()), 1)
	assert.Equal(t, n.Members()[0].Incarnation, Incarnation("usual"))
}
