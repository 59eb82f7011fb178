package pool

import (
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/vanillagate/vanillagate/internal/serve/revision"
)

func versionEntry(id, version string, at revision.Revision) Entry {
	e := entry(id, at)
	e.Version = version
	return e
}

// Guards against streams that a target began with its earlier version and that go on there.
func TestTargetWithAnotherVersionIsAnotherRun(t *testing.T) {
	table := tableOf()
	table.Apply([]Change{{Entry: versionEntry("a", "v1", 11)}}, 11, start)
	before := table.Views("s", start)[0].Target
	var left []*Target
	table.OnLeave(func(target *Target) { left = append(left, target) })
	table.Apply([]Change{{Entry: versionEntry("a", "v2", 12)}}, 12, start)
	after := table.Views("s", start)
	assert.Equal(t, len(after), 1)
	assert.Equal(t, after[0].Version, "v2")
	assert.Equal(t, before.Version, "v1")
	assert.DeepEqual(t, len(left), 1)
	assert.Assert(t, before.GoneOrDraining())
}

func TestOnlyVersion(t *testing.T) {
	table := tableOf()
	only := func(now time.Time) string {
		version, only := table.OnlyVersion("s", now)
		if !only {
			return "none"
		}
		return version
	}
	assert.Equal(t, only(start), "none")
	table.Apply([]Change{{Entry: versionEntry("a", "v1", 11)}, {Entry: versionEntry("b", "v1", 12)}}, 12, start)
	assert.Equal(t, only(start), "v1")
	table.Apply([]Change{{Entry: versionEntry("c", "", 13)}}, 13, start)
	assert.Equal(t, only(start), "none")
	table.Apply([]Change{{Entry: Entry{ID: "c", Revision: 14}, Removed: true}}, 14, start)
	assert.Equal(t, only(start.Add(versionMemory)), "none")
	assert.Equal(t, only(start.Add(versionMemory+time.Second)), "v1")
	later := start.Add(2 * versionMemory)
	draining := versionEntry("d", "v2", 15)
	draining.State = Draining
	table.Apply([]Change{{Entry: draining}}, 15, later)
	assert.Equal(t, only(later), "none")
}

func TestLeftVersionsAreKnownSomeTimeAfterALateStart(t *testing.T) {
	first := tableOf("a")
	assert.Assert(t, first.KnowsLeftVersions(start))
	late := New(zap.NewNop())
	late.StartedLate()
	assert.Assert(t, !late.KnowsLeftVersions(start))
	late.Reset([]Entry{entry("a", 1)}, 1, start)
	late.Reset([]Entry{entry("a", 2)}, 2, start.Add(time.Minute))
	assert.Assert(t, !late.KnowsLeftVersions(start.Add(versionMemory)))
	assert.Assert(t, late.KnowsLeftVersions(start.Add(versionMemory+time.Second)))
}

// Guards against a version that is forgotten because a process of an earlier release passes an entry on.
func TestEntryWithoutVersionKeepsTheKnownOne(t *testing.T) {
	table := tableOf()
	table.Apply([]Change{{Entry: versionEntry("a", "v1", 11)}}, 11, start)
	draining := versionEntry("a", "", 12)
	draining.State = Draining
	table.Apply([]Change{{Entry: draining}}, 12, start)
	assert.Equal(t, len(usableIDs(table, start)), 0)
	list, _ := table.Entries(start)
	assert.Equal(t, list[0].Version, "v1")
	other := versionEntry("a", "", 13)
	other.Address = "10.0.0.2:1"
	table.Apply([]Change{{Entry: other}}, 13, start)
	list, _ = table.Entries(start)
	assert.Equal(t, list[0].Version, "")
}

func TestListedVersions(t *testing.T) {
	table := tableOf()
	table.Apply([]Change{{Entry: versionEntry("a", "v1", 11)}, {Entry: versionEntry("b", "v2", 12)}, {Entry: versionEntry("c", "v1", 13)}}, 13, start)
	assert.DeepEqual(t, table.ListedVersions()["s"], []string{"v1", "v2"})
	table.Apply([]Change{{Entry: Entry{ID: "b", Revision: 14}, Removed: true}}, 14, start)
	assert.DeepEqual(t, table.ListedVersions()["s"], []string{"v1"})
}

// Guards against a version that is taken for the only one although others know of one that left.
func TestVersionRecordedAsLeftIsNotForgottenAtOnce(t *testing.T) {
	table := tableOf()
	table.Apply([]Change{{Entry: versionEntry("a", "v2", 11)}}, 11, start)
	table.RecordLeft("s", "v1", start)
	_, only := table.OnlyVersion("s", start.Add(versionMemory))
	assert.Assert(t, !only)
	version, only := table.OnlyVersion("s", start.Add(versionMemory+time.Second))
	assert.Assert(t, only)
	assert.Equal(t, version, "v2")
}
