package backing

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"sync/atomic"
	"time"

	"github.com/vanillagate/vanillagate/internal/conns"
	"github.com/vanillagate/vanillagate/internal/framing"
	"github.com/vanillagate/vanillagate/internal/headers"
)

// StoreConfig configures the connection to the table service or the object store.
type StoreConfig struct {
	// URL is the base endpoint, such as http://10.0.0.1:8000.
	URL string
	// Region, AccessKey and SecretKey are used to sign the requests.
	Region    string
	AccessKey string
	SecretKey string
	HTTP      HTTPConfig
}

// HTTPConfig limits the connections and calls to one service of the platform.
type HTTPConfig struct {
	// Connections is the maximum number of open connections.
	Connections int
	// DialTimeout bounds connecting, CallTimeout the whole call.
	DialTimeout time.Duration
	CallTimeout time.Duration
}

// DefaultHTTPConfig returns the limits for one entry VM.
func DefaultHTTPConfig() HTTPConfig {
	return HTTPConfig{Connections: 32, DialTimeout: 500 * time.Millisecond, CallTimeout: 2 * time.Second}
}

const (
	idleConnTimeout        = 30 * time.Second
	maxResponseHeaderBytes = 64 << 10
	// maxErrorBytes limits the body of an answer that isn't a success. The SDKs read it as a whole.
	maxErrorBytes = 256 << 10
	// maxStatus is the highest status code that there is.
	maxStatus = 599
)

// HTTPClient is the HTTP client for the services of the platform. Its errors match ErrNotRun if no
// byte of the request can have been sent.
type HTTPClient struct {
	client       *http.Client
	maxBodyBytes int64
}

// NewHTTPClient returns a client with its own connection pool. Reading a body of a success fails beyond maxBodyBytes.
func NewHTTPClient(cfg HTTPConfig, maxBodyBytes int64) *HTTPClient {
	dialer := &net.Dialer{Timeout: cfg.DialTimeout}
	transport := &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return conns.ReportResets(conn), nil // net/http writes a request while it reads the answer
		},
		MaxConnsPerHost:        cfg.Connections,
		MaxIdleConns:           cfg.Connections,
		MaxIdleConnsPerHost:    cfg.Connections,
		IdleConnTimeout:        idleConnTimeout,
		MaxResponseHeaderBytes: maxResponseHeaderBytes,
		DisableCompression:     true,
	}
	return &HTTPClient{
		client:       &http.Client{Transport: transport, Timeout: cfg.CallTimeout, CheckRedirect: noRedirect},
		maxBodyBytes: maxBodyBytes,
	}
}

func noRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// Do sends one request. Callers may repeat a write that failed with ErrNotRun, so
// it is returned in two cases only: the request never got a connection, or the
// last error came from dialing. In the second case the request may have had a
// connection before, but net/http dials again for a request that is not replayable
// only if it knows that nothing was written. A cancelled call that had a connection
// does not count as not run: the connection may still be writing it.
func (c *HTTPClient) Do(req *http.Request) (*http.Response, error) {
	var conn atomic.Pointer[net.Conn]
	trace := &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) { conn.Store(&info.Conn) },
		Got1xxResponse: func(status int, header textproto.MIMEHeader) error {
			return checkHead(status, http.Header(header))
		},
	}
	resp, err := c.client.Do(req.WithContext(httptrace.WithClientTrace(req.Context(), trace)))
	if err != nil {
		if conn.Load() == nil || isDialError(err) {
			return nil, fmt.Errorf("%w: %w", ErrNotRun, err)
		}
		return nil, err
	}
	if err := checkHead(resp.StatusCode, resp.Header); err != nil {
		_ = resp.Body.Close()
		_ = (*conn.Load()).Close() // net/http keeps it after an answer without a body
		return nil, err
	}
	resp.Body = http.MaxBytesReader(nil, resp.Body, c.maxBytes(resp.StatusCode))
	return resp, nil
}

// checkHead returns an error for a head that net/http takes although it isn't HTTP.
func checkHead(status int, header http.Header) error {
	if status < http.StatusContinue || status > maxStatus {
		return fmt.Errorf("%w: %d", framing.ErrStatus, status)
	}
	for name := range header {
		if !headers.IsToken(name) {
			return fmt.Errorf("%w: %q", framing.ErrFieldName, name)
		}
	}
	return nil
}

// maxBytes returns the maximum size of the body of an answer.
func (c *HTTPClient) maxBytes(status int) int64 {
	if status >= http.StatusOK && status < http.StatusMultipleChoices {
		return c.maxBodyBytes
	}
	return min(c.maxBodyBytes, maxErrorBytes)
}

func isDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}
