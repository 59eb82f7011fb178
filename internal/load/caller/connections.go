package caller

import (
	"net"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
)

const (
	dialTimeout     = 300 * time.Millisecond
	connsPerEntry   = 8192
	idleConnTimeout = 5 * time.Second
	readBuffer      = 8 << 10
)

// connections holds one HTTP client for each address. The clients never retry by
// themselves: the caller must count every try.
type connections struct {
	// mu guards clients.
	mu      sync.Mutex
	clients map[string]*fasthttp.HostClient
	// idleTimeoutShare is the share of the time left to a request after which a
	// connection without received data fails; zero disables this timeout.
	idleTimeoutShare float64
}

func newConnections(idleTimeoutShare float64) *connections {
	return &connections{clients: map[string]*fasthttp.HostClient{}, idleTimeoutShare: idleTimeoutShare}
}

func (c *connections) clientFor(address string) *fasthttp.HostClient {
	c.mu.Lock()
	defer c.mu.Unlock()
	client, found := c.clients[address]
	if !found {
		client = c.newHostClient(address)
		c.clients[address] = client
	}
	return client
}

func (c *connections) newHostClient(address string) *fasthttp.HostClient {
	return &fasthttp.HostClient{
		Addr:                      address,
		MaxConns:                  connsPerEntry,
		MaxIdleConnDuration:       idleConnTimeout,
		MaxIdemponentCallAttempts: 1,
		RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		ReadBufferSize:            readBuffer,
		NoDefaultUserAgentHeader:  true,
		DisablePathNormalizing:    true,
		Dial:                      c.dial,
	}
}

func (c *connections) dial(address string) (net.Conn, error) {
	conn, err := net.DialTimeout("tcp", address, dialTimeout)
	if err != nil || c.idleTimeoutShare <= 0 {
		return conn, err
	}
	return &idleTimeoutConn{Conn: conn, share: c.idleTimeoutShare}, nil
}

// close closes idle connections only.
func (c *connections) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, client := range c.clients {
		client.CloseIdleConnections()
	}
}
