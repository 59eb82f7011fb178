package serve

import (
	"math"
	"strconv"
	"strings"
	"time"

	"github.com/vanillagate/vanillagate/internal/serve/engines"

	"github.com/rcrowley/go-metrics"

	"github.com/vanillagate/vanillagate/internal/serve/gather"
)

// gauges writes the state of this process to a metrics registry.
type gauges struct{ registry metrics.Registry }

func (g gauges) set(name string, value int64) {
	metrics.GetOrRegisterGauge(name, g.registry).Update(value)
}

// UpdateGauges sets all gauges to their current values. It visits every target, so it is
// called when metrics are read, not periodically. There is one set of per-service series for
// each service of the configuration.
func (s *Server) UpdateGauges(now time.Time) {
	g := gauges{registry: s.metrics}
	g.set("plan.version", int64(s.plans.Version()))
	g.set("targets.revision", int64(s.table.LastChangeRevision().Version()))
	g.set("store.era", int64(s.table.LastChangeRevision().Era()))
	g.set("members", int64(1+len(s.network.View().Members)))
	g.set("retry_budget.processes", int64(s.processCount()))
	g.set("streams.origins", int64(s.origins.Count()))
	if s.ledger != nil {
		g.set("streams.origins_waiting", int64(s.ledger.Waiting()))
	}
	if s.prefixes != nil {
		g.set("prompt_copies.keys", int64(s.prefixes.Count()))
	}
	if s.crashes != nil {
		g.set("crashes.convictions", int64(len(s.crashes.Convictions())))
	}
	g.set("requests.in_flight", s.inFlight.Load())
	g.set("targets.connections_opened", s.client.Dialed())
	g.set("plan.rejected", s.follower.RejectedPlans())
	g.set("plan.unusable_parts", s.follower.UnusableParts())
	g.set("store.contact_age_ms", s.follower.ContactAge(now).Milliseconds())
	configuration, targets := s.follower.FailingFor()
	g.set("store.configuration_silent_ms", configuration.Milliseconds())
	g.set("store.targets_silent_ms", targets.Milliseconds())
	stages := s.stages.Gatherer().Stats()
	g.set("stages.calls", int64(stages.Calls))
	g.set("stages.items", int64(stages.Items))
	g.set("stages.items_failed", int64(stages.Failed))
	g.set("stages.items_late", int64(stages.Late))
	g.set("stages.items_repeated", int64(stages.Retried))
	g.set("stages.results_in_vain", int64(stages.Discarded))
	held, places := s.stages.Gatherer().Places(now)
	g.set("stages.places", int64(held))
	g.set("stages.places_granted", int64(places.Granted))
	g.set("stages.places_claimed", int64(places.Claimed))
	g.set("stages.places_lapsed", int64(places.Lapsed))
	g.set("stages.places_released", int64(places.Released))
	g.set("stages.places_no_room", int64(places.NoRoom))
	g.set("stages.places_refused_again", int64(places.RefusedAgain))
	s.updateZoneGauges(g)
	g.setTeams(s.stages.Gatherer().TeamShares(now))
	if s.engines != nil {
		g.set("engines.claims_refused_by_pace", s.engines.ClaimsRefusedByPace())
	}
	p := s.plans.Current()
	if p == nil {
		return
	}
	for i := range p.Services {
		s.updateServiceGauges(g, p.Services[i].Name, now)
		if s.engines != nil && p.Services[i].Engine != nil {
			s.updatePaceGauges(g, p.Services[i].Name)
			s.updateRejectionGauge(g, p.Services[i].Name, now)
		}
	}
}

// updateRejectionGauge reports how many engines of a service are known to reject half or more of their requests.
func (s *Server) updateRejectionGauge(g gauges, service string, now time.Time) {
	n := int64(0)
	for _, target := range s.table.ReadySet(service).Targets {
		if s.engines.Rejecting(target, now) >= engines.MostlyRejecting {
			n++
		}
	}
	g.set(`vanillagate_service_engines_rejecting{service="`+service+`"}`, n)
}

// updatePaceGauges reports how many engines of a service are fast, nominal and slow by their announced
// usual paces.
func (s *Server) updatePaceGauges(g gauges, service string) {
	counts := map[string]int64{"fast": 0, "nominal": 0, "slow": 0}
	for _, target := range s.table.ReadySet(service).Targets {
		switch pace := s.engines.UsualPace(target); {
		case pace < 1:
			counts["fast"]++
		case pace > 1:
			counts["slow"]++
		default:
			counts["nominal"]++
		}
	}
	for pace, n := range counts {
		g.set(`vanillagate_service_engines{service="`+service+`",pace="`+pace+`"}`, n)
	}
}

// updateZoneGauges reports which zones are evacuated and how many calls are still running in
// each zone.
func (s *Server) updateZoneGauges(g gauges) {
	list, newest, _ := s.table.Evacuations()
	g.set("evacuations.revision", int64(newest.Version()))
	g.set("evacuations.zones", int64(len(list)))
	evacuated := map[string]uint64{}
	for _, e := range list {
		evacuated[e.Zone] = e.Revision.Version()
	}
	calls := s.table.CallsByZone()
	for _, zone := range s.table.Zones() {
		label := `{zone="` + zone + `"}`
		g.set("vanillagate_zone_evacuated_revision"+label, int64(evacuated[zone]))
		g.set("vanillagate_zone_calls"+label, int64(calls[zone]))
	}
}

const teamAdmittedPercent = "vanillagate_team_admitted_percent"

// setTeams reports what this process's shards refused because of teams' shares, and how much of the
// recent requests of each team they admitted. A team that asks for nothing has no percentage.
func (g gauges) setTeams(shares []gather.TeamShare) {
	requested, admitted := map[string]float64{}, map[string]float64{}
	for _, t := range shares {
		for cause, n := range t.Refused {
			label := `{cause="` + string(cause) + `",rank="` + strconv.Itoa(t.Rank) + `",team=` + strconv.Quote(t.Team) + `}`
			g.set("vanillagate_team_refused_for_share"+label, int64(n))
		}
		if t.Requested > 0 {
			name := teamAdmittedPercent + `{team=` + strconv.Quote(t.Team) + `}`
			requested[name] += t.Requested
			admitted[name] += t.Admitted
		}
	}
	g.registry.Each(func(name string, _ any) {
		if strings.HasPrefix(name, teamAdmittedPercent) && requested[name] == 0 {
			g.registry.Unregister(name)
		}
	})
	for name, items := range requested {
		g.set(name, int64(math.Round(100*admitted[name]/items)))
	}
}

func (s *Server) updateServiceGauges(g gauges, service string, now time.Time) {
	label := `{service="` + service + `"}`
	count := s.table.Count(service, now)
	g.set("vanillagate_service_targets"+label, int64(count.Usable))
	g.set("vanillagate_service_targets_out"+label, int64(count.Out))
	g.set("vanillagate_service_targets_cold"+label, int64(count.Cold))
	g.set("vanillagate_service_targets_rate_limited"+label, int64(count.RateLimited))
	g.set("vanillagate_service_targets_leaving"+label, int64(count.Leaving))
	g.set("vanillagate_service_targets_resting"+label, int64(count.Resting))
	g.set("vanillagate_service_targets_rejecting"+label, int64(count.Rejecting))
	g.set("vanillagate_service_targets_displaced"+label, int64(count.Displaced))
	g.set("vanillagate_service_calls"+label, int64(count.Calls))
	g.set("vanillagate_service_retries_spent"+label, int64(s.budget.RetriesSpent(service, now)))
	g.set("vanillagate_service_repeats_left"+label, int64(s.budget.RetriesLeft(service, now)))
}
