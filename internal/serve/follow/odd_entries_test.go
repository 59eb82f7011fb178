package follow

import (
	"bytes"
	"compress/flate"
	"encoding/json"
	"fmt"
	"math"
	"slices"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/vanillagate/vanillagate/internal/serve/plan"
	"github.com/vanillagate/vanillagate/internal/serve/pool"
	"github.com/vanillagate/vanillagate/internal/serve/revision"
)

func nested(depth int) string { return strings.Repeat("[", depth) + strings.Repeat("]", depth) }

// oddPeerEntries are entries, as peers send them, that name no usable target.
func oddPeerEntries() []string {
	entry := func(fields string) string {
		return `{"ID":"odd","Service":"s","Address":"10.0.0.1:odd","Zone":"a","Slots":1,"State":"ready","Revision":7,` + fields + `}`
	}
	return []string{
		`null`, `{}`, `[]`, `5`, `"x"`, `{"ID":null}`, `{"ID":5,"Revision":"x"}`, nested(9000),
		entry(`"Slots":0`), entry(`"Slots":-1`), entry(`"Slots":1e300`), entry(`"Slots":1e400`), entry(`"Slots":12345678901234567890`), entry(`"Slots":"4"`),
		entry(`"Born":-1`), entry(`"Born":9223372036854775807`), entry(`"Born":1e19`), entry(`"Revision":1e300`), entry(`"Revision":-1`),
		entry(`"Revision":18446744073709551615`), entry(`"State":"gone"`), entry(`"State":null,"State":5`), entry(`"ID":"a\r\nX: y"`), entry(`"ID":""`),
		entry(`"Address":"10.0.0.1:80\u0000"`), entry(`"Address":""`), entry(`"Service":"\u0000"`), entry(`"Zone":5`), entry(`"Version":[1]`),
		entry(`"ColdLeft":1e30`), entry(`"Zone":"` + strings.Repeat("z", 5000) + `"`),
		"{\"ID\":\"\xff\xfe\",\"Revision\":7}",
	}
}

// soundPeerEntry is the entry of a target with an ID.
func soundPeerEntry(id string) string {
	return fmt.Sprintf(`{"ID":%q,"Service":"s","Address":"10.0.0.1:%s","Zone":"a","Slots":1,"State":"ready","Revision":8}`, id, id)
}

// between returns a JSON list of the sound entries "first" and "last" with odd ones between them.
func between(odd ...string) string {
	list := append([]string{soundPeerEntry("first")}, odd...)
	return "[" + strings.Join(append(list, soundPeerEntry("last")), ",") + "]"
}

func packText(t *testing.T, text string) []byte {
	t.Helper()
	var packed bytes.Buffer
	w, err := flate.NewWriter(&packed, flate.BestSpeed)
	assert.NilError(t, err)
	_, err = w.Write([]byte(text))
	assert.NilError(t, err)
	assert.NilError(t, w.Close())
	return packed.Bytes()
}

func targetIDs(table *pool.Table) []string {
	var ids []string
	for _, target := range table.ReadySet("s").Targets {
		ids = append(ids, target.ID)
	}
	return ids
}

// Guards against an odd entry in a peer's message taking the sound ones with it, or coming into use.
func TestOddEntriesFromPeersHarmOnlyThemselves(t *testing.T) {
	cases := [][]string{oddPeerEntries()}
	for _, odd := range oddPeerEntries() {
		cases = append(cases, []string{odd})
	}
	for i, odd := range cases {
		list := between(odd...)
		name := fmt.Sprintf("%d: %.80s", i, odd[0])
		for _, field := range []string{`"changes":` + list, `"packed_changes":` + string(must(json.Marshal(packText(t, list))))} {
			table := pool.New(zap.NewNop())
			f := New(zap.NewNop(), newFakeStore(), &plan.Holder{}, table)
			table.Reset([]pool.Entry{{ID: "odd", Service: "s", Address: "10.0.0.1:odd", Slots: 1, State: pool.Ready, Revision: 1}}, 2, time.Now())
			var u updates
			assert.NilError(t, json.Unmarshal([]byte(`{"revision":9,"targets_up_to":9,`+field+`}`), &u), name)
			assert.NilError(t, u.unpack(), name)
			f.applyUpdates(u)
			ids := slices.DeleteFunc(targetIDs(table), func(id string) bool { return id == "odd" })
			assert.DeepEqual(t, ids, []string{"first", "last"})
			if target := table.Find("s", "odd"); target != nil {
				assert.Equal(t, target.Run().Address, "10.0.0.1:odd", "the entry before")
			}
		}
		var parts partialList
		assert.NilError(t, parts.add(0, partResponse{PartCount: 1, AsOf: 9, AgeMS: math.MaxInt64, Entries: packText(t, list)}, time.Now()), name)
		assert.Assert(t, parts.complete())
		entries := usableEntries(parts.entries())
		for _, e := range entries {
			assert.Assert(t, e.ID == "first" || e.ID == "last", "%s: %+v", name, e)
		}
		assert.Equal(t, len(entries), 2, name)
	}
}

// Guards against a change to an odd entry leaving the entry before it in use, as it may be one to draining.
func TestOddChangeFromPeerRemovesItsEntry(t *testing.T) {
	for _, odd := range []string{`{"ID":"a","Revision":7,"Slots":-1}`, `{"ID":"a","Revision":7,"Slots":"x","State":"draining"}`, `{"ID":"a","Revision":7,"State":5}`} {
		table := pool.New(zap.NewNop())
		f := New(zap.NewNop(), newFakeStore(), &plan.Holder{}, table)
		table.Reset([]pool.Entry{{ID: "a", Service: "s", Address: "10.0.0.1:a", Slots: 1, State: pool.Ready, Revision: 1}}, 2, time.Now())
		var u updates
		assert.NilError(t, json.Unmarshal([]byte(`{"revision":7,"targets_up_to":7,"changes":[`+odd+`]}`), &u))
		assert.NilError(t, u.unpack())
		f.applyUpdates(u)
		assert.Equal(t, len(targetIDs(table)), 0, odd)
		assert.Equal(t, table.LastChangeRevision(), revision.Revision(7))
	}
}

// Guards against times of peers that overflow, so that cold targets stay cold or a contact lies in the future.
func TestTimesOfPeersAreBounded(t *testing.T) {
	for _, ms := range []int64{math.MinInt64, -1, 0, 1, math.MaxInt64} {
		assert.Assert(t, peerMillis(ms) >= 0 && time.Now().Add(-peerMillis(ms)).Year() > 1900, "%d", ms)
	}
	assert.Equal(t, peerMillis(1500), 1500*time.Millisecond)
}

func must[T any](value T, err error) T {
	if err != nil {
		panic(err)
	}
	return value
}
