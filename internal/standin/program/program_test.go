package program

import (
	"bytes"
	"context"
	"encoding/json"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/vanillagate/vanillagate/internal/standin/fleet"
)

// writeFile writes a fleet file and returns its path.
func writeFile(t *testing.T, file any) string {
	t.Helper()
	raw, err := json.Marshal(file)
	assert.NilError(t, err)
	path := filepath.Join(t.TempDir(), "fleet.json")
	assert.NilError(t, os.WriteFile(path, raw, 0o600))
	return path
}

func TestExitCodes(t *testing.T) {
	taken, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer taken.Close()
	const free = "127.0.0.1:0"
	good := fleet.File{Table: free, Objects: free, VMList: free, Control: free}
	busy := good
	busy.Control = taken.Addr().String()
	wrong := good
	wrong.Pools = []fleet.Pool{{Pool: "llm", Kind: "engin", FirstAddress: "127.0.0.1:65535", Count: 2}}
	for _, c := range []struct {
		args           string
		want           int
		stderrContains []string
	}{
		{"fleet --file " + writeFile(t, good), 0, nil}, // the context has ended already
		{"--help", 0, nil},
		{"--version", 0, nil},
		{"fleet --file " + writeFile(t, busy), ExitFailed, []string{"address already in use"}},
		{"fleat", ExitUsage, []string{"unknown command"}},
		{"fleet --fill x", ExitUsage, []string{"-fill"}},
		{"targets --log-level loud --target 1", ExitUsage, []string{"--file=", "--log-level=\"loud\"", "--target=\"1\""}},
		{"platform --file " + writeFile(t, wrong), ExitUsage, []string{"pools[0].kind=\"engin\"", "zones", "no port is above 65535"}},
		{"platform --file " + writeFile(t, map[string]int{"sead": 1}), ExitUsage, []string{"unknown field", "sead"}},
	} {
		ended, end := context.WithCancel(context.Background())
		end()
		var out, errors bytes.Buffer
		args := append([]string{"vgstandin"}, strings.Fields(c.args)...)
		assert.Equal(t, Run(ended, args, &out, &errors), c.want, "%s: %s", c.args, errors.String())
		for _, s := range c.stderrContains {
			assert.Assert(t, strings.Contains(errors.String(), s), "%s: %s", c.args, errors.String())
		}
	}
}
