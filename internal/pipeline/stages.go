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

// DefaultMaxTokens bounds a generation where neither caller nor stage does.
const DefaultMaxTokens = 64

const (
	defaultTopK = 4
	// candidateFactor is how many times more documents a retriever is asked for
	// than a later stage keeps.
	candidateFactor = 2
)

// encode makes the call of a stage that isn't a generation.
func (r *stageRun) encode() (path string, body any, ok bool) {
	switch r.pool.Kind {
	case config.TargetEncoder:
		return targetapi.PathEmbeddings, targetapi.EmbeddingRequest{Model: r.pool.Model, Input: r.w.req.Input}, true
	case config.TargetRetriever:
		return targetapi.PathSearch, targetapi.SearchRequest{
			Query: r.w.req.Input, Vector: r.w.vector, MaxResults: candidateFactor * r.topK(),
		}, true
	case config.TargetReranker:
		return targetapi.PathRerank, targetapi.RerankRequest{
			Model: r.pool.Model, Query: r.w.req.Input, Documents: r.docs, TopN: r.topK(),
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

// parsed is what an answer says, not yet part of the request's work: an answer
// that loses against a hedge must not leave a trace.
type parsed struct {
	vector []float32
	docs   []string
	usage  targetapi.Usage
}

// parse reads an answer of a stage that isn't a generation.
func (r *stageRun) parse(answer *target.Answer, id target.Identity) (parsed, error) {
	switch r.pool.Kind {
	case config.TargetEncoder:
		return parseEmbedding(answer.Body)
	case config.TargetRetriever:
		return parseSearch(answer.Body, r.w.req.Input)
	default:
		return parseRerank(answer.Body, id, r.docs)
	}
}

func parseEmbedding(body []byte) (parsed, error) {
	var a targetapi.EmbeddingAnswer
	if err := json.Unmarshal(body, &a); err != nil {
		return parsed{}, badFormat(err)
	}
	if len(a.Data) != 1 || len(a.Data[0].Embedding) == 0 {
		return parsed{}, badFormat(fmt.Errorf("embedding answer holds %d vectors", len(a.Data)))
	}
	return parsed{vector: a.Data[0].Embedding, usage: a.Usage}, nil
}

func parseSearch(body []byte, query string) (parsed, error) {
	var a targetapi.SearchAnswer
	if err := json.Unmarshal(body, &a); err != nil {
		return parsed{}, badFormat(err)
	}
	if a.Query != query {
		return parsed{}, notOurs(fmt.Errorf("search answer is for another query"))
	}
	p := parsed{}
	for _, d := range a.Data {
		p.docs = append(p.docs, d.Content)
	}
	return p, nil
}

func parseRerank(body []byte, id target.Identity, docs []string) (parsed, error) {
	var a targetapi.RerankAnswer
	if err := json.Unmarshal(body, &a); err != nil {
		return parsed{}, badFormat(err)
	}
	if a.ID != "" && a.ID != id.String() {
		return parsed{}, notOurs(fmt.Errorf("rerank answer is for %q", a.ID))
	}
	p := parsed{}
	named := make([]bool, len(docs))
	for _, res := range a.Results {
		if res.Index < 0 || res.Index >= len(docs) || named[res.Index] {
			return parsed{}, badFormat(fmt.Errorf("rerank names document %d of %d, or names it twice", res.Index, len(docs)))
		}
		named[res.Index] = true
		p.docs = append(p.docs, docs[res.Index])
	}
	return p, nil
}

func badFormat(err error) *target.Failure {
	return &target.Failure{Kind: target.FailedFormat, Execution: problem.Ran, Err: err}
}

func notOurs(err error) *target.Failure {
	return &target.Failure{Kind: target.FailedIdentity, Execution: problem.Unknown, Err: err}
}

// take makes an answer part of the request's work.
func (r *stageRun) take(p parsed) {
	if p.vector != nil {
		r.w.vector = p.vector
	}
	if p.docs != nil {
		r.w.docs = p.docs
	}
	r.w.usage.PromptTokens += p.usage.PromptTokens
}

// defaultInstructions stand before a prompt whose stage has none of its own.
const defaultInstructions = "Answer from the documents only."

// prompt is what an engine is asked to continue. What is the same for many
// requests comes first, so that engines find it in their prefix cache: the
// stage's instructions, then the input, which begins alike within a session.
// The documents differ with each request.
func (w *work) prompt(stage config.Stage) string {
	var b strings.Builder
	if stage.Instructions != "" {
		b.WriteString(stage.Instructions)
	} else {
		b.WriteString(defaultInstructions)
	}
	b.WriteString("\nQuestion: ")
	b.WriteString(w.req.Input)
	b.WriteByte('\n')
	for _, d := range w.docs {
		b.WriteString("Document: ")
		b.WriteString(d)
		b.WriteByte('\n')
	}
	if w.output != "" {
		b.WriteString("Draft: ")
		b.WriteString(w.output)
		b.WriteByte('\n')
	}
	b.WriteString("Answer:")
	return b.String()
}
