// Package entry implements the entry process, which serves callers and
// operators: it admits requests, runs pipelines and plain services, and applies
// configuration changes.
package entry

import (
	"crypto/tls"
	"errors"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/vanillagate/vanillagate/internal/backing"
	"github.com/vanillagate/vanillagate/internal/intake"
	"github.com/vanillagate/vanillagate/internal/limit"
	"github.com/vanillagate/vanillagate/internal/peer"
	"github.com/vanillagate/vanillagate/internal/routing"
)

// Options configures a Server.
type Options struct {
	// Listen is the IP:port that callers connect to.
	Listen string
	// Advertise is the IP:port that is given to callers; empty means Listen.
	Advertise string
	Zone      string
	Region    string

	Table   backing.Table
	Objects backing.ObjectStore
	VMs     backing.VMList
	Network peer.Network
	Log     *zap.Logger
	Metrics metrics.Registry
	// TLS is used for connections of callers; nil means none.
	TLS *tls.Config

	// Operators holds the keys that may use /v1/admin/.
	Operators []OperatorKey

	Policy Policy

	// ConfigPeriod is how often the table is read for changes. VMListPeriod is
	// how often the VM list is read.
	ConfigPeriod time.Duration
	VMListPeriod time.Duration
	// CostPeriod is how often cost rows are written. A killed process loses the
	// costs since the last write.
	CostPeriod time.Duration
	// EntriesTTL is how long callers may cache the response of /v1/entries.
	EntriesTTL time.Duration
	// RetryWindow is how long after a submission its caller may retry under the
	// same Idempotency-Key.
	RetryWindow time.Duration
	// MaxBody bounds the size of a request body in bytes.
	MaxBody int
	// Limits are the memory and the descriptors of this process.
	Limits intake.Limits
	// MaxInFlight bounds the pipeline and service requests in progress in this
	// process.
	MaxInFlight int
}

// OperatorKey is a key that authenticates an operator.
type OperatorKey struct {
	// Name is recorded as the author of changes. If it is empty, the X-Operator
	// header gives the name.
	Name string
	// Hash is the lower-case hex SHA-256 of the key.
	Hash string
}

// Policy selects between the standard behavior and the baselines that it is
// compared with in benchmarks.
type Policy struct {
	Routing routing.PolicyName
	// NoAdmission disables admission control by deadline and load; only the
	// limits of contracts apply.
	NoAdmission bool
	// RetryWithoutBudget limits retries only by the number of attempts, not by
	// the retry budget.
	RetryWithoutBudget bool
	// NoAffinity ignores the engines' prefix caches when a target is chosen.
	NoAffinity bool
	// EvenSplit gives each entry VM the same share of a contract's limits,
	// instead of a share by demand.
	EvenSplit bool
	// NoEjection, NoHedge and NoSuspicion each disable a mechanism.
	NoEjection  bool
	NoHedge     bool
	NoSuspicion bool
}

// PolicyNames lists the values that ParsePolicy accepts.
var PolicyNames = []string{
	"present", "better-of-two", "with-reports", "no-hedge", "no-ejection", "even-split", "no-affinity", "random", "round-robin", "least-in-flight", "no-admission", "retry-without-budget",
}

// ParsePolicy returns the policy with the given name. The routing baselines
// (random, round-robin, least-in-flight) model a plain proxy: no ejection, no
// hedging and no affinity.
func ParsePolicy(name string) (Policy, error) {
	switch name {
	case "present":
		return Policy{Routing: routing.Default}, nil
	case "better-of-two", "with-reports":
		return Policy{Routing: routing.PolicyName(name)}, nil
	case "no-hedge":
		return Policy{Routing: routing.Default, NoHedge: true}, nil
	case "no-ejection":
		return Policy{Routing: routing.Default, NoEjection: true}, nil
	case "no-affinity":
		return Policy{Routing: routing.Default, NoAffinity: true}, nil
	case "even-split":
		return Policy{Routing: routing.Default, EvenSplit: true}, nil
	case "random", "round-robin", "least-in-flight":
		return Policy{Routing: routing.PolicyName(name), NoEjection: true, NoHedge: true, NoAffinity: true}, nil
	case "no-admission":
		return Policy{Routing: routing.Default, NoAdmission: true}, nil
	case "retry-without-budget":
		return Policy{Routing: routing.Default, RetryWithoutBudget: true}, nil
	default:
		return Policy{}, errors.New("entry: unknown policy " + name)
	}
}

func (p Policy) split() limit.Split {
	if p.EvenSplit {
		return limit.SplitEven
	}
	return limit.SplitByDemand
}

func (o Options) advertised() string {
	if o.Advertise != "" {
		return o.Advertise
	}
	return o.Listen
}

var errCallerLeft = errors.New("entry: the caller left")
