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

// Limits of accepted changes.
const (
	// MaxBodyBytes is the maximum size of an item.
	MaxBodyBytes = 64 << 10
	// MaxIDBytes is the maximum length of a change's ID.
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

// validationErrors collects all problems of an item, so that the operator sees
// them at once.
type validationErrors []string

func (f *validationErrors) addf(format string, args ...any) {
	*f = append(*f, fmt.Sprintf(format, args...))
}

func (f *validationErrors) requiref(ok bool, format string, args ...any) {
	if !ok {
		f.addf(format, args...)
	}
}

// Validate returns the problems of a request that is to be applied to the given
// state; empty if it is valid.
func Validate(state *config.State, req Request) []string {
	var f validationErrors
	f.requiref(req.ID != "" && len(req.ID) <= MaxIDBytes, "change id: 1 to %d bytes", MaxIDBytes)
	f.requiref(req.By != "", "by: name the operator")
	f.requiref(namePattern.MatchString(req.Name), "name %q: letters, digits, '.', '_', ':', '-', 128 at most, starting with a letter or digit", req.Name)
	if req.Deleted {
		validateDelete(&f, state, req)
		return f
	}
	f.requiref(len(req.Body) <= MaxBodyBytes, "body: %d bytes at most", MaxBodyBytes)
	if len(f) == 0 {
		validateItem(&f, state, req)
	}
	return f
}

func validateItem(f *validationErrors, state *config.State, req Request) {
	switch req.Kind {
	case config.KindContract:
		decodeAndCheck(f, req.Body, func(c config.Contract) { validateContract(f, state, req.Name, c) })
	case config.KindPool:
		decodeAndCheck(f, req.Body, func(p config.Pool) { validatePool(f, state, req.Name, p) })
	case config.KindPipeline:
		decodeAndCheck(f, req.Body, func(p config.Pipeline) { validatePipeline(f, state, req.Name, p) })
	case config.KindService:
		decodeAndCheck(f, req.Body, func(s config.Service) { validateService(f, state, req.Name, s) })
	case config.KindStop:
		decodeAndCheck(f, req.Body, func(s config.Stop) { validateStop(f, req.Name, s) })
	default:
		f.addf("kind %q: contract, pool, pipeline, service or stop", req.Kind)
	}
}

// decodeAndCheck refuses unknown fields: a misspelt limit would otherwise be
// accepted as "no limit".
func decodeAndCheck[T any](f *validationErrors, body []byte, check func(T)) {
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

func validateContract(f *validationErrors, state *config.State, name string, c config.Contract) {
	f.requiref(c.Customer == name, "customer %q: must be the item's name %q", c.Customer, name)
	f.requiref(len(c.KeyHashes) <= maxKeys, "key_hashes: %d at most", maxKeys)
	for _, hash := range c.KeyHashes {
		f.requiref(hashPattern.MatchString(hash), "key_hashes: %q is not 64 lower-case hex digits", hash)
		if owner := customerWithKey(state, hash); owner != "" && owner != name {
			f.addf("key_hashes: a key is already in use by another customer")
		}
	}
	f.requiref(c.RequestsPerSecond >= 0, "requests_per_second: not negative")
	f.requiref(c.Burst >= 0, "burst: not negative")
	f.requiref(c.InFlight >= 0, "in_flight: not negative")
	f.requiref(c.TokensPerSecond >= 0, "tokens_per_second: not negative")
	f.requiref(c.Share >= 0, "share: not negative")
	f.requiref(c.Priority >= 0 && c.Priority <= maxPriority, "priority: 0 to %d", maxPriority)
	f.requiref(c.Balance == nil || (*c.Balance >= 0 && *c.Balance <= 1), "balance: 0 to 1")
}

func customerWithKey(state *config.State, hash string) string {
	for customer, c := range state.Contracts {
		if slices.Contains(c.KeyHashes, hash) {
			return customer
		}
	}
	return ""
}

func validatePool(f *validationErrors, state *config.State, name string, p config.Pool) {
	f.requiref(p.Name == name, "name %q: must be the item's name %q", p.Name, name)
	switch p.Kind {
	case config.TargetEngine, config.TargetEncoder, config.TargetRetriever, config.TargetReranker, config.TargetService:
	default:
		f.addf("kind %q: engine, encoder, retriever, reranker or service", p.Kind)
	}
	setsModel := p.Model != "" || p.Version != "" || p.Adapter != "" || p.Role != ""
	f.requiref(!setsModel || p.Kind == config.TargetEngine, "model, version, adapter, role: for engines only")
	f.requiref(p.Model != "" || (p.Version == "" && p.Role == "" && p.Adapter == ""), "version, adapter, role: need a model")
	f.requiref(p.Version != "" || len(p.AlsoVersions) == 0, "also_versions: need a version")
	old, found := state.Pools[name]
	if found && old.Kind != p.Kind {
		for _, user := range itemsUsingPool(state, name) {
			f.addf("kind: %s uses the pool as %s", user, old.Kind)
		}
	}
}

func validatePipeline(f *validationErrors, state *config.State, name string, p config.Pipeline) {
	f.requiref(p.Name == name, "name %q: must be the item's name %q", p.Name, name)
	f.requiref(len(p.Stages) > 0 && len(p.Stages) <= maxStages, "stages: 1 to %d", maxStages)
	f.requiref(p.DefaultTimeoutMS >= 0 && p.DefaultTimeoutMS <= maxTimeoutMS, "default_timeout_ms: 0 to %d", maxTimeoutMS)
	seen := map[string]bool{}
	for i, s := range p.Stages {
		f.requiref(namePattern.MatchString(s.Name), "stages[%d].name %q: not a name", i, s.Name)
		f.requiref(!seen[s.Name], "stages[%d].name %q: stands twice", i, s.Name)
		seen[s.Name] = true
		f.requiref(s.MaxTokens >= 0, "stages[%d].max_tokens: not negative", i)
		f.requiref(s.TopK >= 0, "stages[%d].top_k: not negative", i)
		pool, found := state.Pools[s.Pool]
		f.requiref(found, "stages[%d].pool %q: there is no such pool", i, s.Pool)
		f.requiref(!found || pool.Kind != config.TargetService, "stages[%d].pool %q: is a pool of plain services", i, s.Pool)
	}
}

var httpMethods = []string{"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"}

func validateService(f *validationErrors, state *config.State, name string, s config.Service) {
	f.requiref(s.Name == name, "name %q: must be the item's name %q", s.Name, name)
	pool, found := state.Pools[s.Pool]
	f.requiref(found, "pool %q: there is no such pool", s.Pool)
	f.requiref(!found || pool.Kind == config.TargetService, "pool %q: is a pool of kind %s", s.Pool, pool.Kind)
	f.requiref(len(s.Routes) > 0, "routes: one at least")
	for i, r := range s.Routes {
		f.requiref(slices.Contains(httpMethods, r.Method), "routes[%d].method %q: one of %s", i, r.Method, strings.Join(httpMethods, ", "))
		f.requiref(strings.HasPrefix(r.PathPrefix, "/"), "routes[%d].path_prefix %q: must start with /", i, r.PathPrefix)
	}
}

func validateStop(f *validationErrors, name string, s config.Stop) {
	f.requiref(s.ID == name, "id %q: must be the item's name %q", s.ID, name)
	f.requiref(s.Subject == config.StopTarget || s.Subject == config.StopVM, "on %q: target or vm", s.Subject)
	_, err := netip.ParseAddrPort(s.Address)
	f.requiref(err == nil, "address %q: IP:port", s.Address)
}

func validateDelete(f *validationErrors, state *config.State, req Request) {
	f.requiref(len(req.Body) == 0, "body: none for a deletion")
	f.requiref(exists(state, req.Kind, req.Name), "%s %q: there is no such item", req.Kind, req.Name)
	if req.Kind != config.KindPool {
		return
	}
	for _, user := range itemsUsingPool(state, req.Name) {
		f.addf("%s uses the pool", user)
	}
}

func exists(state *config.State, kind config.Kind, name string) bool {
	last, found := state.LastChanges[config.ItemKey(kind, name)]
	return found && !last.Deleted
}

// itemsUsingPool returns the keys of the pipelines and services that use a
// pool, sorted.
func itemsUsingPool(state *config.State, pool string) []string {
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
