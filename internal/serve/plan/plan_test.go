package plan

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func indexed(p Plan) *Plan {
	p.Index()
	return &p
}

func TestLongestPrefixWins(t *testing.T) {
	p := indexed(Plan{Routes: []Route{
		{Name: "all", Host: "h", Prefix: "/"},
		{Name: "a", Host: "h", Prefix: "/a/"},
		{Name: "ab", Host: "h", Prefix: "/a/b/"},
		{Name: "other", Host: "g", Prefix: "/a/"},
	}})
	for path, want := range map[string]string{
		"/a/b/c": "ab", "/a/b/": "ab", "/a/b": "a", "/a/bc/": "a", "/a": "all", "/": "all", "/a//b/": "a",
		"/a/%62/x": "a",
	} {
		r := p.Route("h", path)
		assert.Assert(t, r != nil, path)
		assert.Equal(t, r.Name, want, path)
	}
	assert.Assert(t, p.Route("g", "/b/") == nil)
	assert.Assert(t, p.Route("nobody", "/a/") == nil)
	assert.Assert(t, p.Route("h", "") == nil)
	assert.Assert(t, p.Route("h", "*") == nil)
}

// Plans arrive through the store's change feed, from peers and from repeated reads, in any order
// and more than once. If an older one could replace a newer one, a caller would see a key refused
// that was just accepted, or a route missing that had just served it.
func TestOlderPlanNeverReplacesNewerOne(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var h Holder
		var seen []uint64
		newest := uint64(0)
		for _, version := range rapid.SliceOf(rapid.Uint64Range(1, 20)).Draw(t, "versions") {
			applied := h.Apply(&Plan{Version: version})
			if applied != (version > newest) {
				t.Fatalf("version %d after %d: applied %v", version, newest, applied)
			}
			if applied {
				seen = append(seen, h.Version())
			}
			newest = max(newest, version)
			if h.Version() != newest {
				t.Fatalf("in force %d, newest %d", h.Version(), newest)
			}
		}
		for i := 1; i < len(seen); i++ {
			if seen[i] <= seen[i-1] {
				t.Fatalf("versions in force, in order: %v", seen)
			}
		}
	})
}

func TestSplitFollowsWeights(t *testing.T) {
	r := Route{Split: []Share{{Service: "a", Weight: 9}, {Service: "b", Weight: 1}, {Service: "c", Weight: 0}}}
	counts := map[string]int{}
	for i := range 1000 {
		counts[r.Pick(float64(i)/1000)]++
	}
	assert.DeepEqual(t, counts, map[string]int{"a": 900, "b": 100})
	assert.Equal(t, (&Route{}).Pick(0.5), "")
}

func TestTeamPriorityOverridesRoutePriority(t *testing.T) {
	first := 0
	r := &Route{Priority: 2}
	assert.Equal(t, EffectivePriority(r, nil), 2)
	assert.Equal(t, EffectivePriority(r, &Team{}), 2)
	assert.Equal(t, EffectivePriority(r, &Team{Priority: &first}), 0)
}

func TestIdempotentRoutesAndResumableStreamsAreRepeatable(t *testing.T) {
	for _, c := range []struct {
		route Route
		want  bool
	}{
		{Route{Kind: Idempotent}, true},
		{Route{Kind: NonIdempotent}, false},
		{Route{Kind: NonIdempotent, Resumable: true}, false},
		{Route{Kind: Stream}, false},
		{Route{Kind: Stream, Resumable: true}, true},
	} {
		assert.Equal(t, c.route.Repeatable(), c.want, "%+v", c.route)
	}
}

// Guards against streams that go on at another service after their route has moved, or another route has taken its paths.
func TestFormerServicesOfAPathAreRemembered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		route := func(prefix, service string) Route {
			return Route{Host: "h", Prefix: prefix, Kind: Stream, Resumable: true, Split: []Share{{Service: service, Weight: 1}}}
		}
		var h Holder
		h.Apply(&Plan{Version: 1, Routes: []Route{route("/a/", "one")}})
		assert.Assert(t, !h.WasElsewhere("h", "/a/x", "one", time.Now()))
		h.Apply(&Plan{Version: 2, Routes: []Route{route("/a/", "one"), route("/a/b/", "two")}})
		assert.Assert(t, !h.WasElsewhere("h", "/a/x", "one", time.Now()))
		assert.Assert(t, h.WasElsewhere("h", "/a/b/x", "two", time.Now()))
		assert.Assert(t, !h.WasElsewhere("other", "/a/b/x", "two", time.Now()))
		time.Sleep(time.Minute)
		h.Apply(&Plan{Version: 3, Routes: []Route{route("/a/", "two"), route("/a/b/", "two")}})
		assert.Assert(t, h.WasElsewhere("h", "/a/x", "two", time.Now()))
		time.Sleep(formerMemory + time.Second)
		assert.Assert(t, !h.WasElsewhere("h", "/a/x", "two", time.Now()))
	})
}

// Guards against streams of nested routes that are refused after each new configuration, although none has moved.
func TestNestedRoutesThatStayWereNotElsewhere(t *testing.T) {
	route := func(prefix, service string) Route {
		return Route{Host: "h", Prefix: prefix, Kind: Stream, Resumable: true, Split: []Share{{Service: service, Weight: 1}, {Service: "unused"}}}
	}
	var h Holder
	for version := range uint64(3) {
		h.Apply(&Plan{Version: 1 + version, Routes: []Route{route("/", "two"), route("/x/", "one")}})
		assert.Assert(t, !h.WasElsewhere("h", "/x/1", "one", time.Now()))
		assert.Assert(t, !h.WasElsewhere("h", "/y", "two", time.Now()))
	}
}
