package cli

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"

	"github.com/urfave/cli/v3"
	"gotest.tools/v3/assert"

	"github.com/vanillagate/vanillagate/internal/load/caller"
	"github.com/vanillagate/vanillagate/internal/load/control"
	"github.com/vanillagate/vanillagate/internal/load/report"
	"github.com/vanillagate/vanillagate/internal/settings"
)

// startFakeServer starts a server that acts both as an entry VM with the booking
// service and as the control listener of targets, and returns its address. It
// records executionsPerCall executions for each booking.
func startFakeServer(t *testing.T, executionsPerCall int) string {
	t.Helper()
	var server *httptest.Server
	var mu sync.Mutex // guards counts
	var counts control.Counts
	server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		defer mu.Unlock()
		switch r.URL.Path {
		case "/v1/entries":
			address := strings.TrimPrefix(server.URL, "http://")
			_ = json.NewEncoder(w).Encode(caller.EntriesAnswer{Entries: []caller.Entry{{Address: address}}, TTLMS: 60_000})
		case "/counts":
			_ = json.NewEncoder(w).Encode(counts)
		default:
			for range executionsPerCall {
				counts.Executions = append(counts.Executions, control.Execution{IdempotencyKey: r.Header.Get("Idempotency-Key"), Finished: true})
			}
			_, _ = io.Copy(w, r.Body)
		}
	}))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

func runWith(t *testing.T, address string, more ...string) error {
	t.Helper()
	args := []string{
		"vgload", "run", "--entries", address, "--control", address, "--key", "k", "--rate", "5", "--duration", "1s",
		"--service-share", "1",
	}
	return Command().Run(context.Background(), append(args, more...))
}

func TestRunWritesSummaryFiles(t *testing.T) {
	dir := t.TempDir()
	file, rows := filepath.Join(dir, "s.json"), filepath.Join(dir, "s.csv")
	assert.NilError(t, runWith(t, startFakeServer(t, 1), "--require-attainment", "1", "--json", file, "--csv", rows))
	raw, err := os.ReadFile(file)
	assert.NilError(t, err)
	var s report.Summary
	assert.NilError(t, json.Unmarshal(raw, &s))
	assert.Assert(t, s.Requests > 0 && s.Answered == s.Requests && s.RanTwice == 0, s.ResultLine())
	_, err = os.Stat(rows)
	assert.NilError(t, err)
}

// A booking that runs twice at the targets must fail the run, even though its
// caller gets one good answer: only the recorded executions show the second
// booking, for which the client would be billed twice.
func TestRunFailsOnADoubledBooking(t *testing.T) {
	assert.ErrorIs(t, runWith(t, startFakeServer(t, 2)), errRunFailed)
}

func TestAllInvalidSettingsAreReportedTogether(t *testing.T) {
	err := Command().Run(context.Background(), []string{"vgload", "run", "--entries", "x", "--rate", "-1", "--stream-share", "2"})
	var wrong *settings.Error
	assert.Assert(t, errors.As(err, &wrong))
	assert.Equal(t, len(wrong.Mistakes), 4, err.Error())
}

func TestUnknownFlagIsAUsageError(t *testing.T) {
	err := Command().Run(context.Background(), []string{"vgload", "run", "--bogus"})
	var coded cli.ExitCoder
	assert.Assert(t, errors.As(err, &coded))
	assert.Equal(t, coded.ExitCode(), 2)
}
