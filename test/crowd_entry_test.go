package test

import (
	"crypto/tls"
	"fmt"
	"io"
	"net"
	"net/http"
	"os/exec"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// entryCrowdSize is the number of connections that send bodies to a vanillagate process.
const entryCrowdSize = 400

// startCrowdEntry starts a cluster whose first entry VM has the stated memory and descriptors.
func startCrowdEntry(t *testing.T, maxFDs int, flags ...string) (*cluster, *entryVM) {
	t.Helper()
	c := startCluster(t, clusterOptions{})
	// The limits are stated in the environment, which processes of earlier releases ignore.
	limits := []string{fmt.Sprintf("VANILLAGATE_MEMORY_MB=%d", crowdMemoryMB), fmt.Sprintf("VANILLAGATE_MAX_FDS=%d", maxFDs)}
	c.entries[0].kill(t)
	next := *c.entries[0]
	next.args = append(next.args[:len(next.args):len(next.args)], flags...)
	next.process = launchCommand(t, next.name+" (limited)", func(cmd *exec.Cmd) { cmd.Env = append(cmd.Environ(), limits...) }, "vanillagate", next.args...)
	c.entries[0] = &next
	return c, &next
}

func askEntry(t *testing.T, address string) {
	t.Helper()
	var got reply
	for range 10 {
		got = sendNow(address, pipelineRequest("O", 4))
		if got.err != nil || !isPromise(got.status) {
			break
		}
		time.Sleep(time.Second)
	}
	assert.Equal(t, got.output(t), wholeText("O", 4))
}

func runEntryCrowd(t *testing.T, maxFDs, n int, write func(i int, conn net.Conn) error) {
	t.Helper()
	c, entry := startCrowdEntry(t, maxFDs)
	c.waitReady(entry)
	runCrowd(t, []*process{entry.process}, maxFDs, func() { askEntry(t, entry.address) }, func(members *crowd) {
		members.send(dialTo(entry.address), n, write)
	})
}

// entryText returns a function that writes a request to the default pipeline. key is empty for a caller without one.
func entryText(key, framing string, body []byte) func(int, net.Conn) error {
	head := "POST /v1/pipelines/quote HTTP/1.1\r\nHost: x\r\n"
	if key != "" {
		head += "Authorization: Bearer " + key + "\r\n"
	}
	return func(_ int, conn net.Conn) error {
		if _, err := io.WriteString(conn, head+framing); err != nil {
			return err
		}
		_, err := conn.Write(body)
		return err
	}
}

// Guards against bodies whose memory is taken when their length is announced.
func TestCrowdOfAnnouncedLengthsAtEntry(t *testing.T) {
	runEntryCrowd(t, crowdFDs, entryCrowdSize, entryText("", lengthFraming(bodyLimit), nil))
}

// Guards against unfinished bodies in chunks that together fill the memory.
func TestCrowdOfUnfinishedChunksAtEntry(t *testing.T) {
	runEntryCrowd(t, crowdFDs, entryCrowdSize, entryText("", chunkedFraming, unfinishedChunks(1031)))
}

// Guards against whole bodies of requests that are being served, which together fill the memory.
func TestCrowdOfWholeBodiesAtEntry(t *testing.T) {
	body := fmt.Sprintf(`{"input":"%s","max_tokens":4}`, strings.Repeat("hall ", bodyLimit/6))
	runEntryCrowd(t, crowdFDs, entryCrowdSize, entryText(customerKey, lengthFraming(len(body)), []byte(body)))
}

// Guards against connections that send nothing and use up the descriptors.
func TestCrowdOfSilentConnectionsAtEntry(t *testing.T) {
	runEntryCrowd(t, fewFDs, heldConns, func(int, net.Conn) error { return nil })
}

// runTLSCrowd sends a crowd over TLS.
func runTLSCrowd(t *testing.T, n int, write func(i int, conn net.Conn) error) {
	t.Helper()
	cert, key, trusted := selfSignedCert(t)
	_, entry := startCrowdEntry(t, crowdFDs, "--tls-cert", cert, "--tls-key", key)
	config := &tls.Config{RootCAs: trusted}
	https := &http.Client{Transport: &http.Transport{TLSClientConfig: config, DisableKeepAlives: true}}
	ordinary := func() {
		waitFor(t, "an answer over TLS", func() bool {
			req := pipelineRequest("O", 4).build(entry.address)
			req.URL.Scheme = "https"
			got := sendBy(https, req)
			return got.err == nil && got.status == http.StatusOK
		})
	}
	runCrowd(t, []*process{entry.process}, crowdFDs, ordinary, func(members *crowd) {
		members.send(func() (net.Conn, error) { return tls.Dial("tcp", entry.address, config) }, n, write)
	})
}

// Guards against unfinished bodies over TLS that together fill the memory.
func TestCrowdOverTLSAtEntry(t *testing.T) {
	runTLSCrowd(t, crowdSize, entryText("", lengthFraming(bodyLimit), make([]byte, bodyLimit-1)))
}

// Guards against connections over TLS, half of them with unfinished bodies, that together fill the memory.
func TestCrowdOfConnectionsOverTLSAtEntry(t *testing.T) {
	body := entryText("", lengthFraming(bodyLimit), make([]byte, bodyLimit-1))
	runTLSCrowd(t, headConns, func(i int, conn net.Conn) error {
		if i%2 == 1 {
			return body(i, conn)
		}
		_, err := io.WriteString(conn, "POST /v1/pipelines/quote HTTP/1.1\r\n")
		return err
	})
}
