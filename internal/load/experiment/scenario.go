package experiment

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/vanillagate/vanillagate/internal/load/arrival"
	"github.com/vanillagate/vanillagate/internal/load/caller"
	"github.com/vanillagate/vanillagate/internal/load/runner"
	"github.com/vanillagate/vanillagate/internal/load/shape"
)

// Scenario is one experiment: a deployment under a load, with faults at given
// times. Times within a scenario are shares of its duration, 0 to 1, so that
// the quick form goes through the same events.
type Scenario struct {
	Name  string `json:"name"`
	About string `json:"about"`
	// ShapeFile is the deployment, relative to the scenario's file.
	ShapeFile string       `json:"shape"`
	Shape     *shape.Shape `json:"-"`
	// Quick says that the scenario belongs to the quick bench.
	Quick           bool     `json:"quick"`
	DurationMS      int      `json:"duration_ms"`
	QuickDurationMS int      `json:"quick_duration_ms"`
	Seeds           []uint64 `json:"seeds"`
	// Load is the arrivals as a share of the shape's capacity.
	Load     float64  `json:"load"`
	Arrivals Arrivals `json:"arrivals"`
	// Bursts are customers that ask for much more for a while.
	Bursts []Burst `json:"bursts"`
	// WithoutLimits leaves the limits out of the contracts, so that only shares
	// and priorities stand between the customers.
	WithoutLimits bool `json:"without_limits"`
	// Balance replaces that of all contracts; nil keeps them.
	Balance *float64 `json:"balance"`
	// CrashingRequests is a customer whose requests crash the targets that run them.
	CrashingRequests *CrashingRequests `json:"crashing"`
	// TimeoutMS replaces the shape's timeout of pipeline calls; zero keeps it.
	TimeoutMS int `json:"timeout_ms"`
	// FirstTryShare is the part of its time after which a caller leaves an entry
	// VM that sends nothing for another one; zero means never.
	FirstTryShare float64 `json:"first_try_share"`
	Faults        []Fault `json:"faults"`
}

// ArrivalKind names a pattern.
type ArrivalKind string

// The patterns. The empty one is steady.
const (
	ArrivalSteady ArrivalKind = "steady"
	ArrivalDaily  ArrivalKind = "daily"
	ArrivalBursts ArrivalKind = "bursts"
)

// Arrivals is the pattern of every customer without a burst of its own.
type Arrivals struct {
	Kind ArrivalKind `json:"kind"`
	// Swing is how far a day swings around its mean, 0 to 1.
	Swing float64 `json:"swing"`
	// Days is how many days the duration holds; zero means 1.
	Days float64 `json:"days"`
	// Factor is a burst's rate against the mean rate; Count how many bursts
	// there are, each for Length of the time between two.
	Factor float64 `json:"factor"`
	Count  int     `json:"count"`
	Length float64 `json:"length"`
}

// Burst multiplies the arrivals of one customer for a while.
type Burst struct {
	Customer string  `json:"customer"`
	Factor   float64 `json:"factor"`
	At       float64 `json:"at"`
	Until    float64 `json:"until"`
}

// CrashingRequests describes requests that crash the targets that run them. They can't
// be answered, so they are left out of the attainment.
type CrashingRequests struct {
	Customer string `json:"customer"`
	// Marker is the text on which the stand-ins crash.
	Marker string `json:"marker"`
	// Count is how many such requests there are, from At on.
	Count int     `json:"count"`
	At    float64 `json:"at"`
	// Resends is how often each is sent again under a new idempotency key,
	// EveryMS apart.
	Resends int `json:"resends"`
	EveryMS int `json:"every_ms"`
}

// Fault is something that goes wrong from At on. One of Targets, Platform and
// Entry is set.
type Fault struct {
	At float64 `json:"at"`
	// Until is when it is mended; zero means at the end.
	Until float64 `json:"until"`
	// EveryMS repeats it; zero means once.
	EveryMS  int            `json:"every_ms"`
	Targets  *TargetFault   `json:"targets"`
	Platform *PlatformFault `json:"platform"`
	Entry    *EntryFault    `json:"entry"`
}

// TargetFault concerns targets of a pool, or of all pools where none is named.
type TargetFault struct {
	Pool string `json:"pool"`
	// Zone picks the targets of one availability zone.
	Zone string `json:"zone"`
	// Count picks the first so many; zero means all.
	Count int             `json:"count"`
	Fault json.RawMessage `json:"fault"`
}

// PlatformFault concerns "table", "objects" or "vm_list".
type PlatformFault struct {
	Scope string          `json:"scope"`
	Fault json.RawMessage `json:"fault"`
}

// EntryAction is what happens to an entry VM.
type EntryAction string

// The actions.
const (
	// EntryKill ends the process at once (SIGKILL).
	EntryKill EntryAction = "kill"
	// EntryStop asks for a graceful shutdown (SIGTERM).
	EntryStop EntryAction = "stop"
	// EntryPause stands the process still until the fault's Until (SIGSTOP,
	// SIGCONT).
	EntryPause EntryAction = "pause"
)

// EntryFault concerns one entry VM. The script that started it replaces one
// that ended.
type EntryFault struct {
	Action EntryAction `json:"action"`
	// FirstEntry is the first entry VM; a repeated fault goes on to the next.
	FirstEntry int `json:"place"`
}

// ReadDir reads all scenarios of a directory, ordered by name.
func ReadDir(dir string) ([]*Scenario, error) {
	files, err := filepath.Glob(filepath.Join(dir, "*.json"))
	if err != nil {
		return nil, err
	}
	var all []*Scenario
	for _, file := range files {
		s, err := ReadScenario(file)
		if err != nil {
			return nil, err
		}
		all = append(all, s)
	}
	if len(all) == 0 {
		return nil, fmt.Errorf("experiment: %s holds no experiment files: %w", dir, os.ErrNotExist)
	}
	slices.SortFunc(all, func(a, b *Scenario) int { return strings.Compare(a.Name, b.Name) })
	return all, nil
}

// ReadScenario reads and checks a scenario and its shape.
func ReadScenario(path string) (*Scenario, error) {
	var s Scenario
	if err := shape.DecodeFile(path, &s); err != nil {
		return nil, err
	}
	deployment, err := shape.Read(filepath.Join(filepath.Dir(path), s.ShapeFile))
	if err != nil {
		return nil, err
	}
	s.Shape = deployment
	if s.WithoutLimits {
		dropLimits(deployment.Customers)
	}
	if s.Balance != nil {
		for i := range deployment.Customers {
			deployment.Customers[i].Contract.Balance = s.Balance
		}
	}
	if err := s.check(); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return &s, nil
}

func dropLimits(customers []shape.Customer) {
	for i := range customers {
		c := &customers[i].Contract
		c.RequestsPerSecond, c.Burst, c.InFlight, c.TokensPerSecond = 0, 0, 0, 0
	}
}

func (s *Scenario) check() error {
	var wrong []error
	need := func(good bool, format string, args ...any) {
		if !good {
			wrong = append(wrong, fmt.Errorf(format, args...))
		}
	}
	need(s.Name != "" && !strings.ContainsAny(s.Name, " /"), "name %q must be one word", s.Name)
	need(s.DurationMS > 0, "duration_ms must be above 0")
	need(!s.Quick || s.QuickDurationMS > 0, "quick needs quick_duration_ms")
	need(len(s.Seeds) > 0, "seeds is empty")
	need(s.FirstTryShare >= 0 && s.FirstTryShare < 1, "first_try_share must be 0 to below 1")
	need(s.TimeoutMS >= 0, "timeout_ms must not be negative")
	need(s.Load > 0, "load must be above 0")
	for _, b := range s.Bursts {
		need(s.hasCustomer(b.Customer), "bursts: no customer %q", b.Customer)
		need(b.Factor > 0 && b.At < b.Until, "bursts: factor must be above 0 and at before until")
	}
	if s.CrashingRequests != nil {
		need(s.hasCustomer(s.CrashingRequests.Customer), "crashing: no customer %q", s.CrashingRequests.Customer)
		need(s.CrashingRequests.Marker != "", "crashing: marker is empty")
	}
	for i, f := range s.Faults {
		if err := s.checkFault(f); err != nil {
			wrong = append(wrong, fmt.Errorf("faults[%d]: %w", i, err))
		}
	}
	wrong = append(wrong, s.Arrivals.check())
	return errors.Join(wrong...)
}

func (s *Scenario) checkFault(f Fault) error {
	set := 0
	for _, given := range []bool{f.Targets != nil, f.Platform != nil, f.Entry != nil} {
		if given {
			set++
		}
	}
	switch {
	case set != 1:
		return errors.New("one of targets, platform and entry must be set")
	case f.At < 0 || f.At > 1 || f.Until < 0 || f.Until > 1:
		return errors.New("at and until must be 0 to 1")
	case f.Until != 0 && f.Until <= f.At:
		return errors.New("until must be after at")
	case f.Targets != nil && f.Targets.Pool != "":
		if _, found := s.Shape.Pool(f.Targets.Pool); !found {
			return fmt.Errorf("no pool %q", f.Targets.Pool)
		}
	case f.Entry != nil:
		return f.Entry.check()
	}
	return nil
}

func (e *EntryFault) check() error {
	if slices.Contains([]EntryAction{EntryKill, EntryStop, EntryPause}, e.Action) {
		return nil
	}
	return fmt.Errorf("unknown action %q", e.Action)
}

func (a Arrivals) check() error {
	switch a.Kind {
	case "", ArrivalSteady:
		return nil
	case ArrivalDaily:
		if a.Swing < 0 || a.Swing > 1 {
			return errors.New("arrivals: swing must be 0 to 1")
		}
		return nil
	case ArrivalBursts:
		if a.Factor <= 0 || a.Count < 1 || a.Length <= 0 || a.Length >= 1 || a.Factor*a.Length > 1 {
			return errors.New("arrivals: bursts need a count, a length below 1 and factor times length of at most 1")
		}
		return nil
	}
	return fmt.Errorf("arrivals: unknown kind %q", a.Kind)
}

func (s *Scenario) hasCustomer(name string) bool {
	return slices.ContainsFunc(s.Shape.Customers, func(c shape.Customer) bool { return c.Contract.Customer == name })
}

// Duration is how long requests are sent.
func (s *Scenario) Duration(quick bool) time.Duration {
	if quick {
		return time.Duration(s.QuickDurationMS) * time.Millisecond
	}
	return time.Duration(s.DurationMS) * time.Millisecond
}

// CustomerLoads are the customers' calls over a run of the given length.
func (s *Scenario) CustomerLoads(length time.Duration) []CustomerLoad {
	sum := 0.0
	for _, c := range s.Shape.Customers {
		sum += c.Share
	}
	var streams []CustomerLoad
	for _, c := range s.Shape.Customers {
		rate := s.Load * s.Shape.CapacityPerSecond * c.Share / sum
		streams = append(streams, CustomerLoad{
			Customer:  c.Contract.Customer,
			BearerKey: c.Key,
			Pattern:   s.pattern(c.Contract.Customer, rate, length),
			Mix:       s.mix(),
		})
	}
	return streams
}

func (s *Scenario) mix() shape.Mix {
	mix := s.Shape.Mix
	if s.TimeoutMS > 0 {
		mix.TimeoutMS = s.TimeoutMS
	}
	return mix
}

func (s *Scenario) pattern(customer string, rate float64, length time.Duration) arrival.Pattern {
	for _, b := range s.Bursts {
		if b.Customer == customer {
			return arrival.Bursts{
				Base: rate, Peak: rate * b.Factor,
				First: part(length, b.At), Length: part(length, b.Until-b.At),
			}
		}
	}
	return s.Arrivals.pattern(rate, length)
}

// pattern keeps the mean rate, whatever the kind.
func (a Arrivals) pattern(rate float64, length time.Duration) arrival.Pattern {
	switch a.Kind {
	case ArrivalDaily:
		days := a.Days
		if days == 0 {
			days = 1
		}
		return arrival.Daily{Mean: rate, Swing: a.Swing, Day: part(length, 1/days)}
	case ArrivalBursts:
		every := part(length, 1/float64(a.Count))
		base := rate * (1 - a.Factor*a.Length) / (1 - a.Length)
		return arrival.Bursts{Base: base, Peak: rate * a.Factor, Every: every, Length: part(every, a.Length)}
	case ArrivalSteady:
	}
	return arrival.Steady{PerSecond: rate}
}

// Plan draws all calls of a run, those that crash their targets included.
func (s *Scenario) Plan(length time.Duration, seed uint64, run string) []runner.Planned {
	plan := Plan(s.CustomerLoads(length), length, seed, run)
	if s.CrashingRequests != nil {
		plan = append(plan, s.crashing(length, run)...)
		sortByTime(plan)
	}
	return plan
}

// crashing lists the calls that crash their targets. Each comes again and
// again with the same content under new idempotency keys, as from a caller
// that takes the failure for a passing one.
func (s *Scenario) crashing(length time.Duration, run string) []runner.Planned {
	c := s.CrashingRequests
	var plan []runner.Planned
	for n := range c.Count {
		ref := fmt.Sprintf("%s-crash-%d", run, n)
		first := part(length, c.At+(1-c.At)*float64(n)/float64(c.Count))
		for again := range 1 + c.Resends {
			call := s.crashingCall(ref)
			call.IdempotencyKey = fmt.Sprintf("key-%s-%d", ref, again)
			at := first + time.Duration(again*c.EveryMS)*time.Millisecond
			if at < length {
				plan = append(plan, runner.Planned{At: at, Call: call})
			}
		}
	}
	return plan
}

func (s *Scenario) crashingCall(ref string) caller.Call {
	m := s.mix()
	return caller.Call{
		Kind:      caller.KindPipeline,
		Customer:  s.CrashingRequests.Customer,
		BearerKey: s.keyOf(s.CrashingRequests.Customer),
		Ref:       ref,
		Pipeline:  m.Pipeline,
		Input:     "a request that no engine survives " + s.CrashingRequests.Marker,
		MaxTokens: m.MostTokens,
		Timeout:   time.Duration(m.TimeoutMS) * time.Millisecond,
		Poison:    true,
	}
}

func (s *Scenario) keyOf(customer string) string {
	for _, c := range s.Shape.Customers {
		if c.Contract.Customer == customer {
			return c.Key
		}
	}
	return ""
}

func part(length time.Duration, share float64) time.Duration {
	return time.Duration(float64(length) * share)
}
