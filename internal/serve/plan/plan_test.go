package plan

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func indexed(p Plan) *Plan {
	p.Index()
	return &p
}

func TestTheLongestPrefixDecides(t *testing.T) {
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

// A configuration comes over the store's feed, from a peer and from a reread,
// in any order and more than once. If an older one could replace a newer one, a
// caller would find a key refused that had just been let in, or a route gone
// that had just served it.
func TestAnOlderPlanNeverReplacesANewerOne(t *testing.T) {
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
				t.Fatalf("told of %v", seen)
			}
		}
	})
}

func TestSplitFollowsTheWeights(t *testing.T) {
	r := Route{Split: []Share{{Service: "a", Weight: 9}, {Service: "b", Weight: 1}, {Service: "c", Weight: 0}}}
	counts := map[string]int{}
	for i := range 1000 {
		counts[r.Pick(float64(i)/1000)]++
	}
	assert.DeepEqual(t, counts, map[string]int{"a": 900, "b": 100})
	assert.Equal(t, (&Route{}).Pick(0.5), "")
}

func TestATeamsPriorityGoesBeforeTheRoutes(t *testing.T) {
	first := 0
	r := &Route{Priority: 2}
	assert.Equal(t, Rank(r, nil), 2)
	assert.Equal(t, Rank(r, &Team{}), 2)
	assert.Equal(t, Rank(r, &Team{Priority: &first}), 0)
}

func TestOnlyResumableStreamsMayRunTwice(t *testing.T) {
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
