package backing

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"
)

// StoreConfig says how to reach the table service or the object store.
type StoreConfig struct {
	// URL is the base endpoint, such as http://10.0.0.1:8000.
	URL string
	// Region, AccessKey and SecretKey sign the requests.
	Region    string
	AccessKey string
	SecretKey string
	HTTP      HTTPConfig
}

// HTTPConfig bounds the connections to one service of the platform.
type HTTPConfig struct {
	// Connections bounds the connections that are open at once.
	Connections int
	// DialTimeout bounds the connecting, CallTimeout the whole call.
	DialTimeout time.Duration
	CallTimeout time.Duration
}

// DefaultHTTPConfig suits one entry VM.
func DefaultHTTPConfig() HTTPConfig {
	return HTTPConfig{Connections: 32, DialTimeout: 500 * time.Millisecond, CallTimeout: 2 * time.Second}
}

const (
	idleConnTimeout  = 30 * time.Second
	maxResponseBytes = 64 << 10 // of header
)

// HTTPClient is the client that the SDKs of the platform's services use. Its
// errors match ErrNotRun where no byte of the request can have been sent.
type HTTPClient struct{ client *http.Client }

// NewHTTPClient builds a client with connections of its own.
func NewHTTPClient(cfg HTTPConfig) *HTTPClient {
	dialer := &net.Dialer{Timeout: cfg.DialTimeout}
	transport := &http.Transport{
		DialContext:            dialer.DialContext,
		MaxConnsPerHost:        cfg.Connections,
		MaxIdleConns:           cfg.Connections,
		MaxIdleConnsPerHost:    cfg.Connections,
		IdleConnTimeout:        idleConnTimeout,
		MaxResponseHeaderBytes: maxResponseBytes,
		DisableCompression:     true,
	}
	return &HTTPClient{client: &http.Client{Transport: transport, Timeout: cfg.CallTimeout, CheckRedirect: noRedirect}}
}

func noRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// Do sends one request. A write that is said to have had no effect may be
// made again, so ErrNotRun is said only in two cases: no connection was ever
// given to the request, or the last thing that failed was dialing. In the
// second case an earlier connection may have been given to it, but net/http
// goes on to dial for a request that is not replayable only after it knows
// that nothing was written. A cancelled call that had a connection is not
// among them: the connection's writer may still be sending it.
func (c *HTTPClient) Do(req *http.Request) (*http.Response, error) {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	resp, err := c.client.Do(req.WithContext(httptrace.WithClientTrace(req.Context(), trace)))
	if err == nil {
		return resp, nil
	}
	if !connected.Load() || isDialError(err) {
		return nil, fmt.Errorf("%w: %w", ErrNotRun, err)
	}
	return nil, err
}

func isDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}
