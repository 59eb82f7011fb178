package entry

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"strings"
	"sync/atomic"

	"github.com/valyala/fasthttp"

	"github.com/vanillagate/vanillagate/internal/config"
	"github.com/vanillagate/vanillagate/internal/problem"
)

const bearerPrefix = "Bearer "

// keyIndex finds a contract by the hash of an API key. It is rebuilt for each
// configuration revision. The map lookup is not constant-time, but its timing
// leaks nothing about a key: only someone who knows the key can choose its
// hash.
type keyIndex struct{ built atomic.Pointer[builtIndex] }

type builtIndex struct {
	revision config.Revision
	byHash   map[string]string // key hash to customer name
}

func (k *keyIndex) find(state *config.State, hash string) (config.Contract, bool) {
	index := k.built.Load()
	if index == nil || index.revision != state.Revision {
		index = buildIndex(state)
		k.built.Store(index)
	}
	contract, ok := state.Contracts[index.byHash[hash]]
	if !ok {
		return contract, false
	}
	for _, known := range contract.KeyHashes {
		if subtle.ConstantTimeCompare([]byte(known), []byte(hash)) == 1 {
			return contract, true
		}
	}
	return contract, false
}

func buildIndex(state *config.State) *builtIndex {
	index := &builtIndex{revision: state.Revision, byHash: map[string]string{}}
	for name, contract := range state.Contracts {
		for _, hash := range contract.KeyHashes {
			index.byHash[hash] = name
		}
	}
	return index
}

func keyHash(ctx *fasthttp.RequestCtx) string {
	header := string(ctx.Request.Header.Peek(fasthttp.HeaderAuthorization))
	key, found := strings.CutPrefix(header, bearerPrefix)
	if !found || key == "" {
		return ""
	}
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// authenticateCaller returns the contract that the caller's API key belongs to.
func (s *Server) authenticateCaller(ctx *fasthttp.RequestCtx) (config.Contract, *problem.Problem) {
	if !s.awaitReady() {
		return config.Contract{}, problem.New(503, "starting", "Starting",
			"This VM doesn't know what is in force yet.", problem.NotRun).WithRetryAfter(startingRetryAfter)
	}
	hash := keyHash(ctx)
	if hash != "" {
		if contract, ok := s.keys.find(s.keeper.State(), hash); ok {
			return contract, nil
		}
	}
	return config.Contract{}, problem.New(401, "wrong-key", "Wrong key",
		"Authorization must be Bearer and a key of a contract in force.", problem.NotRun)
}

// authenticateOperator returns the name of the operator that the key belongs
// to.
func (s *Server) authenticateOperator(ctx *fasthttp.RequestCtx) (string, *problem.Problem) {
	hash := []byte(keyHash(ctx))
	for _, op := range s.opts.Operators {
		if subtle.ConstantTimeCompare([]byte(op.Hash), hash) != 1 {
			continue
		}
		if op.Name != "" {
			return op.Name, nil
		}
		return string(ctx.Request.Header.Peek(headerOperator)), nil
	}
	return "", problem.New(401, "wrong-key", "Wrong key",
		"Authorization must be Bearer and an operator's key.", problem.NotRun)
}
