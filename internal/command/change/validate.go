package change

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/netip"
	"regexp"
	"slices"
	"strings"

	"github.com/vanillagate/vanillagate/internal/config"
	"github.com/vanillagate/vanillagate/internal/jsonbody"
)

// Bounds of what is accepted.
const (
	// MaxBodyBytes bounds an item.
	MaxBodyBytes = 64 << 10
	// MaxIDBytes bounds the ID of a change.
	MaxIDBytes   = 128
	maxPriority  = 9
	maxKeys      = 64
	maxStages    = 16
	maxTimeoutMS = 600_000
)

var (
	namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._:-]{0,127}$`)
	hashPattern = regexp.MustCompile(`^[0-9a-f]{64}$`)
)

// faults collects what is wrong with an item, so that an operator sees all of
// it at once.
type faults []string

func (f *faults) addf(format string, args ...any) { *f = append(*f, fmt.Sprintf(format, args...)) }

func (f *faults) wantf(ok bool, format string, args ...any) {
	if !ok {
		f.addf(format, args...)
	}
}

// Validate says what is wrong with a request when it follows the given state;
// empty means nothing.
func Validate(state *config.State, req Request) []string {
	var f faults
	f.wantf(req.ID != "" && len(req.ID) <= MaxIDBytes, "change id: 1 to %d bytes", MaxIDBytes)
	f.wantf(req.By != "", "by: name the operator")
	f.wantf(namePattern.MatchString(req.Name), "name %q: letters, digits, '.', '_', ':', '-', 128 at most, starting with a letter or digit", req.Name)
	if req.Deleted {
		validateDelete(&f, state, req)
		return f
	}
	f.wantf(len(req.Body) <= MaxBodyBytes, "body: %d bytes at most", MaxBodyBytes)
	if len(f) == 0 {
		validateItem(&f, state, req)
	}
	return f
}

func validateItem(f *faults, state *config.State, req Request) {
	switch req.Kind {
	case config.KindContract:
		decodeThen(f, req.Body, func(c config.Contract) { validateContract(f, state, req.Name, c) })
	case config.KindPool:
		decodeThen(f, req.Body, func(p config.Pool) { validatePool(f, state, req.Name, p) })
	case config.KindPipeline:
		decodeThen(f, req.Body, func(p config.Pipeline) { validatePipeline(f, state, req.Name, p) })
	case config.KindService:
		decodeThen(f, req.Body, func(s config.Service) { validateService(f, state, req.Name, s) })
	case config.KindStop:
		decodeThen(f, req.Body, func(s config.Stop) { validateStop(f, req.Name, s) })
	default:
		f.addf("kind %q: contract, pool, pipeline, service or stop", req.Kind)
	}
}

// decodeThen refuses fields that it does not know: a limit that is misspelt
// would otherwise be accepted as "no limit".
func decodeThen[T any](f *faults, body []byte, check func(T)) {
	if err := jsonbody.Check(body); err != nil {
		f.addf("body: %s", err)
		return
	}
	var item T
	decoder := json.NewDecoder(bytes.NewReader(body))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&item); err != nil {
		f.addf("body: %s", strings.TrimPrefix(err.Error(), "json: "))
		return
	}
	if _, err := decoder.Token(); err != io.EOF {
		f.addf("body: text after the item")
		return
	}
	check(item)
}

func validateContract(f *faults, state *config.State, name string, c config.Contract) {
	f.wantf(c.Customer == name, "customer %q: must be the item's name %q", c.Customer, name)
	f.wantf(len(c.KeyHashes) <= maxKeys, "key_hashes: %d at most", maxKeys)
	for _, hash := range c.KeyHashes {
		f.wantf(hashPattern.MatchString(hash), "key_hashes: %q is not 64 lower-case hex digits", hash)
		if owner := ownerOf(state, hash); owner != "" && owner != name {
			f.addf("key_hashes: a key is already in use by another customer")
		}
	}
	f.wantf(c.RequestsPerSecond >= 0, "requests_per_second: not negative")
	f.wantf(c.Burst >= 0, "burst: not negative")
	f.wantf(c.InFlight >= 0, "in_flight: not negative")
	f.wantf(c.TokensPerSecond >= 0, "tokens_per_second: not negative")
	f.wantf(c.Share >= 0, "share: not negative")
	f.wantf(c.Priority >= 0 && c.Priority <= maxPriority, "priority: 0 to %d", maxPriority)
	f.wantf(c.Balance == nil || (*c.Balance >= 0 && *c.Balance <= 1), "balance: 0 to 1")
}

func ownerOf(state *config.State, hash string) string {
	for customer, c := range state.Contracts {
		if slices.Contains(c.KeyHashes, hash) {
			return customer
		}
	}
	return ""
}

func validatePool(f *faults, state *config.State, name string, p config.Pool) {
	f.wantf(p.Name == name, "name %q: must be the item's name %q", p.Name, name)
	switch p.Kind {
	case config.TargetEngine, config.TargetEncoder, config.TargetRetriever, config.TargetReranker, config.TargetService:
	default:
		f.addf("kind %q: engine, encoder, retriever, reranker or service", p.Kind)
	}
	steered := p.Model != "" || p.Version != "" || p.Adapter != "" || p.Role != ""
	f.wantf(!steered || p.Kind == config.TargetEngine, "model, version, adapter, role: for engines only")
	f.wantf(p.Model != "" || (p.Version == "" && p.Role == "" && p.Adapter == ""), "version, adapter, role: need a model")
	f.wantf(p.Version != "" || len(p.AlsoVersions) == 0, "also_versions: need a version")
	old, found := state.Pools[name]
	if found && old.Kind != p.Kind {
		for _, user := range usersOf(state, name) {
			f.addf("kind: %s uses the pool as %s", user, old.Kind)
		}
	}
}

func validatePipeline(f *faults, state *config.State, name string, p config.Pipeline) {
	f.wantf(p.Name == name, "name %q: must be the item's name %q", p.Name, name)
	f.wantf(len(p.Stages) > 0 && len(p.Stages) <= maxStages, "stages: 1 to %d", maxStages)
	f.wantf(p.DefaultTimeoutMS >= 0 && p.DefaultTimeoutMS <= maxTimeoutMS, "default_timeout_ms: 0 to %d", maxTimeoutMS)
	seen := map[string]bool{}
	for i, s := range p.Stages {
		f.wantf(namePattern.MatchString(s.Name), "stages[%d].name %q: not a name", i, s.Name)
		f.wantf(!seen[s.Name], "stages[%d].name %q: stands twice", i, s.Name)
		seen[s.Name] = true
		f.wantf(s.MaxTokens >= 0, "stages[%d].max_tokens: not negative", i)
		f.wantf(s.TopK >= 0, "stages[%d].top_k: not negative", i)
		pool, found := state.Pools[s.Pool]
		f.wantf(found, "stages[%d].pool %q: there is no such pool", i, s.Pool)
		f.wantf(!found || pool.Kind != config.TargetService, "stages[%d].pool %q: is a pool of plain services", i, s.Pool)
	}
}

var methods = []string{"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"}

func validateService(f *faults, state *config.State, name string, s config.Service) {
	f.wantf(s.Name == name, "name %q: must be the item's name %q", s.Name, name)
	pool, found := state.Pools[s.Pool]
	f.wantf(found, "pool %q: there is no such pool", s.Pool)
	f.wantf(!found || pool.Kind == config.TargetService, "pool %q: is a pool of kind %s", s.Pool, pool.Kind)
	f.wantf(len(s.Routes) > 0, "routes: one at least")
	for i, r := range s.Routes {
		f.wantf(slices.Contains(methods, r.Method), "routes[%d].method %q: one of %s", i, r.Method, strings.Join(methods, ", "))
		f.wantf(strings.HasPrefix(r.PathPrefix, "/"), "routes[%d].path_prefix %q: must start with /", i, r.PathPrefix)
	}
}

func validateStop(f *faults, name string, s config.Stop) {
	f.wantf(s.ID == name, "id %q: must be the item's name %q", s.ID, name)
	f.wantf(s.Subject == config.StopTarget || s.Subject == config.StopVM, "on %q: target or vm", s.Subject)
	_, err := netip.ParseAddrPort(s.Address)
	f.wantf(err == nil, "address %q: IP:port", s.Address)
}

func validateDelete(f *faults, state *config.State, req Request) {
	f.wantf(len(req.Body) == 0, "body: none for a deletion")
	f.wantf(exists(state, req.Kind, req.Name), "%s %q: there is no such item", req.Kind, req.Name)
	if req.Kind != config.KindPool {
		return
	}
	for _, user := range usersOf(state, req.Name) {
		f.addf("%s uses the pool", user)
	}
}

func exists(state *config.State, kind config.Kind, name string) bool {
	last, found := state.LastChanges[config.ItemKey(kind, name)]
	return found && !last.Deleted
}

// usersOf names the pipelines and services that use a pool, in order.
func usersOf(state *config.State, pool string) []string {
	var users []string
	for _, p := range state.Pipelines {
		if slices.ContainsFunc(p.Stages, func(s config.Stage) bool { return s.Pool == pool }) {
			users = append(users, config.ItemKey(config.KindPipeline, p.Name))
		}
	}
	for _, s := range state.Services {
		if s.Pool == pool {
			users = append(users, config.ItemKey(config.KindService, s.Name))
		}
	}
	slices.Sort(users)
	return users
}
