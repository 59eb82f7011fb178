package shape

import (
	"net"
	"os"
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"
)

const checkedIn = "../../../experiments/shapes"

func TestCheckedInShapesAreValid(t *testing.T) {
	for _, name := range []string{"wierzbicki", "granite"} {
		s, err := Read(filepath.Join(checkedIn, name+".json"))
		assert.NilError(t, err)
		assert.Equal(t, len(s.Zones), 3)
		assert.Equal(t, len(s.Customers), 5)
		pool, found := s.Pool("llm")
		assert.Assert(t, found && pool.Count == 12)
	}
}

func TestFleetAddressesAreUnique(t *testing.T) {
	s, err := Read(filepath.Join(checkedIn, "granite.json"))
	assert.NilError(t, err)
	fleet := s.BuildFleet(20000, 7)
	seen := map[string]bool{}
	for _, address := range []string{fleet.Table, fleet.Objects, fleet.VMList, fleet.Control} {
		seen[address] = true
	}
	for _, e := range fleet.Entries {
		seen[e.Address], seen[e.PeerAddress] = true, true
	}
	for _, p := range fleet.Pools {
		for _, address := range fleet.TargetAddresses(p.Pool) {
			seen[address] = true
		}
	}
	assert.Equal(t, len(seen), s.PortCount())
	assert.Equal(t, fleet.Entries[1].Zone, "boston-b")
}

func TestFindFreePorts(t *testing.T) {
	first, err := FindFreePorts(50)
	assert.NilError(t, err)
	assert.Assert(t, first >= minPort && first+50 <= maxPort)
	assert.Assert(t, allFree(first, 50))
	taken, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = taken.Close() }()
	assert.Assert(t, !allFree(taken.Addr().(*net.TCPAddr).Port, 1))
}

func TestReadReportsAllErrors(t *testing.T) {
	file := filepath.Join(t.TempDir(), "s.json")
	assert.NilError(t, os.WriteFile(file, []byte(`{"name":"x","mix":{"json":1}}`), 0o600))
	_, err := Read(file)
	for _, want := range []string{"zones is empty", "entries must be above 0", "customers is empty", "need pipeline", "least_tokens"} {
		assert.ErrorContains(t, err, want)
	}
}
