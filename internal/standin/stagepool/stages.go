package stagepool

import (
	"cmp"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"

	"github.com/vanillagate/vanillagate/internal/standin/bounds"
	"github.com/vanillagate/vanillagate/internal/standin/engine"
	"github.com/vanillagate/vanillagate/internal/standin/target"
	"github.com/vanillagate/vanillagate/internal/targetapi"
)

const (
	vectorLength   = 16
	defaultResults = 4
	noRef          = "none"
)

// Encoder is a target that serves the embeddings endpoint.
type Encoder struct{ Server *Server }

// Crash does nothing: an encoder has no state.
func (Encoder) Crash() {}

// Handle answers one call.
func (e Encoder) Handle(c *target.Call) {
	if e.Server.HandleCommon(c) || !checkEndpoint(c, targetapi.PathEmbeddings) {
		return
	}
	var r targetapi.EmbeddingRequest
	if !c.Decode(&r) {
		return
	}
	words := len(strings.Fields(r.Input))
	e.Server.Run(c, Job{Items: words, Answer: func() any {
		return targetapi.EmbeddingAnswer{
			Model: r.Model,
			Data:  []targetapi.EmbeddingData{{Embedding: Vector(r.Input)}},
			Usage: targetapi.Usage{PromptTokens: words},
		}
	}})
}

// Vector derives an embedding from a hash of the input.
func Vector(input string) []float32 {
	seed := hash(input)
	rng := rand.New(rand.NewPCG(seed, seed))
	vector := make([]float32, vectorLength)
	for i := range vector {
		vector[i] = rng.Float32()*2 - 1
	}
	return vector
}

// Retriever is a target that serves the search endpoint.
type Retriever struct{ Server *Server }

// Crash does nothing: a retriever has no state.
func (Retriever) Crash() {}

// Handle answers one call.
func (e Retriever) Handle(c *target.Call) {
	if e.Server.HandleCommon(c) || !checkEndpoint(c, targetapi.PathSearch) {
		return
	}
	var r targetapi.SearchRequest
	if !c.Decode(&r) {
		return
	}
	results := Search(r)
	e.Server.Run(c, Job{Items: len(results), Answer: func() any {
		return targetapi.SearchAnswer{Query: r.Query, Data: results}
	}})
}

// Search generates documents that contain the last reference of the query, or
// noRef if it has none.
func Search(r targetapi.SearchRequest) []targetapi.SearchResult {
	bounds.OrDefault(&r.MaxResults, defaultResults)
	ref, found := engine.LastRef(r.Query)
	if !found {
		ref = noRef
	}
	results := make([]targetapi.SearchResult, 0, max(r.MaxResults, 0))
	for n := range max(r.MaxResults, 0) {
		results = append(results, targetapi.SearchResult{
			FileID:  fmt.Sprintf("file-%d", n),
			Score:   1 / float64(n+1),
			Content: fmt.Sprintf("doc %d for [ref:%s]", n, ref),
		})
	}
	return results
}

// Reranker is a target that serves the rerank endpoint.
type Reranker struct{ Server *Server }

// Crash does nothing: a reranker has no state.
func (Reranker) Crash() {}

// Handle answers one call.
func (e Reranker) Handle(c *target.Call) {
	if e.Server.HandleCommon(c) || !checkEndpoint(c, targetapi.PathRerank) {
		return
	}
	var r targetapi.RerankRequest
	if !c.Decode(&r) {
		return
	}
	e.Server.Run(c, Job{Items: len(r.Documents), Answer: func() any {
		return targetapi.RerankAnswer{ID: c.Identity(), Results: Rerank(r)}
	}})
}

// Rerank orders the documents by a hash of query and document, best first.
func Rerank(r targetapi.RerankRequest) []targetapi.RerankResult {
	results := make([]targetapi.RerankResult, 0, len(r.Documents))
	for i, d := range r.Documents {
		seed := hash(r.Query + "\x00" + d)
		score := rand.New(rand.NewPCG(seed, seed)).Float64() // gives similar inputs unrelated scores
		results = append(results, targetapi.RerankResult{Index: i, Score: score})
	}
	slices.SortFunc(results, func(a, b targetapi.RerankResult) int {
		return cmp.Or(cmp.Compare(b.Score, a.Score), cmp.Compare(a.Index, b.Index))
	})
	if r.TopN > 0 && r.TopN < len(results) {
		results = results[:r.TopN]
	}
	return results
}

func checkEndpoint(c *target.Call, path string) bool {
	if c.Request.Method == http.MethodPost && c.Request.URL.Path == path {
		return true
	}
	c.Refuse(http.StatusNotFound, "path", "No such call", c.Request.URL.Path)
	return false
}

func hash(s string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(s)) // a hash's Write never fails
	return h.Sum64()
}
