// Package entry is the entry process: it answers callers and operators, admits
// requests, runs pipelines and plain services, and keeps what is in force.
package entry

import (
	"crypto/tls"
	"errors"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/vanillagate/vanillagate/internal/backing"
	"github.com/vanillagate/vanillagate/internal/limit"
	"github.com/vanillagate/vanillagate/internal/peer"
	"github.com/vanillagate/vanillagate/internal/routing"
)

// Options are what a Server is made from.
type Options struct {
	// Listen is the IP:port that callers connect to.
	Listen string
	// Advertise is the IP:port that callers are told; empty means Listen.
	Advertise string
	Zone      string
	Region    string

	Table   backing.Table
	Objects backing.ObjectStore
	VMs     backing.VMList
	Network peer.Network
	Log     *zap.Logger
	Metrics metrics.Registry
	// TLS towards callers; nil for none.
	TLS *tls.Config

	// Operators are the keys that may use /v1/admin/.
	Operators []OperatorKey

	Policy Policy

	// ConfigPeriod is how often the table is read for changes, VMListPeriod how
	// often the VM list is.
	ConfigPeriod time.Duration
	VMListPeriod time.Duration
	// CostPeriod is how often cost rows are written. A killed process loses
	// what it gathered since.
	CostPeriod time.Duration
	// EntriesTTL is how long callers keep the answer of /v1/entries.
	EntriesTTL time.Duration
	// RetryWindow is how long after a submission its caller may ask again
	// under the same Idempotency-Key.
	RetryWindow time.Duration
	// MaxBody bounds what a caller may send, in bytes.
	MaxBody int
	// MaxInFlight bounds the requests in this process.
	MaxInFlight int
}

// OperatorKey lets an operator in.
type OperatorKey struct {
	// Name is put down as the author of changes; empty means that the
	// X-Operator header says it.
	Name string
	// Hash is the lower-case hex SHA-256 of the key.
	Hash string
}

// Policy chooses between the product's own decisions and the baselines that it
// is measured against.
type Policy struct {
	Routing routing.PolicyName
	// NoAdmission lets every request in that its contract allows.
	NoAdmission bool
	// RetryWithoutBudget tries again as often as the tries allow.
	RetryWithoutBudget bool
	// NoAffinity takes no heed of the engines' prefix caches.
	NoAffinity bool
	// EvenSplit gives each entry VM the same part of a contract's limits.
	EvenSplit bool
	// NoEjection, NoHedge and NoSuspicion switch a mechanism off.
	NoEjection  bool
	NoHedge     bool
	NoSuspicion bool
}

// PolicyNames are the values that ParsePolicy takes.
var PolicyNames = []string{
	"present", "better-of-two", "with-reports", "no-hedge", "no-ejection", "even-split", "no-affinity", "random", "round-robin", "least-in-flight", "no-admission", "retry-without-budget",
}

// ParsePolicy gives the policy of a name. The routing baselines stand for a
// plain proxy: no ejection, no hedges and no affinity.
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
