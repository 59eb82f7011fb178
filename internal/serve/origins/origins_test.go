package origins

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/vanillagate/vanillagate/internal/peer"
	"github.com/vanillagate/vanillagate/internal/serve/servetest"
)

// process is one simulated process.
type process struct {
	*servetest.Node
	*Registry
}

// processes is a simulated system.
type processes struct {
	cluster *servetest.Cluster
	all     []process
}

func newProcesses(n int) *processes {
	p := &processes{cluster: &servetest.Cluster{Delay: time.Millisecond}}
	p.add(n)
	return p
}

func (p *processes) add(n int) {
	for range n {
		node := p.cluster.Add(fmt.Sprint("vm-", len(p.all)), "a")
		p.all = append(p.all, process{node, New(context.Background(), zap.NewNop(), node)})
	}
}

// holdersOf returns the other running processes that keep a stream's record.
func (p *processes) holdersOf(key Key, except int) []process {
	var list []process
	for i, one := range p.all {
		if _, known := one.local(key, time.Now()); known && i != except && one.Running() {
			list = append(list, one)
		}
	}
	return list
}

// findAll returns how many of the running processes find a stream's origin.
func (p *processes) findAll(t *testing.T, key Key, want Origin) (found, running int) {
	t.Helper()
	for _, one := range p.all {
		if !one.Running() {
			continue
		}
		running++
		got := one.Find(context.Background(), key)
		if got.Found {
			assert.Equal(t, got.Origin, want)
			found++
		}
	}
	return found, running
}

var began = Origin{Service: "engines", Version: "v1"}

func inAMinute() time.Time { return time.Now().Add(time.Minute) }

// Guards against origins that die with the process that passed the first event on.
func TestOriginSurvivesTheProcessThatRecordedItAndAHolder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for seed := range 50 {
			p := newProcesses(8)
			key := KeyOf("team", fmt.Sprint("attempt-", seed))
			assert.Assert(t, p.all[0].Record(key, began, inAMinute()).Wait(time.Second))
			p.all[0].Kill() // the second holder may not have the record yet
			time.Sleep(10 * time.Millisecond)
			p.holdersOf(key, 0)[0].Kill()
			found, running := p.findAll(t, key, began)
			assert.Equal(t, found, running)
		}
	})
}

// Guards against origins that aren't found once other members rank first.
func TestOriginIsFoundAfterMembersHaveJoined(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for seed := range 50 {
			p := newProcesses(6)
			key := KeyOf("", fmt.Sprint("attempt-", seed))
			assert.Assert(t, p.all[0].Record(key, began, inAMinute()).Wait(time.Second))
			time.Sleep(10 * time.Millisecond)
			p.all[0].Kill()
			p.add(3)
			found, running := p.findAll(t, key, began)
			assert.Equal(t, found, running)
		}
	})
}

// Guards against a running stream whose holders are replaced one after the other.
func TestRefreshGivesTheRecordToNewHolders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newProcesses(3)
		key := KeyOf("", "attempt")
		recording := p.all[0].Record(key, began, inAMinute())
		assert.Assert(t, recording.Wait(time.Second))
		for range 5 {
			time.Sleep(10 * time.Millisecond)
			for _, holder := range p.holdersOf(key, 0) {
				holder.Kill()
			}
			p.add(3)
			recording.Refresh()
			time.Sleep(10 * time.Millisecond)
			assert.Equal(t, len(p.holdersOf(key, 0)), holderCount)
		}
	})
}

// Guards against streams held back by a holder that doesn't answer while another one does.
func TestSilentHolderIsReplacedAndDoesNotDelay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for seed := range 20 {
			p := newProcesses(8)
			key := KeyOf("", fmt.Sprint("attempt-", seed))
			first := p.all[0].ranked(key, 1, func(peer.MemberState) bool { return true })[0]
			for _, one := range p.all {
				if one.Self().Incarnation == first {
					one.Freeze()
				}
			}
			start := time.Now()
			assert.Assert(t, p.all[0].Record(key, began, inAMinute()).Wait(time.Second))
			assert.Assert(t, time.Since(start) < 10*time.Millisecond)
			time.Sleep(2 * storeTimeout)
			assert.Equal(t, len(p.holdersOf(key, 0)), holderCount)
		}
	})
}

// Guards against a search that waits for silent processes, or takes their silence for an answer.
func TestUnknownStreamIsReportedInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newProcesses(5)
		got := p.all[0].Find(context.Background(), KeyOf("", "unknown"))
		assert.Equal(t, got, Result{Asked: 4, Answered: 4})
		p.all[1].Freeze()
		start := time.Now()
		got = p.all[0].Find(context.Background(), KeyOf("", "unknown"))
		assert.Equal(t, got, Result{Asked: 4, Answered: 3})
		assert.Assert(t, time.Since(start) <= findTimeout)
	})
}

// Guards against a system of one process, or one that has lost all others, that waits for holders.
func TestOnlyProcessDoesNotWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newProcesses(1)
		start := time.Now()
		key := KeyOf("", "attempt")
		assert.Assert(t, !p.all[0].Record(key, began, inAMinute()).Wait(time.Second))
		assert.Equal(t, time.Since(start), time.Duration(0))
		assert.Assert(t, p.all[0].Find(context.Background(), key).Found)
	})
}

// Guards against memory and calls that grow with the age or the size of the system.
func TestRecordsAndCallsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newProcesses(200)
		for i := range 100 {
			p.all[i].Record(KeyOf("", fmt.Sprint(i)), began, inAMinute())
		}
		time.Sleep(time.Second)
		assert.Equal(t, p.cluster.CallCount(), 100*holderCount)
		p.all[0].Find(context.Background(), KeyOf("", "unknown"))
		assert.Equal(t, p.cluster.CallCount(), 100*holderCount+maxHoldersAsked)
		time.Sleep(time.Minute)
		for _, one := range p.all {
			one.Sweep(time.Now())
			assert.Equal(t, one.Count(), 0)
		}
		for i := range maxRecords + 10 {
			p.all[0].keep(KeyOf("", fmt.Sprint(i)), record{origin: began, expiresAt: inAMinute()})
		}
		assert.Equal(t, p.all[0].Count(), maxRecords)
	})
}

// stuckNetwork has calls that don't end with their context, as while a link's write blocks.
type stuckNetwork struct{ peer.Network }

func (stuckNetwork) Call(context.Context, peer.Incarnation, string, any, any) error {
	time.Sleep(10 * findTimeout)
	return context.DeadlineExceeded
}

// Guards against requests that wait for a call that doesn't end in time.
func TestSearchEndsInTimeAlthoughCallsAreStuck(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newProcesses(3)
		registry := New(context.Background(), zap.NewNop(), stuckNetwork{p.all[0].Node})
		start := time.Now()
		assert.Equal(t, registry.Find(context.Background(), KeyOf("", "unknown")), Result{Asked: 2})
		assert.Assert(t, time.Since(start) <= findTimeout)
		time.Sleep(10 * findTimeout) // until the calls have ended
	})
}

// Guards against streams that a process refuses for good after a standstill, before it knows the others again.
func TestProcessThatHasStoodStillWaitsForTheOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newProcesses(3)
		key := KeyOf("", "stream")
		assert.Assert(t, p.all[0].Record(key, began, inAMinute()).Wait(time.Second))
		time.Sleep(joinTime)
		p.add(1)
		late := p.all[3]
		time.Sleep(joinTime)
		late.SetStale(true)
		got := late.Find(context.Background(), key)
		assert.Assert(t, !got.Found && got.Joining)
		time.AfterFunc(staleTime/2, func() { late.SetStale(false) })
		got = late.Find(context.Background(), key)
		assert.Assert(t, got.Found)
	})
}

// Guards against records of the only version that leave no room for those without which streams are refused.
func TestRecordsOfTheOnlyVersionLeaveRoomForOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newProcesses(3)
		for i := range maxRecords {
			p.all[i%3].Hold(KeyOf("", fmt.Sprint(i)), began, inAMinute())
		}
		time.Sleep(time.Second)
		other := Origin{Service: began.Service, Version: "v2"}
		for i := range 200 {
			key := KeyOf("late", fmt.Sprint(i))
			assert.Assert(t, p.all[0].Record(key, other, inAMinute()).Wait(time.Second))
			found, running := p.findAll(t, key, other)
			assert.Equal(t, found, running)
		}
		time.Sleep(time.Minute)
		for _, one := range p.all {
			assert.Equal(t, one.only, maxOnlyRecords)
			one.Sweep(time.Now())
			assert.Equal(t, one.only, 0)
		}
	})
}
