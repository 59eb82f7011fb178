package pipeline

import (
	"encoding/json"
	"fmt"
	"strings"

	"github.com/vanillagate/vanillagate/internal/config"
	"github.com/vanillagate/vanillagate/internal/problem"
	"github.com/vanillagate/vanillagate/internal/target"
	"github.com/vanillagate/vanillagate/internal/targetapi"
)

const contentJSON = "application/json"

// DefaultMaxTokens bounds a generation if neither the caller nor the stage
// does.
const DefaultMaxTokens = 64

const (
	defaultTopK = 4
	// overfetchFactor is how many times more documents a retriever is asked for
	// than a later stage keeps.
	overfetchFactor = 2
)

// buildCall builds the call of a stage that isn't a generation.
func (r *stageRun) buildCall() (path string, body any, ok bool) {
	switch r.pool.Kind {
	case config.TargetEncoder:
		return targetapi.PathEmbeddings, targetapi.EmbeddingRequest{Model: r.pool.Model, Input: r.state.req.Input}, true
	case config.TargetRetriever:
		return targetapi.PathSearch, targetapi.SearchRequest{
			Query: r.state.req.Input, Vector: r.state.vector, MaxResults: overfetchFactor * r.topK(),
		}, true
	case config.TargetReranker:
		return targetapi.PathRerank, targetapi.RerankRequest{
			Model: r.pool.Model, Query: r.state.req.Input, Documents: r.docs, TopN: r.topK(),
		}, true
	default:
		return "", nil, false
	}
}

func (r *stageRun) topK() int {
	if r.stage.TopK > 0 {
		return r.stage.TopK
	}
	return defaultTopK
}

// parsedAnswer is the content of an answer. It is not applied to the request's
// state until its attempt has won, because the answer of a losing attempt must
// have no effect.
type parsedAnswer struct {
	vector []float32
	docs   []string
	usage  targetapi.Usage
}

// parse parses an answer of a stage that isn't a generation.
func (r *stageRun) parse(answer *target.Answer, id target.Identity) (parsedAnswer, error) {
	switch r.pool.Kind {
	case config.TargetEncoder:
		return parseEmbedding(answer.Body)
	case config.TargetRetriever:
		return parseSearch(answer.Body, r.state.req.Input)
	default:
		return parseRerank(answer.Body, id, r.docs)
	}
}

func parseEmbedding(body []byte) (parsedAnswer, error) {
	var a targetapi.EmbeddingAnswer
	if err := json.Unmarshal(body, &a); err != nil {
		return parsedAnswer{}, badFormat(err)
	}
	if len(a.Data) != 1 || len(a.Data[0].Embedding) == 0 {
		return parsedAnswer{}, badFormat(fmt.Errorf("embedding answer has %d vectors, want one that is not empty", len(a.Data)))
	}
	return parsedAnswer{vector: a.Data[0].Embedding, usage: a.Usage}, nil
}

func parseSearch(body []byte, query string) (parsedAnswer, error) {
	var a targetapi.SearchAnswer
	if err := json.Unmarshal(body, &a); err != nil {
		return parsedAnswer{}, badFormat(err)
	}
	if a.Query != query {
		return parsedAnswer{}, identityMismatch(fmt.Errorf("search answer is for a different query"))
	}
	p := parsedAnswer{}
	for _, d := range a.Data {
		p.docs = append(p.docs, d.Content)
	}
	return p, nil
}

func parseRerank(body []byte, id target.Identity, docs []string) (parsedAnswer, error) {
	var a targetapi.RerankAnswer
	if err := json.Unmarshal(body, &a); err != nil {
		return parsedAnswer{}, badFormat(err)
	}
	if a.ID != "" && a.ID != id.String() {
		return parsedAnswer{}, identityMismatch(fmt.Errorf("rerank answer has ID %q, want %q", a.ID, id.String()))
	}
	p := parsedAnswer{}
	seen := make([]bool, len(docs))
	for _, res := range a.Results {
		if res.Index < 0 || res.Index >= len(docs) || seen[res.Index] {
			return parsedAnswer{}, badFormat(fmt.Errorf("rerank answer has index %d for %d documents, or repeats it", res.Index, len(docs)))
		}
		seen[res.Index] = true
		p.docs = append(p.docs, docs[res.Index])
	}
	return p, nil
}

func badFormat(err error) *target.Failure {
	return &target.Failure{Kind: target.FailedFormat, Execution: problem.Ran, Err: err}
}

func identityMismatch(err error) *target.Failure {
	return &target.Failure{Kind: target.FailedIdentity, Execution: problem.Unknown, Err: err}
}

// apply adds an answer to the request's state.
func (r *stageRun) apply(p parsedAnswer) {
	if p.vector != nil {
		r.state.vector = p.vector
	}
	if p.docs != nil {
		r.state.docs = p.docs
	}
	r.state.usage.PromptTokens += p.usage.PromptTokens
}

// defaultInstructions start the prompt of a stage that has none of its own.
const defaultInstructions = "Answer from the documents only."

// prompt builds the prompt for an engine. The parts that many requests share
// come first, so that engines find them in their prefix cache: the stage's
// instructions, then the input, which begins alike within a session. The
// documents differ for each request.
func (s *requestState) prompt(stage config.Stage) string {
	var b strings.Builder
	if stage.Instructions != "" {
		b.WriteString(stage.Instructions)
	} else {
		b.WriteString(defaultInstructions)
	}
	b.WriteString("\nQuestion: ")
	b.WriteString(s.req.Input)
	b.WriteByte('\n')
	for _, d := range s.docs {
		b.WriteString("Document: ")
		b.WriteString(d)
		b.WriteByte('\n')
	}
	if s.output != "" {
		b.WriteString("Draft: ")
		b.WriteString(s.output)
		b.WriteByte('\n')
	}
	b.WriteString("Answer:")
	return b.String()
}
