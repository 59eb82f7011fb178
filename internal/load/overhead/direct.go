// Package overhead measures the latency and CPU time that an entry VM adds to a
// request. Within one run, it alternately calls the same four stages directly
// and through the entry VM.
package overhead

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/vanillagate/vanillagate/internal/targetapi"
)

const (
	callTimeout = 10 * time.Second
	// documentCount is the number of documents that are retrieved and kept after
	// reranking, the same as in the pipeline that the entry VM runs.
	documentCount = 4
	maxConns      = 4096
	dataPrefix    = "data: "
	endOfStream   = "[DONE]"
)

// DirectClient runs the pipeline by calling one target of each stage directly,
// without an entry VM. It is safe for concurrent use.
type DirectClient struct {
	encoder, retriever, reranker, engine *fasthttp.HostClient
	sent                                 atomic.Int64
}

// Targets holds the address (IP:port) of one target for each stage.
type Targets struct{ Encoder, Retriever, Reranker, Engine string }

// NewDirectClient returns a client that calls the given targets.
func NewDirectClient(t Targets) *DirectClient {
	return &DirectClient{
		encoder: hostClient(t.Encoder), retriever: hostClient(t.Retriever),
		reranker: hostClient(t.Reranker), engine: hostClient(t.Engine),
	}
}

func hostClient(address string) *fasthttp.HostClient {
	return &fasthttp.HostClient{Addr: address, MaxConns: maxConns, MaxIdemponentCallAttempts: 1}
}

// Do runs one request through the four stages and returns the generated text.
func (d *DirectClient) Do(input string, maxTokens int, stream bool) (string, error) {
	requestID := "direct-" + strconv.FormatInt(d.sent.Add(1), 10)
	var embedding targetapi.EmbeddingAnswer
	err := call(d.encoder, targetapi.PathEmbeddings, requestID+"/encode/1", targetapi.EmbeddingRequest{Input: input}, &embedding)
	if err != nil {
		return "", err
	}
	if len(embedding.Data) != 1 {
		return "", errors.New("overhead: response must contain exactly one embedding")
	}
	var found targetapi.SearchAnswer
	search := targetapi.SearchRequest{Query: input, Vector: embedding.Data[0].Embedding, MaxResults: documentCount}
	if err := call(d.retriever, targetapi.PathSearch, requestID+"/retrieve/1", search, &found); err != nil {
		return "", err
	}
	ranked, err := d.rerank(requestID, input, found)
	if err != nil {
		return "", err
	}
	request := targetapi.CompletionRequest{Prompt: buildPrompt(input, ranked), MaxTokens: maxTokens, Stream: stream}
	if stream {
		return d.stream(requestID, request)
	}
	var completion targetapi.Completion
	if err := call(d.engine, targetapi.PathCompletions, requestID+"/generate/1", request, &completion); err != nil {
		return "", err
	}
	return completionText(completion), nil
}

func (d *DirectClient) rerank(requestID, input string, found targetapi.SearchAnswer) ([]string, error) {
	request := targetapi.RerankRequest{Query: input, TopN: documentCount}
	for _, result := range found.Data {
		request.Documents = append(request.Documents, result.Content)
	}
	var answer targetapi.RerankAnswer
	if err := call(d.reranker, targetapi.PathRerank, requestID+"/rerank/1", request, &answer); err != nil {
		return nil, err
	}
	var ranked []string
	for _, result := range answer.Results {
		if result.Index < 0 || result.Index >= len(request.Documents) {
			return nil, fmt.Errorf("overhead: rerank response has document index %d out of range", result.Index)
		}
		ranked = append(ranked, request.Documents[result.Index])
	}
	return ranked, nil
}

func buildPrompt(input string, ranked []string) string {
	var prompt strings.Builder
	for _, document := range ranked {
		prompt.WriteString("Document: ")
		prompt.WriteString(document)
		prompt.WriteByte('\n')
	}
	prompt.WriteString("Question: ")
	prompt.WriteString(input)
	prompt.WriteString("\nAnswer:")
	return prompt.String()
}

func completionText(completion targetapi.Completion) string {
	var text strings.Builder
	for _, choice := range completion.Choices {
		text.WriteString(choice.Text)
	}
	return text.String()
}

func newRequest(path, requestID string, body any) (*fasthttp.Request, error) {
	raw, err := json.Marshal(body)
	if err != nil {
		return nil, err
	}
	req := fasthttp.AcquireRequest()
	req.Header.SetMethod(http.MethodPost)
	req.SetRequestURI("http://target" + path)
	req.Header.Set(targetapi.HeaderRequestID, requestID)
	req.Header.SetContentType("application/json")
	req.SetBody(raw)
	return req, nil
}

func call(client *fasthttp.HostClient, path, requestID string, body, answer any) error {
	req, err := newRequest(path, requestID, body)
	if err != nil {
		return err
	}
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	if err := client.DoTimeout(req, resp, callTimeout); err != nil {
		return err
	}
	if resp.StatusCode() != http.StatusOK {
		return fmt.Errorf("overhead: %s: status %d: %s", path, resp.StatusCode(), resp.Body())
	}
	return json.Unmarshal(resp.Body(), answer)
}

func (d *DirectClient) stream(requestID string, request targetapi.CompletionRequest) (string, error) {
	req, err := newRequest(targetapi.PathCompletions, requestID+"/generate/1", request)
	if err != nil {
		return "", err
	}
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	resp.StreamBody = true
	if err := d.engine.DoTimeout(req, resp, callTimeout); err != nil {
		return "", err
	}
	defer func() { _ = resp.CloseBodyStream() }()
	return readStream(bufio.NewScanner(resp.BodyStream()))
}

func readStream(lines *bufio.Scanner) (string, error) {
	var text strings.Builder
	for lines.Scan() {
		data, found := strings.CutPrefix(lines.Text(), dataPrefix)
		if !found {
			continue
		}
		if data == endOfStream {
			return text.String(), nil
		}
		var chunk targetapi.Completion
		if err := json.Unmarshal([]byte(data), &chunk); err != nil {
			return "", err
		}
		text.WriteString(completionText(chunk))
	}
	return "", errors.Join(errors.New("overhead: stream ended without the [DONE] event"), lines.Err())
}
