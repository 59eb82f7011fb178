package fault

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/exec"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/vanillagate/vanillagate/internal/config"
	"github.com/vanillagate/vanillagate/internal/load/experiment"
	"github.com/vanillagate/vanillagate/internal/load/shape"
)

func smallFleet() shape.Fleet {
	s := shape.Shape{
		Zones: []string{"a", "b"}, Entries: 3,
		Pools: []shape.Pool{
			{Pool: config.Pool{Name: "llm", Kind: config.TargetEngine}, Count: 4, Engine: json.RawMessage(`{}`)},
			{Pool: config.Pool{Name: "enc", Kind: config.TargetEncoder}, Count: 2},
		},
	}
	return s.BuildFleet(20000, 1)
}

func TestScopes(t *testing.T) {
	fleet := smallFleet()
	llm, enc := fleet.TargetAddresses("llm"), fleet.TargetAddresses("enc")
	cases := []struct {
		name string
		f    experiment.TargetFault
		want []string
	}{
		{"first of a pool", experiment.TargetFault{Pool: "llm", Count: 1}, []string{llm[0]}},
		{"whole pool", experiment.TargetFault{Pool: "enc"}, enc},
		{"zone", experiment.TargetFault{Zone: "b"}, []string{llm[1], llm[3], enc[1]}},
		{"one of a zone", experiment.TargetFault{Pool: "llm", Zone: "b", Count: 1}, []string{llm[1]}},
	}
	for _, c := range cases {
		var want []string
		for _, address := range c.want {
			want = append(want, "target:"+address)
		}
		assert.DeepEqual(t, scopes(&c.f, fleet), want)
	}
}

func TestPlanSortsAndRepeatsEvents(t *testing.T) {
	down := json.RawMessage(`{"down":true}`)
	s := &experiment.Scenario{Shape: &shape.Shape{}, Faults: []experiment.Fault{
		{At: 0.5, Until: 0.75, Platform: &experiment.PlatformFault{Scope: "table", Fault: down}},
		{At: 0.1, EveryMS: 4000, Entry: &experiment.EntryFault{Action: experiment.EntryKill, FirstEntry: 1}},
		{At: 0.2, Until: 0.3, Entry: &experiment.EntryFault{Action: experiment.EntryPause}},
	}}
	var got []string
	for _, e := range Plan(s, smallFleet(), 10*time.Second) {
		got = append(got, e.String())
	}
	assert.DeepEqual(t, got, []string{
		`at 1s: entry VM 1 gets signal "killed"`,
		`at 2s: entry VM 0 gets signal "stopped (signal)"`,
		`at 3s: entry VM 0 gets signal "continued"`,
		`at 5s: table {"down":true}`,
		`at 5s: entry VM 2 gets signal "killed"`,
		`at 7.5s: table {}`,
		`at 9s: entry VM 0 gets signal "killed"`,
	})
}

// An entry VM gets a signal while it is being replaced, when its PID file is
// missing for a moment. If the signal were skipped, the run would show a better
// attainment than the scenario has.
func TestSignalWaitsForReplacedEntry(t *testing.T) {
	process := exec.Command("sleep", "60")
	assert.NilError(t, process.Start())
	dir := t.TempDir()
	go func() {
		file := PIDFile(dir, 2)
		_ = os.WriteFile(file+".new", fmt.Appendln(nil, process.Process.Pid), 0o600)
		_ = os.Rename(file+".new", file)
	}()
	injector := Injector{PIDDir: dir, Log: io.Discard}
	err := injector.Run(context.Background(), time.Now(), []Event{{Signal: syscall.SIGKILL, Entry: 2}})
	assert.NilError(t, err)
	assert.ErrorContains(t, process.Wait(), "killed")
}

func TestRunReturnsInjectionErrors(t *testing.T) {
	dir := t.TempDir()
	assert.NilError(t, os.WriteFile(PIDFile(dir, 0), []byte("1"), 0o600))
	injector := Injector{PIDDir: dir, Log: io.Discard}
	err := injector.Run(context.Background(), time.Now(), []Event{{Signal: syscall.SIGKILL}})
	assert.ErrorContains(t, err, "can't be an entry VM's")
}
