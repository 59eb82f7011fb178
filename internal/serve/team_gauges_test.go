package serve

import (
	"testing"

	"github.com/rcrowley/go-metrics"
	"gotest.tools/v3/assert"

	"github.com/vanillagate/vanillagate/internal/serve/gather"
)

// Guards against a percentage that stays on the metrics after its team has stopped asking, and
// against one that covers only one of a team's ranks.
func TestTeamGauges(t *testing.T) {
	registry := metrics.NewRegistry()
	g := gauges{registry: registry}
	g.setTeams([]gather.TeamShare{
		{Team: "a", Rank: 0, Requested: 4, Admitted: 4},
		{Team: "a", Rank: 1, Requested: 4, Admitted: 1, Refused: map[gather.ShareCause]int{gather.TeamAboveShare: 3}},
	})
	value := func(name string) int64 { return registry.Get(name).(metrics.Gauge).Value() }
	assert.Equal(t, value(`vanillagate_team_admitted_percent{team="a"}`), int64(63))
	assert.Equal(t, value(`vanillagate_team_refused_for_share{cause="team",rank="1",team="a"}`), int64(3))
	g.setTeams([]gather.TeamShare{{Team: "a", Rank: 1}})
	assert.Assert(t, registry.Get(`vanillagate_team_admitted_percent{team="a"}`) == nil)
}
