// Package test holds the end-to-end tests. They run the entry processes, the
// stewards and the stand-ins as programs of their own, with TCP relays between
// them that delay, cut or freeze connections or drop answers.
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

	// waitTimeout is how long a test waits for a condition before it fails.
	waitTimeout  = 30 * time.Second
	pollInterval = 20 * time.Millisecond
)

// process is a program that a test has started, and its log output.
type process struct {
	name string
	cmd  *exec.Cmd
	log  *bytes.Buffer
	mu   sync.Mutex    // guards log while the program writes
	done chan struct{} // closed once the program has ended
	err  error         // the result of Wait, set before done is closed
}

// Write appends what the program prints to its log.
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

// kill ends the program with SIGKILL, as if its VM had failed.
func (p *process) kill(t *testing.T) {
	t.Helper()
	_ = p.cmd.Process.Kill()
	<-p.done
}

// waitExit waits for the program to end by itself and returns its exit code.
func (p *process) waitExit(t *testing.T, within time.Duration) int {
	t.Helper()
	select {
	case <-p.done:
		return p.cmd.ProcessState.ExitCode()
	case <-time.After(within):
		t.Fatalf("%s is still running after %s", p.name, within)
		return -1
	}
}

// binaryPath returns the path of a program of this project, in the directory that
// VANILLAGATE_BIN names or else in ../bin.
func binaryPath(name string) string {
	if dir := os.Getenv("VANILLAGATE_BIN"); dir != "" {
		return filepath.Join(dir, name)
	}
	return filepath.Join("..", "bin", name)
}

// launch starts a program, which is killed when the test ends.
func launch(t *testing.T, name, binary string, args ...string) *process {
	t.Helper()
	return launchCommand(t, name, func(*exec.Cmd) {}, binary, args...)
}

// launchCommand is launch with a function that changes the command before it starts.
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

// entryVM is a vanillagate process and the addresses it was started with.
type entryVM struct {
	*process
	address     string
	peerAddress string
	zone        string
	args        []string
}

// cluster is a small deployment on this machine: the stand-ins, the entry VMs and,
// in some tests, stewards.
type cluster struct {
	t              *testing.T
	fleetFile      fleet.File
	controlAddress string
	standin        *process
	entries        []*entryVM
	// tableRelay is between the entry VMs and the table service.
	tableRelay *relay.Relay
	// objectsRelay is between the processes and the object store.
	objectsRelay *relay.Relay
	// extraRelays are relays that a test has added in clusterOptions.flagsFor.
	extraRelays []*relay.Relay
	// initialVMRows is the VM list before a test first changed it; nil until then.
	initialVMRows []vmlist.Row
}

// clusterOptions say how a cluster differs from the default one, which is the zero
// value.
type clusterOptions struct {
	entries int // 0 means 3
	// editFleet changes the fleet file before it is written.
	editFleet func(*fleet.File)
	// flags are additional flags of every entry process.
	flags []string
	// flagsFor returns additional flags of the i-th entry process.
	flagsFor func(c *cluster, i int) []string
	// emptyConfig leaves the cluster without any configuration.
	emptyConfig bool
}

var zones = []string{"a", "b", "c"}

// startCluster starts a deployment and waits until every entry VM is ready and has
// the configuration of applyDefaultConfig in force, unless opts.emptyConfig is set.
func startCluster(t *testing.T, opts clusterOptions) *cluster {
	t.Helper()
	if opts.entries == 0 {
		opts.entries = 3
	}
	c := &cluster{t: t, fleetFile: defaultFleet(opts.entries)}
	if opts.editFleet != nil {
		opts.editFleet(&c.fleetFile)
	}
	c.controlAddress = c.fleetFile.Control
	c.startStandins()
	c.tableRelay = c.startRelay(c.fleetFile.Table)
	c.objectsRelay = c.startRelay(c.fleetFile.Objects)
	for i := range opts.entries {
		flags := opts.flags
		if opts.flagsFor != nil {
			flags = append(flags, opts.flagsFor(c, i)...)
		}
		c.entries = append(c.entries, c.startEntry(c.fleetFile.Entries[i], flags...))
	}
	for _, e := range c.entries {
		c.waitReady(e)
	}
	if !opts.emptyConfig {
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

// startRelay starts a relay to an address that is closed when the test ends.
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

// restart starts an ended entry VM again with the same addresses and flags, as a
// replacement VM would be.
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

// replaceEntry kills an entry VM and starts another one at the same addresses, with
// additional flags and a command that prepare may change.
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

// defaultFleet describes a small, fast deployment: a four-stage request takes about
// 40 ms.
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

// nextPort is where the next cluster starts to look for free ports. Every cluster
// moves it on, so that clusters that start at the same time don't pick the same
// ports before either has opened them.
var nextPort = struct {
	sync.Mutex
	port int
}{port: firstPort + rand.IntN(lastPort-firstPort)}

// freePorts finds n consecutive free ports below the range from which the kernel
// assigns ports, and returns the first.
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

// waitFor polls until a condition holds, and fails the test after waitTimeout.
func waitFor(t *testing.T, what string, condition func() bool) {
	t.Helper()
	deadline := time.Now().Add(waitTimeout)
	for time.Now().Before(deadline) {
		if condition() {
			return
		}
		time.Sleep(pollInterval)
	}
	t.Fatalf("waited %s for %s", waitTimeout, what)
}

// targets returns the addresses of a pool's targets.
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
		var addresses []string
		for i := range p.Count {
			addresses = append(addresses, net.JoinHostPort(host, strconv.Itoa(first+i)))
		}
		return addresses
	}
	c.t.Fatalf("the fleet file has no pool %s", pool)
	return nil
}
