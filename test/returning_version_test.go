package test

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/vanillagate/vanillagate/platform/standin"
)

// returnDraw is how targets come back at their addresses with another version.
type returnDraw struct {
	// targets is how many do, one after the other at once; down is how long each is away.
	targets int
	down    time.Duration
	// entryDelay is the time from then until its entry names the new version.
	entryDelay time.Duration
	// newID means that they are back under new IDs, as the platform's are.
	newID bool
}

// replaceInPlace ends an engine and starts another version at its address.
func (s *streamSoak) replaceInPlace(engine *standin.Target, version string, d returnDraw) {
	next := &standin.Target{
		ID: engine.ID, Service: engine.Service, Zone: engine.Zone, Slots: engine.Slots, Events: engine.Events, EventInterval: engine.EventInterval,
		SlowFactor: engine.SlowFactor, Version: version, NamesVersion: true,
	}
	if d.newID {
		next.ID += "-again"
	}
	engine.Stop()
	time.Sleep(d.down)
	assert.Check(s.t, next.Start(engine.Address()))
	s.t.Cleanup(next.Stop)
	s.t.Logf("%s is back as %s at %s", next.ID, version, time.Now().UTC().Format("15:04:05.000"))
	time.Sleep(d.entryDelay)
	if d.newID {
		s.edges.site.Store.Delete("servers", engine.ID)
	}
	s.edges.site.Store.Put("servers", next.ID, next.Entry("ready", 2))
	s.t.Logf("entry of %s names %s at %s", next.ID, version, time.Now().UTC().Format("15:04:05.000"))
}

// Guards against streams that go on at a target that is back under its ID and address with another version.
func TestPlatformStreamsAreNotMixedByTargetsThatKeepTheirIDWithAnotherVersion(t *testing.T) {
	t.Parallel()
	playReturns(t, false)
}

// Guards against streams that go on at a target of another version that is at the address of their own.
func TestPlatformStreamsAreNotMixedByTargetsThatComeBackWithAnotherVersion(t *testing.T) {
	t.Parallel()
	playReturns(t, true)
}

// playReturns has targets of which streams are open come back with another version.
func playReturns(t *testing.T, newID bool) {
	t.Helper()
	for _, seed := range plannedSeeds(t) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			t.Parallel()
			random := rand.New(rand.NewPCG(seed, 70))
			s := newStreamSite(startEdgeSite(t, joinVMs), seed)
			for range enginesPerVersion {
				s.startEngine("v1")
			}
			time.Sleep(time.Second)
			d := returnDraw{
				targets: 1 + random.IntN(enginesPerVersion), down: time.Duration(random.IntN(300)) * time.Millisecond,
				entryDelay: time.Duration(random.IntN(1500)) * time.Millisecond, newID: newID,
			}
			t.Logf("%+v", d)
			var running sync.WaitGroup
			for i := range joinStreams {
				running.Go(func() { s.runReturnCaller(fmt.Sprint("return-", i), i%joinVMs) })
			}
			time.Sleep(500 * time.Millisecond)
			for _, engine := range s.engines["v1"][:d.targets] {
				running.Go(func() { s.replaceInPlace(engine, "v2", d) })
			}
			running.Wait()
			if len(s.mixed) > 0 {
				s.logTakenUp(s.mixed)
			}
			assert.Check(t, len(s.mixed) == 0, "%v", s.mixed)
		})
	}
}

// runReturnCaller begins a stream at a VM and takes it up at the next ones until it is whole.
func (s *streamSoak) runReturnCaller(name string, vm int) {
	c := &soakStream{name: name, path: standin.SlowPath, versions: map[string]bool{}}
	for n := 0; n < joinAttempts && c.events < versionedEvents; n++ {
		time.Sleep(s.attempt(c, (vm+n)%joinVMs, fmt.Sprintf("%s-%d", name, n), versionedEvents))
	}
	s.finish(c)
}
