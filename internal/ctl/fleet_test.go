package ctl

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

const sampleMetrics = `vanillagate_members 3
vanillagate_plan_version 14
vanillagate_targets_revision 120
vanillagate_requests_in_flight 5
vanillagate_answers{by="target"} 900
vanillagate_answers{by="this process"} 12
vanillagate_own_answers{reason="stages can't be done in time"} 12
vanillagate_service_targets{service="desk"} 3
vanillagate_service_targets_out{service="desk"} 1
vanillagate_service_repeats_left{service="desk"} 7
vanillagate_answer_us{kind="stream",quantile="0.5"} 1.5e+06
vanillagate_store_configuration_silent_ms 0
vanillagate_store_targets_silent_ms 2500
vanillagate_service_targets_cold{service="desk"} 1
vanillagate_zone_calls{zone="a"} 4
vanillagate_zone_evacuated_revision{zone="a"} 117
vanillagate_zone_calls{zone="b"} 6
vanillagate_zone_evacuated_revision{zone="b"} 0
`

// startMetricsServer serves text as metrics and returns its address.
func startMetricsServer(t *testing.T, text string) string {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(text)) }))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// The status must show which VM has an older configuration than the others, which
// VM doesn't answer, and why requests were refused.
func TestStatusOfAllVMs(t *testing.T) {
	a := startMetricsServer(t, sampleMetrics)
	b := startMetricsServer(t, strings.NewReplacer("_version 14", "_version 11", "_out{service=\"desk\"} 1", "_out{service=\"desk\"} 2").Replace(sampleMetrics))
	dead := "127.0.0.1:1"
	var out, errOut bytes.Buffer
	code := Main(context.Background(), []string{"vgctl", "status", "--metrics", a + "," + b + "," + dead}, nil, &out, &errOut)
	assert.Equal(t, int(code), 0, "%s", errOut.String())
	text := out.String()
	for _, part := range []string{"14", "11", "silent for 2.5s", dead, "stages can't be done in time  24", "desk", "since revision 117, at 2 VMs"} {
		assert.Assert(t, strings.Contains(text, part), "%q is missing:\n%s", part, text)
	}

	out.Reset()
	code = Main(context.Background(), []string{"vgctl", "--output", "json", "status", "--metrics", a + "," + b}, nil, &out, &errOut)
	assert.Equal(t, int(code), 0, "%s", errOut.String())
	var f fleet
	assert.NilError(t, json.Unmarshal(out.Bytes(), &f))
	assert.Equal(t, f.VMs[1].Configuration, int64(11))
	assert.Equal(t, f.Services["desk"], serviceView{Targets: 3, OutOfUse: 2, Cold: 1, RetriesLeft: 7})
	assert.Equal(t, f.Zones["a"], zoneView{Revision: 117, EvacuatedAt: 2, Calls: 8})
	assert.Equal(t, f.Zones["b"], zoneView{Calls: 12})

	code = Main(context.Background(), []string{"vgctl", "status", "--metrics", dead}, nil, &out, &errOut)
	assert.Assert(t, int(code) != 0)
}
