// Package bench runs benchmark scenarios under a policy against processes that a
// script has started, and merges the results of many runs. It starts no
// processes itself.
package bench

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"github.com/vanillagate/vanillagate/internal/load/experiment"
	"github.com/vanillagate/vanillagate/internal/load/report"
	"github.com/vanillagate/vanillagate/internal/load/setup"
	"github.com/vanillagate/vanillagate/internal/load/shape"
)

// Files in the directory of a run.
const (
	fleetFile   = "fleet.json"
	entriesFile = "entries.tsv"
	envFile     = "env.sh"
	fileMode    = 0o644
)

// Keys used by the benchmark. They are not secret: everything listens on
// loopback only.
const (
	OperatorKey = "bench-operator"
	peerKey     = "bench-peer-key-0123456789abcdef"
)

// WriteLayout writes the files that a script needs to start the deployment of a
// scenario on free ports: the stand-ins' fleet file, a table with one line for
// each entry VM (index, address, peer address, zone, region), and a shell script
// that exports the settings as environment variables.
func WriteLayout(dir string, s *experiment.Scenario, seed uint64) error {
	port, err := shape.FindFreePorts(s.Shape.PortCount())
	if err != nil {
		return err
	}
	fleet := s.Shape.BuildFleet(port, seed)
	if err := report.WriteJSON(filepath.Join(dir, fleetFile), fleet); err != nil {
		return err
	}
	var entries strings.Builder
	for i, e := range fleet.Entries {
		fmt.Fprintf(&entries, "%d\t%s\t%s\t%s\t%s\n", i, e.Address, e.PeerAddress, e.Zone, e.Region)
	}
	if err := os.WriteFile(filepath.Join(dir, entriesFile), []byte(entries.String()), fileMode); err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(dir, envFile), []byte(environmentScript(fleet)), fileMode)
}

func environmentScript(fleet shape.Fleet) string {
	var text strings.Builder
	set := func(name, value string) { fmt.Fprintf(&text, "export VANILLAGATE_%s=%q\n", name, value) }
	set("TABLE_URL", "http://"+fleet.Table)
	set("OBJECTS_URL", "http://"+fleet.Objects)
	set("VM_LIST_URL", "http://"+fleet.VMList)
	set("OPERATOR_KEY_HASH", setup.KeyHash(OperatorKey))
	set("PEER_KEYS", peerKey)
	return text.String()
}

// ReadFleet reads the fleet file in the directory of a run.
func ReadFleet(dir string) (shape.Fleet, error) {
	var fleet shape.Fleet
	err := shape.DecodeFile(filepath.Join(dir, fleetFile), &fleet)
	return fleet, err
}
