// Package test holds the tests with real processes: entry processes, stewards
// and stand-ins as programs, behind small relays that delay, cut, freeze and
// lose answers.
package test

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/vanillagate/vanillagate/internal/config"
	"github.com/vanillagate/vanillagate/internal/relay"
	"github.com/vanillagate/vanillagate/internal/standin/engine"
	"github.com/vanillagate/vanillagate/internal/standin/fleet"
	"github.com/vanillagate/vanillagate/internal/standin/stagepool"
	"github.com/vanillagate/vanillagate/internal/standin/vmlist"
)

const (
	operatorKey = "operator-key-of-the-tests"
	customerKey = "customer-key-of-the-tests"
	customer    = "granite-brook"
	peerKeys    = "0123456789abcdef0123456789abcdef"

	// waitTimeout bounds every wait for a condition.
	waitTimeout  = 30 * time.Second
	pollInterval = 20 * time.Millisecond
)

// process is one program that a test runs.
type process struct {
	name string
	cmd  *exec.Cmd
	log  *bytes.Buffer
	mu   sync.Mutex // guards log while the program writes
	done chan struct{}
	err  error // of Wait, set before done is closed
}

// Write takes in what the program logs.
func (p *process) Write(b []byte) (int, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.log.Write(b)
}

func (p *process) logs() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.log.String()
}

func (p *process) signal(t *testing.T, sig syscall.Signal) {
	t.Helper()
	assert.NilError(t, p.cmd.Process.Signal(sig))
}

// kill ends the program at once, as a VM that fails does.
func (p *process) kill(t *testing.T) {
	t.Helper()
	_ = p.cmd.Process.Kill()
	<-p.done
}

// waitExit waits for the program to end by itself and gives its exit code.
func (p *process) waitExit(t *testing.T, within time.Duration) int {
	t.Helper()
	select {
	case <-p.done:
		return p.cmd.ProcessState.ExitCode()
	case <-time.After(within):
		t.Fatalf("%s still runs after %s", p.name, within)
		return -1
	}
}

func binaryPath(name string) string {
	if dir := os.Getenv("VANILLAGATE_BIN"); dir != "" {
		return filepath.Join(dir, name)
	}
	return filepath.Join("..", "bin", name)
}

// launch starts a program that is ended with the test.
func launch(t *testing.T, name, binary string, args ...string) *process {
	t.Helper()
	return launchCommand(t, name, func(*exec.Cmd) {}, binary, args...)
}

// launchCommand starts a program after prepare has changed how.
func launchCommand(t *testing.T, name string, prepare func(*exec.Cmd), binary string, args ...string) *process {
	t.Helper()
	p := &process{name: name, log: &bytes.Buffer{}, done: make(chan struct{})}
	p.cmd = exec.Command(binaryPath(binary), args...)
	p.cmd.Stdout, p.cmd.Stderr = p, p
	prepare(p.cmd)
	assert.NilError(t, p.cmd.Start())
	go func() {
		p.err = p.cmd.Wait()
		close(p.done)
	}()
	t.Cleanup(func() {
		_ = p.cmd.Process.Signal(syscall.SIGCONT)
		_ = p.cmd.Process.Kill()
		<-p.done
		if t.Failed() {
			t.Logf("--- last logs of %s\n%s", name, lastLines(p.logs(), 25))
		}
	})
	return p
}

func lastLines(s string, n int) string {
	lines := strings.Split(strings.TrimSpace(s), "\n")
	return strings.Join(lines[max(0, len(lines)-n):], "\n")
}

// entryVM is one vanillagate process.
type entryVM struct {
	*process
	address     string
	peerAddress string
	zone        string
	args        []string
}

// cluster is a small deployment: stand-ins, entry VMs and stewards.
type cluster struct {
	t              *testing.T
	fleetFile      fleet.File
	controlAddress string
	standin        *process
	entries        []*entryVM
	// tableRelay is the relay that stands before the tableRelay service.
	tableRelay   *relay.Relay
	objectsRelay *relay.Relay
	// extraRelays are further relays that a test's flagsOf has put in.
	extraRelays []*relay.Relay
	// initialVMRows is the VM list as it was at first, once a test has changed it.
	initialVMRows []vmlist.Row
}

// clusterOptions says what a cluster is made of; the zero value is the usual one.
type clusterOptions struct {
	entries int // zero means 3
	// editFleet alters the fleet file before it is written.
	editFleet func(*fleet.File)
	// flags are further flags of every entry process.
	flags []string
	// flagsFor gives further flags of one entry process.
	flagsFor func(c *cluster, i int) []string
	// emptyConfig leaves the configuration empty.
	emptyConfig bool
}

var zones = []string{"a", "b", "c"}

// startCluster runs a deployment and waits until every entry VM serves with
// the usual configuration in force.
func startCluster(t *testing.T, s clusterOptions) *cluster {
	t.Helper()
	if s.entries == 0 {
		s.entries = 3
	}
	c := &cluster{t: t, fleetFile: defaultFleet(s.entries)}
	if s.editFleet != nil {
		s.editFleet(&c.fleetFile)
	}
	c.controlAddress = c.fleetFile.Control
	c.startStandins()
	c.tableRelay = c.startRelay(c.fleetFile.Table)
	c.objectsRelay = c.startRelay(c.fleetFile.Objects)
	for i := range s.entries {
		flags := s.flags
		if s.flagsFor != nil {
			flags = append(flags, s.flagsFor(c, i)...)
		}
		c.entries = append(c.entries, c.startEntry(c.fleetFile.Entries[i], flags...))
	}
	for _, e := range c.entries {
		c.waitReady(e)
	}
	if !s.emptyConfig {
		c.applyDefaultConfig()
	}
	return c
}

func (c *cluster) startStandins() {
	c.t.Helper()
	raw, err := json.Marshal(c.fleetFile)
	assert.NilError(c.t, err)
	path := filepath.Join(c.t.TempDir(), "fleet.json")
	assert.NilError(c.t, os.WriteFile(path, raw, 0o600))
	c.standin = launch(c.t, "vgstandin", "vgstandin", "fleet", "--file", path)
	waitFor(c.t, "the stand-ins to answer", func() bool { return httpOK("http://" + c.controlAddress + "/summary") })
}

func (c *cluster) startRelay(address string) *relay.Relay {
	c.t.Helper()
	r, err := relay.Listen("127.0.0.1:0", address)
	assert.NilError(c.t, err)
	c.t.Cleanup(r.Close)
	return r
}

func (c *cluster) startEntry(row fleet.Entry, flags ...string) *entryVM {
	c.t.Helper()
	args := append([]string{
		"--listen", row.Address, "--peer-listen", row.PeerAddress, "--zone", row.Zone, "--region", row.Region,
		"--table-url", "http://" + c.tableRelay.Address(), "--objects-url", "http://" + c.objectsRelay.Address(),
		"--vm-list-url", "http://" + c.fleetFile.VMList, "--peer-keys", peerKeys,
		"--operator-key-hash", hashOf(operatorKey), "--config-period", "500ms", "--vm-list-period", "200ms",
		"--keep-entries", "1s",
	}, flags...)
	return &entryVM{
		process: launch(c.t, "vanillagate "+row.Address, "vanillagate", args...),
		address: row.Address, peerAddress: row.PeerAddress, zone: row.Zone, args: args,
	}
}

// restart runs a VM again at the same addresses, as a replaced VM does.
func (c *cluster) restart(e *entryVM) *entryVM {
	c.t.Helper()
	next := *e
	next.process = launch(c.t, "vanillagate "+e.address+" (replaced)", "vanillagate", e.args...)
	for i, old := range c.entries {
		if old == e {
			c.entries[i] = &next
		}
	}
	return &next
}

// replaceEntry ends an entry VM and starts another at the same addresses, after
// prepare has changed how.
func (c *cluster) replaceEntry(i int, prepare func(*exec.Cmd), flags ...string) *entryVM {
	c.t.Helper()
	c.entries[i].kill(c.t)
	next := *c.entries[i]
	next.args = append(slices.Clone(next.args), flags...)
	next.process = launchCommand(c.t, next.name+" (replaced)", prepare, "vanillagate", next.args...)
	c.entries[i] = &next
	c.waitReady(&next)
	return &next
}

func (c *cluster) waitReady(e *entryVM) {
	c.t.Helper()
	waitFor(c.t, e.name+" to be ready", func() bool { return httpOK("http://" + e.address + "/readyz") })
}

// defaultFleet is small and quick: a four-stage request takes some 40 ms.
func defaultFleet(entries int) fleet.File {
	ports := freePorts(60)
	at := func(i int) string { return fmt.Sprintf("127.0.0.1:%d", ports+i) }
	f := fleet.File{
		Seed: 1, Control: at(0), Table: at(1), Objects: at(2), VMList: at(3), VMListLagMS: 300, StoreLatencyMS: 1,
	}
	for i := range entries {
		f.Entries = append(f.Entries, fleet.Entry{
			Address: at(4 + i), PeerAddress: at(16 + i), Zone: zones[i%len(zones)], Region: "r1",
		})
	}
	costs := stagepool.Costs{BaseUS: 2000, PerItemUS: 50, JitterShare: 0.1, Concurrency: 16}
	f.Pools = []fleet.Pool{
		{
			Pool: "llm", Kind: config.TargetEngine, Model: "m1", Version: "1", Role: "both", FirstAddress: at(28), Count: 4,
			Zones: zones, ChecksFencing: true,
			Engine: engine.Costs{StepUS: 1000, PerSequenceUS: 20, PrefillTokenUS: 20, MaxBatch: 16, MaxQueue: 256, CacheBlocks: 512, LoadLagMS: 100, CacheEventLagMS: 100},
		},
		{Pool: "encoder", Kind: config.TargetEncoder, FirstAddress: at(36), Count: 3, Zones: zones, Service: costs},
		{Pool: "retriever", Kind: config.TargetRetriever, FirstAddress: at(40), Count: 3, Zones: zones, Service: costs},
		{Pool: "reranker", Kind: config.TargetReranker, FirstAddress: at(44), Count: 3, Zones: zones, Service: costs},
		{Pool: "booking", Kind: config.TargetService, FirstAddress: at(48), Count: 3, Zones: zones, Service: costs},
	}
	return f
}

const (
	firstPort = 15000
	lastPort  = 31000
)

// nextPort is where the next cluster looks for ports. Clusters that run side by
// side must not find the same ones free before either has taken them.
var nextPort = struct {
	sync.Mutex
	port int
}{port: firstPort + rand.IntN(lastPort-firstPort)}

// freePorts finds a run of free ports below the kernel's own range.
func freePorts(n int) int {
	nextPort.Lock()
	defer nextPort.Unlock()
	for {
		first := nextPort.port
		nextPort.port += n
		if nextPort.port+n > lastPort {
			nextPort.port = firstPort
		}
		if allFree(first, n) {
			return first
		}
	}
}

func allFree(first, n int) bool {
	for port := first; port < first+n; port++ {
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err != nil {
			return false
		}
		_ = l.Close()
	}
	return true
}

func hashOf(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// waitFor polls until a condition holds; the test ends where it never does.
func waitFor(t *testing.T, what string, holds func() bool) {
	t.Helper()
	until := time.Now().Add(waitTimeout)
	for time.Now().Before(until) {
		if holds() {
			return
		}
		time.Sleep(pollInterval)
	}
	t.Fatalf("waited %s in vain for %s", waitTimeout, what)
}

// targets lists the addresses of a pool's targets.
func (c *cluster) targets(pool string) []string {
	c.t.Helper()
	for _, p := range c.fleetFile.Pools {
		if p.Pool != pool {
			continue
		}
		host, port, err := net.SplitHostPort(p.FirstAddress)
		assert.NilError(c.t, err)
		first, err := strconv.Atoi(port)
		assert.NilError(c.t, err)
		var all []string
		for i := range p.Count {
			all = append(all, net.JoinHostPort(host, strconv.Itoa(first+i)))
		}
		return all
	}
	c.t.Fatalf("no pool %s", pool)
	return nil
}
