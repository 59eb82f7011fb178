package reach_test

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/vanillagate/vanillagate/internal/peer"
	"github.com/vanillagate/vanillagate/internal/serve/pool"
	"github.com/vanillagate/vanillagate/internal/serve/reach"
	"github.com/vanillagate/vanillagate/internal/serve/servetest"
)

// vm is a process with a tracker; cut makes its connections to targets hang, but for the one spared.
type vm struct {
	*reach.Tracker
	id    peer.Incarnation
	table *pool.Table
	cut   atomic.Bool
	spare string // address
	// freeze stops the next check for this long, after which all of its connections have timed out.
	freeze atomic.Int64
	dials  atomic.Int64
}

var services = []string{"engines", "desk"}

func newVM(ctx context.Context, cluster *servetest.Cluster, name string) *vm {
	v := &vm{table: pool.New(zap.NewNop()), id: peer.Incarnation(name)}
	var entries []pool.Entry
	for _, service := range services {
		for i := range 5 {
			id := fmt.Sprint(service, i)
			entries = append(entries, pool.Entry{ID: id, Service: service, Address: id, Slots: 1, State: pool.Ready, Revision: 1})
		}
	}
	v.table.Reset(entries, 1, time.Now())
	v.Tracker = reach.New(reach.Options{
		Log: zap.NewNop(), Network: cluster.Add(name, "z"), Table: v.table, Services: func() []string { return services },
		Connect: func(ctx context.Context, address string) error {
			v.dials.Add(1)
			if d := time.Duration(v.freeze.Load()); d > 0 {
				time.Sleep(d)
				v.freeze.Store(0)
				return context.DeadlineExceeded
			}
			if !v.cut.Load() || address == v.spare {
				return nil
			}
			<-ctx.Done()
			return ctx.Err()
		},
	})
	go v.Run(ctx)
	return v
}

// failToConnect ends calls to n targets of a service without a connection.
func (v *vm) failToConnect(service string, n int) {
	for _, target := range v.table.ReadySet(service).Targets[:n] {
		v.table.Begin(target, 0, time.Now()).End(pool.Unreachable, time.Now())
	}
}

func TestCutOffVMTellsItsPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		cluster := &servetest.Cluster{Delay: time.Millisecond}
		a, b := newVM(ctx, cluster, "a"), newVM(ctx, cluster, "b")
		a.cut.Store(true)
		a.failToConnect("engines", 2)
		time.Sleep(2 * time.Second)
		for _, service := range services {
			assert.Assert(t, a.CutOff(service), service)
			assert.Assert(t, b.PeerCutOff("a", service), service)
		}
		assert.Assert(t, !b.CutOff("engines"))
		assert.Assert(t, !a.PeerCutOff("b", services...))
		before, own := b.Generation(), a.Generation()
		time.Sleep(20 * time.Second)
		assert.Assert(t, b.PeerCutOff("a", "engines"), "its notice expired during the partition")
		assert.Equal(t, b.Generation(), before, "the same notice again changes nothing")
		assert.Equal(t, a.Generation(), own, "the same checks again change nothing")
		a.cut.Store(false)
		time.Sleep(time.Second)
		assert.Assert(t, !a.CutOff("engines") && !b.PeerCutOff("a", services...))
	})
}

// Guards against a VM that refuses what the few targets that it reaches could serve.
func TestCutOffVMKnowsTheTargetsThatItReaches(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		v := newVM(ctx, &servetest.Cluster{}, "a")
		v.spare = "desk3"
		v.cut.Store(true)
		v.failToConnect("engines", 2)
		time.Sleep(time.Second)
		assert.Assert(t, v.CutOff("desk"))
		for _, target := range v.table.ReadySet("desk").Targets {
			assert.Equal(t, v.Connected(target), target.Address == v.spare, target.Address)
		}
	})
}

// Guards against a VM that counts as cut off because it was frozen during a check.
func TestFrozenVMIsNotCutOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		v := newVM(ctx, &servetest.Cluster{}, "a")
		v.freeze.Store(int64(2 * time.Second))
		v.failToConnect("engines", 2)
		for range 40 {
			time.Sleep(100 * time.Millisecond)
			assert.Assert(t, !v.CutOff("engines"))
		}
		assert.Assert(t, v.dials.Load() > 0)
	})
}

// published is a notice as its peers get it.
type published struct {
	version uint64
	at      time.Time
}

// noticesOfCutOffVM returns what a VM publishes in ten seconds of being cut off.
func noticesOfCutOffVM(ctx context.Context) []published {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	cluster := &servetest.Cluster{}
	var list []published
	cluster.Add("b", "z").Subscribe(peer.TopicReach, func(i peer.Item) {
		list = append(list, published{version: i.Version, at: time.Now()})
	})
	a := newVM(ctx, cluster, "a")
	a.cut.Store(true)
	a.failToConnect("engines", 2)
	time.Sleep(10 * time.Second)
	synctest.Wait()
	return list
}

// Guards against notices that peers ignore after a step of the clock.
func TestNoticesAreNumberedConsecutively(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		notices := noticesOfCutOffVM(t.Context())
		assert.Assert(t, len(notices) > 5, "%v", notices)
		for i, n := range notices {
			assert.Equal(t, n.version, uint64(i+1))
		}
	})
}

// Guards against a VM that tells its peers the same twice at once.
func TestNoticesAreNotRepeatedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		notices := noticesOfCutOffVM(t.Context())
		for i := 1; i < len(notices); i++ {
			assert.Assert(t, notices[i].at.After(notices[i-1].at), "notices %d and %d", i-1, i)
		}
	})
}

// Guards against a VM that died while it was cut off and is left out forever.
func TestNoticeOfADeadVMExpires(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		cluster := &servetest.Cluster{Delay: time.Millisecond}
		aCtx, kill := context.WithCancel(ctx)
		a, b := newVM(aCtx, cluster, "a"), newVM(ctx, cluster, "b")
		a.cut.Store(true)
		a.failToConnect("engines", 2)
		time.Sleep(2 * time.Second)
		assert.Assert(t, b.PeerCutOff("a", "engines"))
		kill()
		time.Sleep(6 * time.Second)
		assert.Assert(t, !b.PeerCutOff("a", "engines"))
	})
}

// Guards against a VM that counts as cut off, or checks, because a few targets have crashed.
func TestFailedTargetsAloneAreNoPartition(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		v := newVM(ctx, &servetest.Cluster{}, "a")
		v.failToConnect("engines", 1)
		time.Sleep(time.Second)
		assert.Equal(t, v.dials.Load(), int64(0))
		v.failToConnect("engines", 3)
		time.Sleep(time.Second)
		assert.Equal(t, v.dials.Load(), int64(5))
		assert.Assert(t, !v.CutOff("engines"))
	})
}
