package peer

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/binary"
	"io"
	"math/big"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// A process without the shared key connects to a node, by misconfiguration or on
// purpose. It must learn nothing and change nothing, and the node must keep
// working.
func TestWrongKey(t *testing.T) {
	c := newCluster(t)
	nodes := c.startMany(3, "r1", "a")
	waitAgreed(t, nodes)
	opts := c.options("r1", "a")
	opts.Keys = []string{"another key of the tests"}
	wrongKeyNode := c.start(opts)
	assert.NilError(t, wrongKeyNode.Publish(TopicStop, "k", 1, time.Minute, 1))
	wait(t, func() poll.Result {
		if nodes[0].traffic.refused.Count() == 0 && nodes[1].traffic.refused.Count() == 0 {
			return poll.Continue("no handshake refused yet")
		}
		return poll.Success()
	})
	waitAgreed(t, nodes)
	assert.Equal(t, len(wrongKeyNode.Members()), 0)
	for _, n := range nodes {
		assert.Equal(t, len(n.Items(TopicStop)), 0)
	}
}

// A client connects and sends JSON-RPC without a handshake, or announces a huge
// handshake message. The node must send nothing back and close the connection.
func TestNothingIsServedBeforeTheHandshake(t *testing.T) {
	c := newCluster(t)
	n := c.start(c.options("r1", "a"))
	for _, opening := range []string{
		`{"jsonrpc":"2.0","method":"digest","id":1}`,
		"\x7f\xff\xff\xff",
		"\x00\x00\x00\x02{}",
		"",
	} {
		conn, err := net.Dial("tcp", n.Self().PeerAddress)
		assert.NilError(t, err)
		_, err = conn.Write([]byte(opening))
		assert.NilError(t, err)
		assert.NilError(t, conn.SetReadDeadline(time.Now().Add(30*time.Second)))
		got, err := io.ReadAll(conn)
		assert.Assert(t, !isTimeout(err), "the connection was kept open")
		assert.Equal(t, len(got), 0)
	}
}

func isTimeout(err error) bool {
	timeout, found := err.(net.Error)
	return found && timeout.Timeout()
}

// corruptingConn flips one bit in every frame above a minimum size while it is
// switched on, like a man in the middle.
type corruptingConn struct {
	net.Conn
	on *atomic.Bool
}

func (f *corruptingConn) Write(data []byte) (int, error) {
	if !f.on.Load() || len(data) < 2*macBytes {
		return f.Conn.Write(data)
	}
	changed := append([]byte{}, data...)
	length := binary.BigEndian.Uint32(changed)
	changed[lengthBytes+length/2] ^= 1
	return f.Conn.Write(changed)
}

// A man in the middle changes messages after the handshake. The receiver must
// accept none of them: it closes the link, and a new one is opened.
func TestTamperedMessagesAreRejected(t *testing.T) {
	c := newCluster(t)
	opts := c.options("r1", "a")
	opts.Dial = func(context.Context, string) (net.Conn, error) { return nil, net.ErrClosed }
	receiver, err := New(opts)
	assert.NilError(t, err)
	assert.NilError(t, receiver.Start(t.Context()))
	t.Cleanup(receiver.Close)
	c.mu.Lock()
	c.seeds = []string{receiver.Self().PeerAddress}
	c.mu.Unlock()
	var on atomic.Bool
	opts = c.options("r1", "a")
	opts.Dial = func(ctx context.Context, to string) (net.Conn, error) {
		conn, err := dialTCP(ctx, to)
		return &corruptingConn{conn, &on}, err
	}
	sender, err := New(opts)
	assert.NilError(t, err)
	assert.NilError(t, sender.Start(t.Context()))
	t.Cleanup(sender.Close)
	waitAgreed(t, []*Node{sender, receiver})
	on.Store(true)
	assert.NilError(t, sender.Publish(TopicStop, "k", 1, time.Minute, "body"))
	waitAgreed(t, []*Node{receiver})
	assert.Equal(t, len(receiver.Items(TopicStop)), 0)
	on.Store(false)
	waitItems(t, receiver, TopicStop, 1)
}

// The shared key is rotated while all nodes run: the new key is added last
// everywhere, then moved to first place, then the old key is removed. No two nodes
// may lose each other at any step, and afterwards the old key is refused.
func TestKeyRotation(t *testing.T) {
	const newKey = "the next key of the tests"
	c := newCluster(t)
	nodes := c.startMany(4, "r1", "a")
	waitAgreed(t, nodes)
	deaths := nodes[0].deaths()
	for _, keys := range [][]string{{testKey, newKey}, {newKey, testKey}, {newKey}} {
		for _, n := range nodes {
			assert.NilError(t, n.SetKeys(keys))
			waitAgreed(t, nodes)
		}
	}
	opts := c.options("r1", "a")
	opts.Keys = []string{newKey}
	nodes = append(nodes, c.start(opts))
	waitAgreed(t, nodes)
	assert.Equal(t, nodes[0].deaths(), deaths)
	oldKeyNode := c.start(c.options("r1", "a"))
	wait(t, func() poll.Result {
		for _, n := range nodes {
			if n.traffic.refused.Count() > 0 {
				return poll.Success()
			}
		}
		return poll.Continue("the old key has not been refused yet")
	})
	assert.Equal(t, len(oldKeyNode.Members()), 0)
}

func TestTLS(t *testing.T) {
	c := newCluster(t)
	config := testTLS(t)
	var nodes []*Node
	for range 3 {
		opts := c.options("r1", "a")
		opts.TLS = config
		nodes = append(nodes, c.start(opts))
	}
	waitAgreed(t, nodes)
	plain := c.start(c.options("r1", "a"))
	wait(t, func() poll.Result {
		if nodes[0].traffic.refused.Count() == 0 {
			return poll.Continue("no handshake refused yet")
		}
		return poll.Success()
	})
	assert.Equal(t, len(plain.Members()), 0)
}

func testTLS(t *testing.T) *tls.Config {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(t, err)
	template := &x509.Certificate{
		SerialNumber:          big.NewInt(1),
		NotAfter:              time.Now().Add(time.Hour),
		IPAddresses:           []net.IP{net.IPv4(127, 0, 0, 1)},
		IsCA:                  true,
		BasicConstraintsValid: true,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	assert.NilError(t, err)
	cert, err := x509.ParseCertificate(der)
	assert.NilError(t, err)
	pool := x509.NewCertPool()
	pool.AddCert(cert)
	return &tls.Config{
		Certificates: []tls.Certificate{{Certificate: [][]byte{der}, PrivateKey: key}},
		RootCAs:      pool,
		ClientCAs:    pool,
		ClientAuth:   tls.RequireAndVerifyClientCert,
		MinVersion:   tls.VersionTLS13,
	}
}

func TestInvalidKeysAreRejected(t *testing.T) {
	for _, keys := range [][]string{nil, {""}, {"short"}, {testKey, ""}} {
		_, err := New(Options{Keys: keys})
		assert.Assert(t, err != nil, "%q", keys)
	}
}
