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

// system answers as an entry VM that serves a booking, and as the control
// listener of targets that ran each booking so many times.
func system(t *testing.T, runs int) string {
	t.Helper()
	var server *httptest.Server
	var mu sync.Mutex // guards ran
	var ran control.Counts
	server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		defer mu.Unlock()
		switch r.URL.Path {
		case "/v1/entries":
			own := strings.TrimPrefix(server.URL, "http://")
			_ = json.NewEncoder(w).Encode(caller.EntriesAnswer{Entries: []caller.Entry{{Address: own}}, KeepMS: 60_000})
		case "/counts":
			_ = json.NewEncoder(w).Encode(ran)
		default:
			for range runs {
				ran.Executions = append(ran.Executions, control.Execution{IdempotencyKey: r.Header.Get("Idempotency-Key"), Finished: true})
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

func TestRunWritesItsSummary(t *testing.T) {
	dir := t.TempDir()
	file, rows := filepath.Join(dir, "s.json"), filepath.Join(dir, "s.csv")
	assert.NilError(t, runWith(t, system(t, 1), "--require-attainment", "1", "--json", file, "--csv", rows))
	raw, err := os.ReadFile(file)
	assert.NilError(t, err)
	var s report.Summary
	assert.NilError(t, json.Unmarshal(raw, &s))
	assert.Assert(t, s.Requests > 0 && s.Answered == s.Requests && s.Doubled == 0, s.ResultLine())
	_, err = os.Stat(rows)
	assert.NilError(t, err)
}

// A booking ran twice at the targets while its caller got one good answer.
// Nobody would notice but the client with two bills, and this count.
func TestRunFailsOnADoubledBooking(t *testing.T) {
	assert.ErrorIs(t, runWith(t, system(t, 2)), errVerdict)
}

func TestSettingsAreCheckedAtOnce(t *testing.T) {
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
