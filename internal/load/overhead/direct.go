// Package overhead measures what an entry VM adds to a request: the same four
// stages are called directly and through it, in turn, within one run.
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
	// documents is how many documents are retrieved and kept, as in the
	// pipeline that the entry VM runs.
	documents   = 4
	maxConns    = 4096
	dataPrefix  = "data: "
	endOfStream = "[DONE]"
)

// DirectClient calls one target of each stage without an entry VM in between. It is
// safe for concurrent use.
type DirectClient struct {
	encoder, retriever, reranker, engine *fasthttp.HostClient
	sent                                 atomic.Int64
}

// Targets are the IP:port of one target of each stage.
type Targets struct{ Encoder, Retriever, Reranker, Engine string }

// NewDirect makes a Direct.
func NewDirect(t Targets) *DirectClient {
	return &DirectClient{
		encoder: hostClient(t.Encoder), retriever: hostClient(t.Retriever),
		reranker: hostClient(t.Reranker), engine: hostClient(t.Engine),
	}
}

func hostClient(address string) *fasthttp.HostClient {
	return &fasthttp.HostClient{Addr: address, MaxConns: maxConns, MaxIdemponentCallAttempts: 1}
}

// Do runs one request through the four stages and returns what was generated.
func (d *DirectClient) Do(input string, maxTokens int, stream bool) (string, error) {
	identity := "direct-" + strconv.FormatInt(d.sent.Add(1), 10)
	var embedding targetapi.EmbeddingAnswer
	err := call(d.encoder, targetapi.PathEmbeddings, identity+"/encode/1", targetapi.EmbeddingRequest{Input: input}, &embedding)
	if err != nil {
		return "", err
	}
	if len(embedding.Data) != 1 {
		return "", errors.New("overhead: no embedding")
	}
	var found targetapi.SearchAnswer
	search := targetapi.SearchRequest{Query: input, Vector: embedding.Data[0].Embedding, MaxResults: documents}
	if err := call(d.retriever, targetapi.PathSearch, identity+"/retrieve/1", search, &found); err != nil {
		return "", err
	}
	ranked, err := d.rerank(identity, input, found)
	if err != nil {
		return "", err
	}
	order := targetapi.CompletionRequest{Prompt: promptOf(input, ranked), MaxTokens: maxTokens, Stream: stream}
	if stream {
		return d.stream(identity, order)
	}
	var completion targetapi.Completion
	if err := call(d.engine, targetapi.PathCompletions, identity+"/generate/1", order, &completion); err != nil {
		return "", err
	}
	return textOf(completion), nil
}

func (d *DirectClient) rerank(identity, input string, found targetapi.SearchAnswer) ([]string, error) {
	order := targetapi.RerankRequest{Query: input, TopN: documents}
	for _, result := range found.Data {
		order.Documents = append(order.Documents, result.Content)
	}
	var answer targetapi.RerankAnswer
	if err := call(d.reranker, targetapi.PathRerank, identity+"/rerank/1", order, &answer); err != nil {
		return nil, err
	}
	var ranked []string
	for _, result := range answer.Results {
		if result.Index < 0 || result.Index >= len(order.Documents) {
			return nil, fmt.Errorf("overhead: rerank names document %d", result.Index)
		}
		ranked = append(ranked, order.Documents[result.Index])
	}
	return ranked, nil
}

func promptOf(input string, ranked []string) string {
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

func textOf(completion targetapi.Completion) string {
	var text strings.Builder
	for _, choice := range completion.Choices {
		text.WriteString(choice.Text)
	}
	return text.String()
}

func newRequest(path, identity string, body any) (*fasthttp.Request, error) {
	raw, err := json.Marshal(body)
	if err != nil {
		return nil, err
	}
	req := fasthttp.AcquireRequest()
	req.Header.SetMethod(http.MethodPost)
	req.SetRequestURI("http://target" + path)
	req.Header.Set(targetapi.HeaderRequestID, identity)
	req.Header.SetContentType("application/json")
	req.SetBody(raw)
	return req, nil
}

func call(client *fasthttp.HostClient, path, identity string, body, into any) error {
	req, err := newRequest(path, identity, body)
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
		return fmt.Errorf("overhead: %s: %d %s", path, resp.StatusCode(), resp.Body())
	}
	return json.Unmarshal(resp.Body(), into)
}

func (d *DirectClient) stream(identity string, order targetapi.CompletionRequest) (string, error) {
	req, err := newRequest(targetapi.PathCompletions, identity+"/generate/1", order)
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
		var piece targetapi.Completion
		if err := json.Unmarshal([]byte(data), &piece); err != nil {
			return "", err
		}
		text.WriteString(textOf(piece))
	}
	return "", errors.Join(errors.New("overhead: stream has no end"), lines.Err())
}
