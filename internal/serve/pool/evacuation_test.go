package pool

import (
	"maps"
	"math/rand/v2"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"
)

// inZones makes a table with one target in each of some zones.
func inZones(zones ...string) *Table {
	table := New(zap.NewNop())
	var entries []Entry
	for i, zone := range zones {
		e := entry(zone, uint64(i+1))
		e.Zone = zone
		entries = append(entries, e)
	}
	table.Reset(entries, 10, start)
	return table
}

func evacuate(zone string, revision uint64) EvacuationChange {
	return EvacuationChange{Evacuation: Evacuation{Zone: zone, Revision: revision}}
}

func takeBack(zone string, revision uint64) EvacuationChange {
	return EvacuationChange{Evacuation: Evacuation{Zone: zone, Revision: revision}, Withdrawn: true}
}

// An evacuated zone's targets get requests, or stage calls by way of their shards.
func TestTargetsOfAnEvacuatedZoneAreInNoView(t *testing.T) {
	table := inZones("a", "b")
	before := table.Generation()
	table.ApplyEvacuations([]EvacuationChange{evacuate("a", 11)}, 11, start)
	assert.DeepEqual(t, usable(table, start), map[string]bool{"b": true})
	assert.Equal(t, len(table.ReadySet("s").Targets), 1)
	assert.Assert(t, table.Generation() > before)
	table.ApplyEvacuations([]EvacuationChange{takeBack("a", 12)}, 12, start)
	assert.DeepEqual(t, usable(table, start), map[string]bool{"a": true, "b": true})
}

// A target that starts in an evacuated zone gets requests.
func TestANewTargetInAnEvacuatedZoneGetsNothing(t *testing.T) {
	table := inZones("a", "b")
	table.ApplyEvacuations([]EvacuationChange{evacuate("c", 11)}, 11, start)
	e := entry("c", 12)
	e.Zone = "c"
	table.Apply([]Change{{Entry: e}}, 12, start)
	assert.DeepEqual(t, usable(table, start), map[string]bool{"a": true, "b": true})
}

// A peer that is behind undoes a withdrawal, or an evacuation.
func TestAPeerThatIsBehindChangesNoEvacuation(t *testing.T) {
	table := inZones("a", "b")
	table.ApplyEvacuations([]EvacuationChange{evacuate("a", 11), takeBack("a", 15)}, 20, start)
	assert.Assert(t, !table.ResetEvacuationsFromPeer([]Evacuation{{Zone: "a", Revision: 11}}, 11, 14, start))
	assert.Assert(t, usable(table, start)["a"])
	assert.Assert(t, table.ResetEvacuationsFromPeer([]Evacuation{{Zone: "a", Revision: 22}}, 22, 22, start))
	table.ResetEvacuations(nil, 19, start)
	assert.Assert(t, !usable(table, start)["a"])
}

// A target that takes no connection while its entry is away is given up too early.
func TestALapsedTargetThatIsLeftAloneMayReturn(t *testing.T) {
	table := tableOf("a")
	target := table.ByAddress("s", "10.0.0.1:a")
	table.ListRecovered(start)
	table.Reset(nil, 11, start)
	table.Begin(target, 0, start).End(Unreachable, start)
	table.Sweep(start)
	table.Apply([]Change{{Entry: entry("a", 12)}}, 12, start)
	assert.Equal(t, table.ByAddress("s", "10.0.0.1:a"), target)
}

// Two processes that hear of the same orders in any mixture of changes, whole reads and
// each other's word end with different zones evacuated.
func FuzzEvacuationsFollowTheStore(f *testing.F) {
	for seed := range uint64(20) {
		f.Add(seed)
	}
	zones := []string{"a", "b", "c"}
	f.Fuzz(func(t *testing.T, seed uint64) {
		draw := rand.New(rand.NewPCG(seed, 1))
		var log []EvacuationChange
		model := func(upTo uint64) map[string]Evacuation {
			state := map[string]Evacuation{}
			for _, c := range log {
				if c.Revision > upTo {
					continue
				}
				if c.Withdrawn {
					delete(state, c.Zone)
					continue
				}
				state[c.Zone] = c.Evacuation
			}
			return state
		}
		tables := []*Table{inZones(zones...), inZones(zones...)}
		revision := uint64(1)
		for range 60 {
			table := tables[draw.IntN(2)]
			_, _, upTo := table.Evacuations()
			switch draw.IntN(5) {
			case 0, 1:
				revision++
				log = append(log, EvacuationChange{
					Evacuation: Evacuation{Zone: zones[draw.IntN(3)], Revision: revision}, Withdrawn: draw.IntN(2) == 0,
				})
			case 2:
				var changes []EvacuationChange
				from := upTo - min(upTo, uint64(draw.IntN(3)))
				for _, c := range log {
					if c.Revision > from {
						changes = append(changes, c)
					}
				}
				table.ApplyEvacuations(changes, revision, start)
			case 3:
				asOf := revision - min(revision, uint64(draw.IntN(4)))
				var list []Evacuation
				for _, e := range model(asOf) {
					list = append(list, e)
				}
				table.ResetEvacuations(list, asOf, start)
			case 4:
				list, newest, upTo := tables[draw.IntN(2)].Evacuations()
				table.ResetEvacuationsFromPeer(list, newest, upTo, start)
			}
			for i, one := range tables {
				list, _, known := one.Evacuations()
				assert.Assert(t, maps.Equal(byZone(list), model(known)), "table %d as of %d", i, known)
				for _, zone := range zones {
					_, evacuated := model(known)[zone]
					assert.Equal(t, usable(one, start.Add(time.Second))[zone], !evacuated)
				}
			}
		}
	})
}
