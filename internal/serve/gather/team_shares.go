package gather

import (
	"cmp"
	"slices"
	"time"
)

// TeamShare is what one team asked of the shards of this process in one rank, and what it got.
type TeamShare struct {
	Team string
	Rank int
	// Requested and Admitted are items, weighted by exp(-age/2s). Both are 0 for a team that hasn't
	// asked lately.
	Requested, Admitted float64
	// Refused counts the requests that were refused because of a share, by cause.
	Refused map[ShareCause]int
}

const (
	// maxTeamSeries bounds the teams with metrics of their own; further ones are summed.
	maxTeamSeries = 64
	// OtherTeams stands for the teams without metrics of their own.
	OtherTeams = "(other)"
)

// TeamShares returns the shares of all teams that have asked since the start, by team and rank. The
// first maxTeamSeries teams are listed by name, so that the metrics of a listed team never move to
// OtherTeams.
func (g *Gatherer) TeamShares(now time.Time) []TeamShare {
	g.mu.Lock()
	defer g.mu.Unlock()
	type teamRank struct {
		team string
		rank int
	}
	sums := map[teamRank]*TeamShare{}
	of := func(team string, rank int) *TeamShare {
		if !g.teamSeries[team] && len(g.teamSeries) >= maxTeamSeries {
			team = OtherTeams
		} else {
			g.teamSeries[team] = true
		}
		id := teamRank{team, rank}
		if sums[id] == nil {
			sums[id] = &TeamShare{Team: team, Rank: rank, Refused: map[ShareCause]int{}}
		}
		return sums[id]
	}
	for _, s := range g.shards {
		for rank, r := range s.reservations.shares.ranks {
			r.advance(now)
			for i := range r.teams {
				sum := of(r.teams[i].name, rank)
				sum.Requested += r.teams[i].requested
				sum.Admitted += r.teams[i].admitted
			}
		}
		for id, n := range s.reservations.shares.refused {
			of(id.team, id.rank).Refused[id.cause] += n
		}
	}
	list := make([]TeamShare, 0, len(sums))
	for _, sum := range sums {
		list = append(list, *sum)
	}
	slices.SortFunc(list, func(a, b TeamShare) int { return cmp.Or(cmp.Compare(a.Team, b.Team), cmp.Compare(a.Rank, b.Rank)) })
	return list
}
