package experiment

import (
	"math"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/vanillagate/vanillagate/internal/load/caller"
	"github.com/vanillagate/vanillagate/internal/load/runner"
	"github.com/vanillagate/vanillagate/internal/load/shape"
)

const experimentsDir = "../../../experiments"

func readScenario(t *testing.T, name string) *Scenario {
	t.Helper()
	s, err := ReadScenario(filepath.Join(experimentsDir, name+".json"))
	assert.NilError(t, err)
	return s
}

func TestCheckedInScenarios(t *testing.T) {
	all, err := ReadDir(experimentsDir)
	assert.NilError(t, err)
	var names, quick []string
	for _, s := range all {
		names = append(names, s.Name)
		if s.Quick {
			quick = append(quick, s.Name)
		}
	}
	for _, needed := range []string{
		"steady-70", "overload-110", "straggler", "pool-half-dead", "zone-cut", "team-burst",
		"store-down", "entry-killed", "crash-request", "rolling-stop",
	} {
		assert.Assert(t, slices.Contains(names, needed), needed)
	}
	assert.Assert(t, len(quick) >= 2)
}

func TestPlanIsDeterministicPerSeed(t *testing.T) {
	s := readScenario(t, "steady-70")
	first := s.Plan(5*time.Second, 1, "x")
	assert.DeepEqual(t, first, s.Plan(5*time.Second, 1, "x"))
	assert.Assert(t, len(first) != len(s.Plan(5*time.Second, 2, "x")))
	assert.Assert(t, slices.IsSortedFunc(first, func(a, b runner.PlannedCall) int { return int(a.At - b.At) }))
}

func TestPlanMatchesLoadAndMix(t *testing.T) {
	s := readScenario(t, "steady-70")
	const seconds = 60
	plan := s.Plan(seconds*time.Second, 1, "x")
	want := s.Load * s.Shape.CapacityPerSecond * seconds
	assert.Assert(t, math.Abs(float64(len(plan))-want) < 5*math.Sqrt(want), "%d, want about %v", len(plan), want)

	keys := map[string]bool{}
	kinds := map[caller.Kind]int{}
	confirms := 0
	for _, p := range plan {
		c := p.Call
		keys[c.IdempotencyKey] = true
		kinds[c.Kind]++
		if c.NonIdempotent {
			confirms++
			assert.Equal(t, c.Method, "POST")
		}
		assert.Assert(t, c.MaxTokens >= s.Shape.Mix.MinTokens && c.MaxTokens <= s.Shape.Mix.MaxTokens)
		assert.Assert(t, c.Timeout > 0 && c.BearerKey != "" && c.Customer != "")
	}
	assert.Equal(t, len(keys), len(plan))
	shareOf := func(count int) float64 { return float64(count) / float64(len(plan)) }
	assert.Assert(t, math.Abs(shareOf(kinds[caller.KindPipeline])-0.5) < 0.04)
	assert.Assert(t, math.Abs(shareOf(kinds[caller.KindStream])-0.3) < 0.04)
	assert.Assert(t, math.Abs(shareOf(confirms)-0.08) < 0.03)
}

func TestBurstAffectsOneCustomer(t *testing.T) {
	s := readScenario(t, "team-burst")
	b := s.Bursts[0]
	const length = 60 * time.Second
	fromCustomer, fromOthers := map[bool]int{}, map[bool]int{}
	for _, p := range s.Plan(length, 1, "x") {
		during := p.At >= fractionOf(length, b.At) && p.At < fractionOf(length, b.Until)
		if p.Call.Customer == b.Customer {
			fromCustomer[during]++
		} else {
			fromOthers[during]++
		}
	}
	share := b.Until - b.At
	burstFactor := (float64(fromCustomer[true]) / share) / (float64(fromCustomer[false]) / (1 - share))
	otherFactor := (float64(fromOthers[true]) / share) / (float64(fromOthers[false]) / (1 - share))
	assert.Assert(t, math.Abs(burstFactor-b.Factor) < 0.15*b.Factor, burstFactor)
	assert.Assert(t, math.Abs(otherFactor-1) < 0.15, otherFactor)
}

// A caller that treats a crash as a transient failure resends the same content
// under a new idempotency key each time.
func TestCrashingRequestsAreResent(t *testing.T) {
	s := readScenario(t, "crash-request")
	keys, inputs := map[string]bool{}, map[string]int{}
	for _, p := range s.Plan(20*time.Second, 1, "x") {
		if p.Call.Poison {
			keys[p.Call.IdempotencyKey] = true
			inputs[p.Call.Ref+p.Call.Input]++
		}
	}
	assert.Equal(t, len(inputs), s.CrashingRequests.Count)
	assert.Equal(t, len(keys), s.CrashingRequests.Count*(1+s.CrashingRequests.Resends))
}

func TestArrivalPatternsKeepTheMeanRate(t *testing.T) {
	const length = 100 * time.Second
	for _, a := range []Arrivals{
		{},
		{Kind: ArrivalDaily, Swing: 0.8, Days: 2},
		{Kind: ArrivalBursts, Factor: 3, Count: 4, Length: 0.2},
	} {
		assert.NilError(t, a.check())
		p := a.pattern(10, length)
		sum, steps := 0.0, 0
		for at := time.Duration(0); at < length; at += 10 * time.Millisecond {
			sum += p.Rate(at)
			steps++
		}
		assert.Assert(t, math.Abs(sum/float64(steps)-10) < 0.1, "%+v: %v", a, sum/float64(steps))
	}
}

func TestInvalidScenariosAreRejected(t *testing.T) {
	cases := []struct{ text, want string }{
		{`{"name":"a b","shape":"shapes/wierzbicki.json"}`, `name "a b" must be one word`},
		{`{"name":"a","shape":"shapes/wierzbicki.json","load":1,"duration_ms":1,"seeds":[1],"faults":[{"at":0.5}]}`, "one of targets, platform and entry"},
		{`{"name":"a","shape":"shapes/wierzbicki.json","load":1,"duration_ms":1,"seeds":[1],"faults":[{"at":0.5,"targets":{"pool":"x"}}]}`, `no pool "x"`},
		{`{"name":"a","shape":"shapes/wierzbicki.json","load":1,"duration_ms":1,"seeds":[1],"faults":[{"at":0.5,"entry":{"action":"x"}}]}`, `unknown action "x"`},
		{`{"name":"a","shape":"shapes/wierzbicki.json","load":1,"duration_ms":1,"seeds":[1],"bursts":[{"customer":"x"}]}`, `no customer "x"`},
		{`{"name":"a","lod":1}`, "unknown field"},
	}
	for _, c := range cases {
		dir := t.TempDir()
		raw, err := os.ReadFile(filepath.Join(experimentsDir, "shapes", "wierzbicki.json"))
		assert.NilError(t, err)
		assert.NilError(t, os.Mkdir(filepath.Join(dir, "shapes"), 0o755))
		assert.NilError(t, os.WriteFile(filepath.Join(dir, "shapes", "wierzbicki.json"), raw, 0o644))
		file := filepath.Join(dir, "a.json")
		assert.NilError(t, os.WriteFile(file, []byte(c.text), 0o644))
		_, err = ReadScenario(file)
		assert.ErrorContains(t, err, c.want)
	}
}

// Guards against a quick run that sends no request because its scenario has no quick variant.
func TestScenarioWithoutQuickVariantIsRunInFull(t *testing.T) {
	s := Scenario{DurationMS: 8000}
	assert.Equal(t, s.Duration(true), 8*time.Second)
	s.QuickDurationMS = 2500
	assert.Equal(t, s.Duration(true), 2500*time.Millisecond)
}

// Guards against customers that share cached prompts only because their names are equally long.
func TestCustomersHavePrefixesOfTheirOwn(t *testing.T) {
	mix := shape.Mix{InputWords: 100, Prefixes: 1}
	words := func(customer string) string {
		text := generateInput(mix, rand.New(rand.NewPCG(1, 1)), customer, "r")
		return strings.TrimPrefix(text, customer)
	}
	assert.Assert(t, words("granite") != words("quartzy"))
	assert.Equal(t, words("granite"), words("granite"))
}
