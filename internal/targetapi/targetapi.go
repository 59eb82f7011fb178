// Package targetapi defines the public formats that targets speak: the OpenAI
// calls for completions, embeddings and vector store search, the rerank and
// LoRA adapter calls of common model servers, and ORCA load reports. The
// clients and the simulated targets share these types.
package targetapi

// Header names.
const (
	// HeaderRequestID carries the identity of one attempt at one stage of one
	// request, "request/stage/attempt". A target echoes it unchanged.
	HeaderRequestID = "X-Request-Id"
	// HeaderCustomer names the customer for whom a call is made.
	HeaderCustomer = "X-Customer"
	// HeaderFencingToken carries a fencing token in decimal.
	HeaderFencingToken = "Fencing-Token"
	// HeaderLoad carries the ORCA load report of an answer: "JSON {...}".
	HeaderLoad = "Endpoint-Load-Metrics"
	// HeaderModelVersion names the version of the model that answered.
	HeaderModelVersion = "X-Model-Version"
	// HeaderIdempotencyKey carries the caller's key of a non-idempotent call.
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderEngineTime is the processing time of an answer at its target, in
	// microseconds.
	HeaderEngineTime = "X-Engine-Time-Us"
)

// Paths of the calls.
const (
	PathCompletions   = "/v1/completions"
	PathEmbeddings    = "/v1/embeddings"
	PathSearch        = "/v1/vector_stores/main/search"
	PathRerank        = "/v1/rerank"
	PathLoad          = "/load"                   // GET, ORCA report as JSON
	PathModels        = "/v1/models"              // GET
	PathLoadAdapter   = "/v1/load_lora_adapter"   // POST
	PathUnloadAdapter = "/v1/unload_lora_adapter" // POST
	PathSetModel      = "/v1/set_model"           // POST, model, version and role
	PathCacheEvents   = "/kv_events"              // GET, ?after=SEQ
	PathHealth        = "/health"                 // GET
)

// CompletionRequest asks an engine to continue a prompt.
type CompletionRequest struct {
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	Stream    bool   `json:"stream,omitempty"`
	// Priority: lower is more urgent.
	Priority int    `json:"priority,omitempty"`
	User     string `json:"user,omitempty"`
}

// CompletionChoice is one completion, or a piece of it in a stream.
type CompletionChoice struct {
	Index        int     `json:"index"`
	Text         string  `json:"text"`
	FinishReason *string `json:"finish_reason"`
}

// Usage is the token usage of a call.
type Usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	// CachedTokens is the number of prompt tokens found in the prefix cache.
	CachedTokens int `json:"cached_tokens"`
}

// Completion is a whole answer, or one event of a stream. ID is "cmpl-"
// followed by the request id. A stream ends with an event that carries Usage
// and a finish reason, then "data: [DONE]".
type Completion struct {
	ID      string             `json:"id"`
	Model   string             `json:"model"`
	Choices []CompletionChoice `json:"choices"`
	Usage   *Usage             `json:"usage,omitempty"`
}

// EmbeddingRequest asks an encoder for a vector.
type EmbeddingRequest struct {
	Model string `json:"model"`
	Input string `json:"input"`
}

// EmbeddingData is one vector.
type EmbeddingData struct {
	Index     int       `json:"index"`
	Embedding []float32 `json:"embedding"`
}

// EmbeddingAnswer is an encoder's answer.
type EmbeddingAnswer struct {
	Model string          `json:"model"`
	Data  []EmbeddingData `json:"data"`
	Usage Usage           `json:"usage"`
}

// SearchRequest asks a retriever for documents.
type SearchRequest struct {
	Query      string    `json:"query"`
	Vector     []float32 `json:"vector,omitempty"`
	MaxResults int       `json:"max_num_results"`
}

// SearchResult is one document.
type SearchResult struct {
	FileID  string  `json:"file_id"`
	Score   float64 `json:"score"`
	Content string  `json:"content"`
}

// SearchAnswer is a retriever's answer.
type SearchAnswer struct {
	Query string         `json:"search_query"`
	Data  []SearchResult `json:"data"`
}

// RerankRequest asks a reranker to score and order documents.
type RerankRequest struct {
	Model     string   `json:"model"`
	Query     string   `json:"query"`
	Documents []string `json:"documents"`
	TopN      int      `json:"top_n"`
}

// RerankResult is one document's score. Index is its position in the request.
type RerankResult struct {
	Index int     `json:"index"`
	Score float64 `json:"relevance_score"`
}

// RerankAnswer is a reranker's answer. ID is the request id.
type RerankAnswer struct {
	ID      string         `json:"id"`
	Results []RerankResult `json:"results"`
}

// LoadReport is a target's ORCA load report. It lags behind the actual load.
type LoadReport struct {
	// Utilization is 0 to 1, and above 1 when requests wait.
	Utilization float64 `json:"application_utilization"`
	Named       struct {
		Running float64 `json:"running"`
		Waiting float64 `json:"waiting"`
		// CacheUsage is the used share of the prefix cache, 0 to 1.
		CacheUsage float64 `json:"cache_usage"`
	} `json:"named_metrics"`
}

// ModelCard is one entry of the model list.
type ModelCard struct {
	ID      string `json:"id"`
	Version string `json:"version"`
	Parent  string `json:"parent,omitempty"` // set for an adapter
	Role    string `json:"role,omitempty"`
}

// ModelList answers GET /v1/models.
type ModelList struct {
	Data []ModelCard `json:"data"`
}

// AdapterRequest loads or unloads a LoRA adapter.
type AdapterRequest struct {
	LoraName string `json:"lora_name"`
	LoraPath string `json:"lora_path,omitempty"`
}

// SetModelRequest makes an engine serve a model in a version and role.
type SetModelRequest struct {
	Model   string `json:"model"`
	Version string `json:"version"`
	Role    string `json:"role,omitempty"`
}

// CacheEventKind says what happened to cached blocks.
type CacheEventKind string

// The kinds of cache events.
const (
	BlockStored      CacheEventKind = "BlockStored"
	BlockRemoved     CacheEventKind = "BlockRemoved"
	AllBlocksCleared CacheEventKind = "AllBlocksCleared"
)

// CacheEvent is one entry of an engine's event feed. Seq has gaps where events
// were lost.
type CacheEvent struct {
	Seq  uint64         `json:"seq"`
	Kind CacheEventKind `json:"type"`
	// Hashes are FNV-1a 64 hashes of the prompt up to the end of each block of
	// CacheBlockBytes bytes, in lower-case hex.
	Hashes []string `json:"block_hashes"`
}

// CacheBlockBytes is the size of one block of the prefix cache, in prompt
// bytes.
const CacheBlockBytes = 64

// CacheEvents answers GET /kv_events.
type CacheEvents struct {
	Events []CacheEvent `json:"events"`
	Next   uint64       `json:"next"`
}
