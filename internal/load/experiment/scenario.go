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

// Scenario is one experiment: a deployment under load, with faults injected at
// given times. Times within a scenario are fractions of its duration, 0 to 1,
// so that the shorter quick run has the same events.
type Scenario struct {
	Name  string `json:"name"`
	About string `json:"about"`
	// ShapeFile describes the deployment; the path is relative to the
	// scenario's file.
	ShapeFile string       `json:"shape"`
	Shape     *shape.Shape `json:"-"`
	// Quick includes the scenario in the quick benchmark.
	Quick           bool     `json:"quick"`
	DurationMS      int      `json:"duration_ms"`
	QuickDurationMS int      `json:"quick_duration_ms"`
	Seeds           []uint64 `json:"seeds"`
	// Load is the arrival rate as a fraction of the shape's capacity.
	Load     float64  `json:"load"`
	Arrivals Arrivals `json:"arrivals"`
	// Bursts raise the arrival rate of single customers for part of the run.
	Bursts []Burst `json:"bursts"`
	// WithoutLimits removes the rate and concurrency limits from the contracts,
	// so that only shares and priorities isolate the customers from each other.
	WithoutLimits bool `json:"without_limits"`
	// Balance replaces the balance of every contract; nil keeps them.
	Balance *float64 `json:"balance"`
	// CrashingRequests adds requests that crash the targets that run them.
	CrashingRequests *CrashingRequests `json:"crashing"`
	// TimeoutMS replaces the shape's timeout for pipeline calls; zero keeps it.
	TimeoutMS int `json:"timeout_ms"`
	// FirstTryShare is the fraction of its timeout after which a caller gives up
	// on an entry VM that has sent nothing and tries another one; zero means
	// never.
	FirstTryShare float64 `json:"first_try_share"`
	Faults        []Fault `json:"faults"`
}

// ArrivalKind names an arrival pattern.
type ArrivalKind string

// The arrival patterns. An empty kind means steady.
const (
	ArrivalSteady ArrivalKind = "steady"
	ArrivalDaily  ArrivalKind = "daily"
	ArrivalBursts ArrivalKind = "bursts"
)

// Arrivals is the arrival pattern of every customer without its own Burst.
type Arrivals struct {
	Kind ArrivalKind `json:"kind"`
	// Swing is the amplitude of the daily pattern relative to its mean, 0 to 1.
	Swing float64 `json:"swing"`
	// Days is the number of daily cycles within the duration; zero means 1.
	Days float64 `json:"days"`
	// Factor is the rate during a burst relative to the mean rate. Count is the
	// number of bursts, and Length the fraction of each burst's period that the
	// burst lasts.
	Factor float64 `json:"factor"`
	Count  int     `json:"count"`
	Length float64 `json:"length"`
}

// Burst multiplies the arrival rate of one customer from At to Until.
type Burst struct {
	Customer string  `json:"customer"`
	Factor   float64 `json:"factor"`
	At       float64 `json:"at"`
	Until    float64 `json:"until"`
}

// CrashingRequests describes requests that crash the targets that run them. They
// can't be answered, so they are excluded from the attainment.
type CrashingRequests struct {
	Customer string `json:"customer"`
	// Marker is the input text that makes the stand-ins crash.
	Marker string `json:"marker"`
	// Count is the number of such requests, spread from At to the end.
	Count int     `json:"count"`
	At    float64 `json:"at"`
	// Resends is how many times each request is resent, every EveryMS, under a
	// new idempotency key.
	Resends int `json:"resends"`
	EveryMS int `json:"every_ms"`
}

// Fault is a fault injected at time At. Exactly one of Targets, Platform and
// Entry is set.
type Fault struct {
	At float64 `json:"at"`
	// Until is when the fault is cleared; zero means at the end of the run.
	Until float64 `json:"until"`
	// EveryMS is the interval at which the fault is repeated; zero means once.
	EveryMS  int            `json:"every_ms"`
	Targets  *TargetFault   `json:"targets"`
	Platform *PlatformFault `json:"platform"`
	Entry    *EntryFault    `json:"entry"`
}

// TargetFault affects targets of one pool, or of all pools if Pool is empty.
type TargetFault struct {
	Pool string `json:"pool"`
	// Zone restricts the fault to one availability zone; empty means all.
	Zone string `json:"zone"`
	// Count restricts the fault to the first Count targets; zero means all.
	Count int             `json:"count"`
	Fault json.RawMessage `json:"fault"`
}

// PlatformFault affects the platform service in Scope: "table", "objects" or
// "vm_list".
type PlatformFault struct {
	Scope string          `json:"scope"`
	Fault json.RawMessage `json:"fault"`
}

// EntryAction is an action applied to the process of an entry VM.
type EntryAction string

// The actions on entry VMs.
const (
	// EntryKill kills the process immediately (SIGKILL).
	EntryKill EntryAction = "kill"
	// EntryStop requests a graceful shutdown (SIGTERM).
	EntryStop EntryAction = "stop"
	// EntryPause suspends the process until the fault's Until (SIGSTOP, then
	// SIGCONT).
	EntryPause EntryAction = "pause"
)

// EntryFault affects one entry VM. The script that started the process starts a
// replacement after it has exited.
type EntryFault struct {
	Action EntryAction `json:"action"`
	// FirstEntry is the index of the entry VM that is affected first; each
	// repetition of the fault affects the next one.
	FirstEntry int `json:"place"`
}

// ReadDir reads all scenarios in a directory, sorted by name.
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
		return nil, fmt.Errorf("experiment: no experiment files in %s: %w", dir, os.ErrNotExist)
	}
	slices.SortFunc(all, func(a, b *Scenario) int { return strings.Compare(a.Name, b.Name) })
	return all, nil
}

// ReadScenario reads and validates a scenario and its shape, and applies the
// overrides of the contracts.
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
	var errs []error
	require := func(good bool, format string, args ...any) {
		if !good {
			errs = append(errs, fmt.Errorf(format, args...))
		}
	}
	require(s.Name != "" && !strings.ContainsAny(s.Name, " /"), "name %q must be one word", s.Name)
	require(s.DurationMS > 0, "duration_ms must be above 0")
	require(!s.Quick || s.QuickDurationMS > 0, "quick needs quick_duration_ms")
	require(len(s.Seeds) > 0, "seeds must not be empty")
	require(s.FirstTryShare >= 0 && s.FirstTryShare < 1, "first_try_share must be 0 to below 1")
	require(s.TimeoutMS >= 0, "timeout_ms must not be negative")
	require(s.Load > 0, "load must be above 0")
	for _, b := range s.Bursts {
		require(s.hasCustomer(b.Customer), "bursts: no customer %q", b.Customer)
		require(b.Factor > 0 && b.At < b.Until, "bursts: factor must be above 0 and at before until")
	}
	if s.CrashingRequests != nil {
		require(s.hasCustomer(s.CrashingRequests.Customer), "crashing: no customer %q", s.CrashingRequests.Customer)
		require(s.CrashingRequests.Marker != "", "crashing: marker must not be empty")
	}
	for i, f := range s.Faults {
		if err := s.checkFault(f); err != nil {
			errs = append(errs, fmt.Errorf("faults[%d]: %w", i, err))
		}
	}
	errs = append(errs, s.Arrivals.check())
	return errors.Join(errs...)
}

func (s *Scenario) checkFault(f Fault) error {
	kinds := 0
	for _, given := range []bool{f.Targets != nil, f.Platform != nil, f.Entry != nil} {
		if given {
			kinds++
		}
	}
	switch {
	case kinds != 1:
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

// Duration returns how long requests are sent. A scenario without a quick variant is run in
// full.
func (s *Scenario) Duration(quick bool) time.Duration {
	if quick && s.QuickDurationMS > 0 {
		return time.Duration(s.QuickDurationMS) * time.Millisecond
	}
	return time.Duration(s.DurationMS) * time.Millisecond
}

// CustomerLoads returns the load of each customer for a run of the given length.
func (s *Scenario) CustomerLoads(length time.Duration) []CustomerLoad {
	sum := 0.0
	for _, c := range s.Shape.Customers {
		sum += c.Share
	}
	var loads []CustomerLoad
	for _, c := range s.Shape.Customers {
		rate := s.Load * s.Shape.CapacityPerSecond * c.Share / sum
		loads = append(loads, CustomerLoad{
			Customer:  c.Contract.Customer,
			BearerKey: c.Key,
			Pattern:   s.pattern(c.Contract.Customer, rate, length),
			Mix:       s.mix(),
		})
	}
	return loads
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
				FirstStart: fractionOf(length, b.At), Duration: fractionOf(length, b.Until-b.At),
			}
		}
	}
	return s.Arrivals.pattern(rate, length)
}

// pattern returns the arrival pattern. Its mean rate is rate for every kind.
func (a Arrivals) pattern(rate float64, length time.Duration) arrival.Pattern {
	switch a.Kind {
	case ArrivalDaily:
		days := a.Days
		if days == 0 {
			days = 1
		}
		return arrival.Daily{Mean: rate, Amplitude: a.Swing, Period: fractionOf(length, 1/days)}
	case ArrivalBursts:
		every := fractionOf(length, 1/float64(a.Count))
		base := rate * (1 - a.Factor*a.Length) / (1 - a.Length)
		return arrival.Bursts{Base: base, Peak: rate * a.Factor, Period: every, Duration: fractionOf(every, a.Length)}
	case ArrivalSteady:
	}
	return arrival.Steady{PerSecond: rate}
}

// Plan generates all calls of a run, including those that crash their targets.
func (s *Scenario) Plan(length time.Duration, seed uint64, run string) []runner.PlannedCall {
	plan := Plan(s.CustomerLoads(length), length, seed, run)
	if s.CrashingRequests != nil {
		plan = append(plan, s.crashingCalls(length, run)...)
		sortByTime(plan)
	}
	return plan
}

// crashingCalls returns the calls that crash their targets. Each is resent with
// the same content under new idempotency keys, as by a caller that treats the
// failure as transient.
func (s *Scenario) crashingCalls(length time.Duration, run string) []runner.PlannedCall {
	c := s.CrashingRequests
	var plan []runner.PlannedCall
	for n := range c.Count {
		ref := fmt.Sprintf("%s-crash-%d", run, n)
		first := fractionOf(length, c.At+(1-c.At)*float64(n)/float64(c.Count))
		for attempt := range 1 + c.Resends {
			call := s.crashingCall(ref)
			call.IdempotencyKey = fmt.Sprintf("key-%s-%d", ref, attempt)
			at := first + time.Duration(attempt*c.EveryMS)*time.Millisecond
			if at < length {
				plan = append(plan, runner.PlannedCall{At: at, Call: call})
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
		BearerKey: s.bearerKeyOf(s.CrashingRequests.Customer),
		Ref:       ref,
		Pipeline:  m.Pipeline,
		Input:     "a request that no engine survives " + s.CrashingRequests.Marker,
		MaxTokens: m.MaxTokens,
		Timeout:   time.Duration(m.TimeoutMS) * time.Millisecond,
		Poison:    true,
	}
}

func (s *Scenario) bearerKeyOf(customer string) string {
	for _, c := range s.Shape.Customers {
		if c.Contract.Customer == customer {
			return c.Key
		}
	}
	return ""
}

// fractionOf returns the given fraction of a duration.
func fractionOf(length time.Duration, share float64) time.Duration {
	return time.Duration(float64(length) * share)
}
