package bench

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/vanillagate/vanillagate/internal/load/experiment"
	"github.com/vanillagate/vanillagate/internal/load/report"
)

func scenarios() []*experiment.Scenario {
	return []*experiment.Scenario{
		{Name: "a", Seeds: []uint64{1, 2}, Quick: true},
		{Name: "b", Seeds: []uint64{5}},
	}
}

func TestStepsOrderAndSelection(t *testing.T) {
	got, err := Steps(scenarios(), Selection{Policies: []string{"present", "random"}})
	assert.NilError(t, err)
	assert.DeepEqual(t, got, []StepID{
		{"a", "present", 1},
		{"b", "present", 5},
		{"a", "random", 1},
		{"b", "random", 5},
		{"a", "present", 2},
		{"a", "random", 2},
	})
	got, err = Steps(scenarios(), Selection{Quick: true})
	assert.NilError(t, err)
	assert.Equal(t, len(got), len(Policies))
	got, err = Steps(scenarios(), Selection{Scenarios: []string{"b"}, Seeds: []uint64{8, 9}, Policies: []string{"random"}})
	assert.NilError(t, err)
	assert.DeepEqual(t, got, []StepID{{"b", "random", 8}, {"b", "random", 9}})
	_, err = Steps(scenarios(), Selection{Scenarios: []string{"c"}})
	assert.ErrorContains(t, err, `no scenario "c"`)
	_, err = Steps(scenarios(), Selection{Policies: []string{"best"}})
	assert.ErrorContains(t, err, `no policy "best"`)
}

func TestSpreadMedianAndRange(t *testing.T) {
	assert.Equal(t, NewSpread(nil), Spread{})
	assert.Equal(t, NewSpread([]float64{3, 1, 2}), Spread{Median: 2, Low: 1, High: 3})
	assert.Equal(t, NewSpread([]float64{4, 1, 2, 3}), Spread{Median: 2.5, Low: 1, High: 4})
}

func result(policy string, seed uint64, attainment, cost float64) Result {
	r := Result{Scenario: "a", Policy: policy, Seed: seed}
	r.Summary.Attainment, r.Summary.Cost = attainment, cost
	r.Timeline = []report.Point{{Second: 1, Requests: 4, InTime: 2}, {Second: 2, Requests: 4, InTime: 4}}
	return r
}

func TestMergeComparesRunsOfTheSameSeed(t *testing.T) {
	rows := Merge([]Result{
		result("random", 2, 0.4, 300), result("random", 1, 0.5, 100), result("random", 3, 0, 0),
		result("present", 1, 1.0, 200), result("present", 2, 0.8, 150), result("present", 3, 0.9, 100),
	})
	assert.Equal(t, len(rows), 2)
	assert.Equal(t, rows[0].Policy, "present")
	assert.Equal(t, rows[0].Attainment, Spread{Median: 0.9, Low: 0.8, High: 1})
	assert.Equal(t, rows[0].AttainmentRatio.Median, 1.0)
	assert.Equal(t, rows[1].AttainmentRatio, Spread{Median: 2, Low: 2, High: 2})
	assert.Equal(t, rows[1].CostRatio, Spread{Median: 1.25, Low: 0.5, High: 2})
	assert.Assert(t, strings.HasPrefix(rows[0].Line(),
		"policy=present scenario=a attainment=0.9000 p50_ms=0.0 p95_ms=0.0 cost=150 "), rows[0].Line())
}

func TestResultsRoundTripThroughFile(t *testing.T) {
	dir := t.TempDir()
	want := result("present", 1, 0.5, 7)
	assert.NilError(t, report.WriteJSON(filepath.Join(dir, "a.json"), want))
	got, err := ReadResults(dir)
	assert.NilError(t, err)
	assert.Equal(t, got[0].Summary.Attainment, 0.5)
	assert.DeepEqual(t, got[0].Timeline, want.Timeline)
	_, err = ReadResults(t.TempDir())
	assert.ErrorIs(t, err, os.ErrNotExist)
}

func TestPageShowsEveryRow(t *testing.T) {
	file := filepath.Join(t.TempDir(), "report.html")
	r := result("present", 1, 0.75, 1)
	r.About = "Fewer <halls> than asked for."
	assert.NilError(t, WritePage(file, Merge([]Result{r, result("random", 1, 0.25, 1)})))
	raw, err := os.ReadFile(file)
	assert.NilError(t, err)
	for _, want := range []string{"0.2500", "0.7500", "random", "<svg", "&lt;halls&gt;"} {
		assert.Assert(t, strings.Contains(string(raw), want), want)
	}
	assert.Assert(t, !strings.Contains(string(raw), "<halls>"))
}

func TestLayoutListsEveryEntryVM(t *testing.T) {
	s, err := experiment.ReadScenario("../../../experiments/steady-70.json")
	assert.NilError(t, err)
	dir := t.TempDir()
	assert.NilError(t, WriteLayout(dir, s, 3))
	fleet, err := ReadFleet(dir)
	assert.NilError(t, err)
	assert.Equal(t, len(fleet.Entries), s.Shape.Entries)
	lines, err := os.ReadFile(filepath.Join(dir, entriesFile))
	assert.NilError(t, err)
	assert.Equal(t, strings.Count(string(lines), "\n"), s.Shape.Entries)
	env, err := os.ReadFile(filepath.Join(dir, envFile))
	assert.NilError(t, err)
	assert.Assert(t, strings.Contains(string(env), `VANILLAGATE_TABLE_URL="http://`+fleet.Table))
}
