package status

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/vanillagate/vanillagate/internal/backing"
	"github.com/vanillagate/vanillagate/internal/config"
)

func TestMerge(t *testing.T) {
	noon := time.Date(2026, 1, 1, 12, 0, 0, 0, time.UTC)
	reports := []Report{
		{
			Incarnation: "i1", CallerAddress: "10.0.0.1:80", Zone: "a", Revision: 7, InFlight: 3,
			Targets: []TargetReport{
				{Address: "t1", Pool: "llm", InFlight: 2, Leaving: true},
				{Address: "t2", Pool: "llm", OutOfUse: "slow"},
			},
			AtLimit:  []string{"granite"},
			Stores:   []Store{{Name: StoreTable, LastError: "refused", Since: noon}},
			Suspects: []Suspect{{Fingerprint: "f", Verdict: "suspect", Crashes: 1}},
		},
		{
			Incarnation: "i2", CallerAddress: "10.0.0.2:80", Zone: "b", Revision: 6, Leaving: true,
			Targets: []TargetReport{
				{Address: "t1", Pool: "llm"},
				{Address: "t2", Pool: "llm", OutOfUse: "slow"},
			},
			AtLimit:  []string{"granite"},
			Stores:   []Store{{Name: StoreTable, Up: true}},
			Suspects: []Suspect{{Fingerprint: "f", Verdict: "convicted", Crashes: 2}},
		},
	}
	got := Merge(Sources{
		Reports: reports,
		Listed:  []backing.VM{{Address: "10.0.0.3:80", Role: backing.RoleEntry, Zone: "c"}, {Address: "10.0.0.1:80", Role: backing.RoleEntry}},
		Stops: []config.Stop{
			{ID: "s1", Subject: config.StopTarget, Address: "t1"},
			{ID: "s2", Subject: config.StopVM, Address: "10.0.0.2:80"},
			{ID: "s3", Subject: config.StopTarget, Address: "t9"},
		},
	})
	assert.Equal(t, got.Revision, config.Revision(7))
	assert.Equal(t, len(got.VMs), 3)
	assert.Assert(t, got.VMs[2].Silent() && !got.VMs[0].Silent())
	assert.Assert(t, got.Stops[0].Applied == 1 && got.Stops[0].Reports == 2 && got.Stops[0].InFlight == 2)
	assert.Assert(t, !got.Stops[0].SafeToStop() && got.Stops[1].SafeToStop() && got.Stops[2].SafeToStop())
	assert.DeepEqual(t, got.OutOfUse, []Target{{Address: "t2", Pool: "llm", Reason: "slow", VMs: 2}})
	assert.DeepEqual(t, got.AtLimit, []AtLimit{{Customer: "granite", VMs: 2}})
	assert.DeepEqual(t, got.Stores[0], StoreHealth{Name: StoreTable, Up: 1, Down: 1, LastError: "refused", Since: noon})
	assert.Equal(t, got.Suspects[0].Crashes, 2)
}
