package run

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/vanillagate/vanillagate/internal/serve/origins"
	"github.com/vanillagate/vanillagate/internal/serve/plan"
	"github.com/vanillagate/vanillagate/internal/serve/pool"
	"github.com/vanillagate/vanillagate/internal/serve/quota"
	"github.com/vanillagate/vanillagate/internal/serve/servetest"
	"github.com/vanillagate/vanillagate/internal/serve/upstream"
)

// scriptedTargets answer every request with the same bytes after their header, and close the connection.
type scriptedTargets struct {
	body string
	mu   sync.Mutex // guards arrivals
	// arrivals has the addresses at which requests arrived.
	arrivals []string
}

func (s *scriptedTargets) dial(_ context.Context, address string) (net.Conn, error) {
	ours, theirs := net.Pipe()
	go func() {
		defer func() { _ = theirs.Close() }()
		if _, err := http.ReadRequest(bufio.NewReader(theirs)); err != nil {
			return
		}
		s.mu.Lock()
		s.arrivals = append(s.arrivals, address)
		s.mu.Unlock()
		_, _ = io.WriteString(theirs, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n"+s.body)
	}()
	return ours, nil
}

// versionedExecutor returns an executor whose service has a target of each of the given versions.
func versionedExecutor(targets *scriptedTargets, registry *origins.Registry, versions ...string) *Executor {
	e := newRetryingExecutor(quota.Rule{Reserve: 50, Window: 10 * time.Second}, 0, targets.dial, plan.Stream)
	var entries []pool.Entry
	for i, version := range versions {
		entries = append(entries, pool.Entry{
			ID: fmt.Sprint("t-", i), Service: "s", Address: fmt.Sprintf("%s:%d", version, i), Version: version, Slots: 8, State: pool.Ready, Revision: 2,
		})
	}
	e.Table.Reset(entries, 2, time.Now())
	e.Client = &upstream.Client{Dial: targets.dial}
	e.Origins = registry
	return e
}

func takeUp(e *Executor, resumes string) *Reply {
	return e.Run(context.Background(), &Request{
		ID: "again", Host: "h", Path: "/x", URI: "/x", Method: "GET", LastEventID: "4", Resumes: resumes, Arrived: time.Now(),
	})
}

// Guards against streams that go on at a guess, and refusals of streams whose version is certain.
func TestTakenUpStreamGoesOnOnlyAtAVersionThatIsCertain(t *testing.T) {
	const known, unknown = "begun-at-v1", "unknown"
	for _, c := range []struct {
		name     string
		versions []string
		resumes  string
		// silent processes don't answer, alone means that there are no others.
		silent, alone bool
		listAge       time.Duration
		reason        Reason
		comeBack      bool
	}{
		{name: "known", versions: []string{"v1", "v2"}, resumes: known},
		{name: "known, other processes silent", versions: []string{"v1", "v2"}, resumes: known, silent: true, reason: UnknownVersion, comeBack: true},
		{name: "known, but its targets have gone", versions: []string{"v2", "v3"}, resumes: known, reason: VersionGone},
		{name: "known, and not the only version", versions: []string{"v2"}, resumes: known, reason: VersionGone},
		{name: "unknown", versions: []string{"v1", "v2"}, resumes: unknown, reason: UnknownVersion},
		{name: "not named", versions: []string{"v1", "v2"}, reason: UnknownVersion},
		{name: "unknown, one version", versions: []string{"v1", "v1"}, resumes: unknown},
		{name: "not named, one version", versions: []string{"v1", "v1"}},
		{name: "unknown, one version, old list, others answer", versions: []string{"v1"}, resumes: unknown, listAge: time.Minute},
		{name: "unknown, one version, old list, others silent", versions: []string{"v1"}, resumes: unknown, silent: true, listAge: time.Minute, reason: UnknownVersion, comeBack: true},
		{name: "not named, one version, old list, others answer", versions: []string{"v1"}, listAge: time.Minute},
		{name: "not named, one version, old list, others silent", versions: []string{"v1"}, silent: true, listAge: time.Minute, reason: UnknownVersion, comeBack: true},
		{name: "unknown, one version, others silent", versions: []string{"v1"}, resumes: unknown, silent: true},
		{name: "unknown, one version, alone", versions: []string{"v1"}, resumes: unknown, alone: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				defer time.Sleep(time.Second) // until records have been sent
				cluster := &servetest.Cluster{Delay: time.Millisecond}
				if !c.alone {
					other := cluster.Add("vm-1", "a")
					origins.New(context.Background(), zap.NewNop(), other).Record(
						origins.KeyOf("", known), origins.Origin{Service: "s", Version: "v1"}, time.Now().Add(time.Minute))
					if c.silent {
						other.Freeze()
					}
				}
				registry := origins.New(context.Background(), zap.NewNop(), cluster.Add("vm-0", "a"))
				targets := &scriptedTargets{body: "id: 5\ndata: e\n\n"}
				e := versionedExecutor(targets, registry, c.versions...)
				e.ContactAge = func(time.Time) time.Duration { return c.listAge }
				start := time.Now()
				reply := takeUp(e, c.resumes)
				assert.Equal(t, reply.Reason, c.reason)
				assert.Equal(t, reply.RetryAfter > 0, c.comeBack)
				assert.Assert(t, time.Since(start) < 300*time.Millisecond)
				if c.reason != "" {
					assert.Equal(t, reply.Status, 503)
					assert.Equal(t, len(targets.arrivals), 0)
					return
				}
				_, err := io.ReadAll(reply.Answer.Body)
				assert.NilError(t, err)
				assert.Equal(t, len(targets.arrivals), 1)
				assert.Assert(t, strings.HasPrefix(targets.arrivals[0], "v1"))
			})
		})
	}
}

// beginLater begins a stream once retries are allowed.
func beginLater(e *Executor) *Reply {
	time.Sleep(3 * time.Second)
	return e.Run(context.Background(), &Request{ID: "id", Host: "h", Path: "/x", URI: "/x", Method: "GET", Arrived: time.Now()})
}

// Guards against streams that are repeated from their start because their events have no IDs.
func TestBrokenStreamWithoutEventIDsIsNotRepeated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		targets := &scriptedTargets{body: "data: a\n\ndata: b\n\ndat"}
		e := versionedExecutor(targets, nil, "v1", "v1")
		reply := beginLater(e)
		body, err := io.ReadAll(reply.Answer.Body)
		assert.Assert(t, err != nil)
		assert.Equal(t, string(body), "data: a\n\ndata: b\n\n")
		assert.Equal(t, len(targets.arrivals), 1)
	})
}

// Guards against streams that are no longer resumed because they set the callers' time to reconnect.
func TestBrokenStreamWithAFieldBesideItsEventsIsResumed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		targets := &scriptedTargets{body: "retry: 1000\n\nid: 1\ndata: a\n\nid: 2\nda"}
		e := versionedExecutor(targets, nil, "v1", "v1")
		reply := beginLater(e)
		_, err := io.ReadAll(reply.Answer.Body)
		assert.Assert(t, err != nil)
		assert.Equal(t, len(targets.arrivals), 2)
	})
}
