// The clients are tested against the stand-ins of the platform's services.
package backing_test

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/vanillagate/vanillagate/internal/backing"
	"github.com/vanillagate/vanillagate/internal/backing/dynamo"
	"github.com/vanillagate/vanillagate/internal/backing/objects"
	"github.com/vanillagate/vanillagate/internal/backing/vmlist"
	"github.com/vanillagate/vanillagate/internal/config"
	"github.com/vanillagate/vanillagate/internal/standin/fault"
	"github.com/vanillagate/vanillagate/internal/standin/fleet"
)

const anyPort = "127.0.0.1:0"

func startFleet(t *testing.T) *fleet.Fleet {
	f, err := fleet.Open(fleet.File{
		Seed: 1, Table: anyPort, Objects: anyPort, VMList: anyPort, Control: anyPort,
		Entries: []fleet.Entry{{Address: "127.0.0.1:7501", PeerAddress: "127.0.0.1:7601", Zone: "a"}},
		Pools: []fleet.Pool{{
			Pool: "llm", Kind: config.TargetEngine, FirstAddress: anyPort, Count: 1, Zones: []string{"b"},
		}},
	}, fleet.Parts{Platform: true, Targets: true}, zap.NewNop())
	assert.NilError(t, err)
	t.Cleanup(func() { assert.Check(t, f.Stop() == nil) })
	return f
}

func table(address string) *dynamo.Table {
	return dynamo.New(backing.StoreConfig{
		URL: "http://" + address, Region: "r1", AccessKey: "k", SecretKey: "s", HTTP: backing.DefaultHTTPConfig(),
	})
}

func store(address string) *objects.Store {
	return objects.New(backing.StoreConfig{
		URL: "http://" + address, Region: "r1", AccessKey: "k", SecretKey: "s", HTTP: backing.DefaultHTTPConfig(),
	})
}

func setFault(t *testing.T, f *fleet.Fleet, scope string, injected fault.Fault) {
	body, err := json.Marshal(struct {
		Scope string      `json:"scope"`
		Fault fault.Fault `json:"fault"`
	}{scope, injected})
	assert.NilError(t, err)
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPut, "http://"+f.Control+"/faults", bytes.NewReader(body))
	assert.NilError(t, err)
	resp, err := http.DefaultClient.Do(req)
	assert.NilError(t, err)
	assert.NilError(t, resp.Body.Close())
	assert.Assert(t, resp.StatusCode < 300)
}

func put(partition, sort, body string) backing.Write {
	return backing.Write{
		Row: backing.Row{Key: backing.Key{Partition: partition, Sort: sort}, Body: []byte(body)},
		If:  backing.IfAbsent,
	}
}

func TestTableConditionsAndPages(t *testing.T) {
	rows := table(startFleet(t).Table)
	ctx := t.Context()
	conflicts, err := rows.Commit(ctx, []backing.Write{put("p", "1", "one"), put("p", "2", "two"), put("q", "1", "other")})
	assert.NilError(t, err)
	assert.Equal(t, len(conflicts), 0)

	again := put("p", "2", "again")
	conflicts, err = rows.Commit(ctx, []backing.Write{put("p", "3", "three"), again})
	assert.NilError(t, err)
	assert.Equal(t, len(conflicts), 1)
	assert.Equal(t, conflicts[0].Index, 1)
	assert.Equal(t, string(conflicts[0].Found.Body), "two")

	again.If, again.Version = backing.IfVersion, 1
	conflicts, err = rows.Commit(ctx, []backing.Write{again})
	assert.NilError(t, err)
	assert.Equal(t, len(conflicts), 0)
	row, err := rows.Get(ctx, again.Row.Key)
	assert.NilError(t, err)
	assert.Equal(t, row.Version, uint64(2))
	assert.Equal(t, string(row.Body), "again")

	found, err := rows.Scan(ctx, "p", "", 10)
	assert.NilError(t, err)
	assert.Equal(t, len(found), 2) // "3" was not written
	found, err = rows.Scan(ctx, "p", "1", 1)
	assert.NilError(t, err)
	assert.Equal(t, found[0].Sort, "2")

	_, err = rows.Commit(ctx, []backing.Write{{Row: keyOnly(row), Delete: true}})
	assert.NilError(t, err)
	row, err = rows.Get(ctx, again.Row.Key)
	assert.NilError(t, err)
	assert.Assert(t, row == nil)
}

func keyOnly(row *backing.Row) backing.Row { return backing.Row{Key: row.Key} }

// The table service applies a write and its answer is lost, or the service can't be
// reached at all. The first must give ErrUnknown and the second ErrNotRun; otherwise
// a change would be made twice, or a caller would be told that nothing ran although
// it did.
func TestTableFailures(t *testing.T) {
	f := startFleet(t)
	rows := table(f.Table)
	setFault(t, f, fault.ScopeTable, fault.Fault{LoseAnswerShare: 1})
	_, err := rows.Commit(t.Context(), []backing.Write{put("p", "1", "one")})
	assert.ErrorIs(t, err, backing.ErrUnknown)
	setFault(t, f, fault.ScopeTable, fault.Fault{})
	row, err := rows.Get(t.Context(), backing.Key{Partition: "p", Sort: "1"})
	assert.NilError(t, err)
	assert.Equal(t, string(row.Body), "one")

	setFault(t, f, fault.ScopeTable, fault.Fault{Down: true})
	_, err = rows.Commit(t.Context(), []backing.Write{put("p", "2", "two")})
	if err != nil && errors.Is(err, backing.ErrUnknown) {
		// The first call after the start of the outage may use a connection from
		// before it.
		_, err = rows.Commit(t.Context(), []backing.Write{put("p", "2", "two")})
	}
	assert.ErrorIs(t, err, backing.ErrNotRun)
	_, err = rows.Get(t.Context(), backing.Key{Partition: "p", Sort: "1"})
	assert.ErrorIs(t, err, backing.ErrNotRun)
}

// The service closes the connection after it has read a request. Neither the SDK
// nor net/http may send the write a second time.
func TestNoCallIsSentTwice(t *testing.T) {
	for _, reused := range []bool{false, true} {
		t.Run(fmt.Sprintf("reused connection: %t", reused), func(t *testing.T) {
			var calls, successes atomic.Int64
			if reused {
				successes.Store(1)
			}
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				calls.Add(1)
				if successes.Add(-1) >= 0 {
					w.Header().Set("Content-Type", "application/x-amz-json-1.0")
					_, _ = w.Write([]byte("{}"))
					return
				}
				panic(http.ErrAbortHandler)
			}))
			defer server.Close()
			rows := table(server.Listener.Addr().String())
			if reused {
				_, err := rows.Commit(t.Context(), []backing.Write{put("p", "0", "zero")})
				assert.NilError(t, err)
			}
			before := calls.Load()
			_, err := rows.Commit(t.Context(), []backing.Write{put("p", "1", "one")})
			assert.ErrorIs(t, err, backing.ErrUnknown)
			assert.Equal(t, calls.Load()-before, int64(1))
		})
	}
}

func TestTableStatusCodes(t *testing.T) {
	cases := []struct {
		status int
		code   string
		want   error
	}{
		{http.StatusBadRequest, "ThrottlingException", backing.ErrNotRun},
		{http.StatusBadRequest, "TransactionInProgressException", backing.ErrUnknown},
		{http.StatusInternalServerError, "InternalServerError", backing.ErrUnknown},
		{http.StatusServiceUnavailable, "ServiceUnavailable", backing.ErrUnknown},
	}
	for _, c := range cases {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Type", "application/x-amz-json-1.0")
			w.WriteHeader(c.status)
			_, _ = fmt.Fprintf(w, `{"__type":"com.amazonaws.dynamodb.v20120810#%s","message":"m"}`, c.code)
		}))
		_, err := table(server.Listener.Addr().String()).Commit(t.Context(), []backing.Write{put("p", "1", "one")})
		assert.ErrorIs(t, err, c.want, c.code)
		server.Close()
	}
}

// The service accepts connections and never answers. A call must end at its
// deadline with ErrUnknown.
func TestUnresponsiveTable(t *testing.T) {
	listener, err := net.Listen("tcp", anyPort)
	assert.NilError(t, err)
	defer func() { _ = listener.Close() }()
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	_, err = table(listener.Addr().String()).Commit(ctx, []backing.Write{put("p", "1", "one")})
	assert.ErrorIs(t, err, backing.ErrUnknown)
}

func TestObjects(t *testing.T) {
	f := startFleet(t)
	objectStore := store(f.Objects)
	ctx := t.Context()
	_, err := objectStore.Get(ctx, "config/none.json")
	assert.ErrorIs(t, err, backing.ErrNotFound)
	body := bytes.Repeat([]byte("water "), 100_000)
	assert.NilError(t, objectStore.Put(ctx, "outcome/a/b", body))
	got, err := objectStore.Get(ctx, "outcome/a/b")
	assert.NilError(t, err)
	assert.Assert(t, bytes.Equal(got, body))
	setFault(t, f, fault.ScopeObjects, fault.Fault{LoseAnswerShare: 1})
	assert.ErrorIs(t, objectStore.Put(ctx, "outcome/a/c", body), backing.ErrUnknown)
}

func TestVMList(t *testing.T) {
	f := startFleet(t)
	vms, err := vmlist.New("http://" + f.VMList + "/").List(t.Context())
	assert.NilError(t, err)
	assert.DeepEqual(t, vms, []backing.VM{
		{Address: "127.0.0.1:7501", PeerAddress: "127.0.0.1:7601", Role: backing.RoleEntry, Zone: "a", Region: "r1", State: backing.VMLive},
		{Address: f.Targets["llm"][0], Role: backing.RoleTarget, Pool: "llm", Zone: "b", Region: "r1", State: backing.VMLive},
	})
}

func FuzzParseVMList(f *testing.F) {
	f.Add([]byte(`[{"targets":["10.0.0.1:80"],"labels":{"role":"entry","state":"live"}}]`))
	f.Add([]byte(`[{"targets":["10.0.0.1"],"labels":{"role":"entry","state":"live"}}]`))
	f.Add([]byte(`{}`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		vms, err := vmlist.Parse(raw)
		for _, vm := range vms {
			assert.Check(t, err == nil && vm.Address != "")
			assert.Check(t, vm.Role == backing.RoleEntry || vm.Role == backing.RoleTarget)
		}
	})
}
