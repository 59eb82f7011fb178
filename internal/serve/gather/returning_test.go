package gather_test

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/vanillagate/vanillagate/internal/peer"
	"github.com/vanillagate/vanillagate/internal/serve/gather"
	"github.com/vanillagate/vanillagate/internal/serve/plan"
	"github.com/vanillagate/vanillagate/internal/serve/pool"
	"github.com/vanillagate/vanillagate/internal/serve/servetest"
)

// placeNode is a process's network on which messages about places are lost or late.
type placeNode struct {
	*servetest.Node
	lose  bool
	delay time.Duration
}

func (n *placeNode) Call(ctx context.Context, to peer.Incarnation, method string, params, result any) error {
	if method == "gather.place" {
		if n.lose {
			return errors.New("lost")
		}
		time.Sleep(n.delay)
		ctx = context.WithoutCancel(ctx)
	}
	return n.Node.Call(ctx, to, method, params, result)
}

// placeMember is a process, its network and the processes that are cut off.
type placeMember struct {
	member
	network *placeNode
}

// placeMembers creates three processes and two services of one target each, with a gatherer each.
func placeMembers(life context.Context, cutOff *cutOffSet) []placeMember {
	cluster := &servetest.Cluster{Delay: time.Millisecond}
	batch := &plan.Batch{Size: 8, CallTime: 240 * time.Millisecond, ItemTime: 20 * time.Millisecond, BufferBytes: 1000, Keep: 4 * time.Second}
	pools := &servetest.FakeTargets{Services: map[string]*plan.Batch{"s": batch, "u": batch}}
	var list []placeMember
	for i := range 3 {
		table := pool.New(zap.NewNop())
		table.Reset([]pool.Entry{
			{ID: "s", Service: "s", Address: "10.0.0.1:1", Slots: 1, State: pool.Ready, Revision: 1},
			{ID: "u", Service: "u", Address: "10.0.0.2:1", Slots: 1, State: pool.Ready, Revision: 1},
		}, 1, time.Now())
		plans := &plan.Holder{}
		plans.Apply(&plan.Plan{Version: 1, Services: []plan.Service{{Name: "s", Batch: batch}, {Name: "u", Batch: batch}}})
		m := placeMember{network: &placeNode{Node: cluster.Add(string(rune('a'+i)), "z")}}
		m.node = m.network.Node
		m.Requester = gather.New(gather.Options{
			Log: zap.NewNop(), Network: m.network, Table: table, Reach: &fakeReach{self: string(rune('a' + i)), cutOff: cutOff},
			Gatherer: gather.NewGatherer(life, zap.NewNop(), table, plans, pools),
		})
		list = append(list, m)
	}
	return list
}

// attempt reserves capacity for an attempt of a caller and has its items processed.
func (m placeMember) attempt(ctx context.Context, id, caller string, services ...string) error {
	now := time.Now()
	var wants []gather.ReservationRequest
	for i, service := range services {
		wants = append(wants, gather.ReservationRequest{
			Service: service, Stage: i, Items: 4, Due: now.Add(time.Second), Latest: now.Add(4 * time.Second), Deadline: now.Add(4 * time.Second),
			Caller: gather.CallerIdentity("t", caller),
		})
	}
	if _, err := m.ReserveStages(ctx, id, wants); err != nil {
		return err
	}
	for i, want := range wants {
		work := gather.StageWork{Service: want.Service, Due: want.Due, Expires: want.Deadline}
		for piece := range want.Items {
			work.Items = append(work.Items, gather.Item{Key: gather.Key{Request: id, Stage: i, Piece: piece}, Source: "k", Bytes: 1})
		}
		go func() {
			if done, err := m.RunStage(ctx, work); err == nil {
				m.Free(done.Shard, done.Results)
			}
		}()
	}
	return nil
}

// untilPlaced sends requests until one is refused and has a place, and returns its caller and the
// time until the place.
func untilPlaced(t *testing.T, ctx context.Context, m placeMember, services ...string) (caller string, until time.Duration) {
	t.Helper()
	for i := range 10 {
		caller = fmt.Sprint("caller-", i)
		var refused *gather.RefusedError
		asked := services[:1]
		if i >= 2 {
			asked = services
		}
		if err := m.attempt(ctx, fmt.Sprint("r-", i), caller, asked...); errors.As(err, &refused) {
			assert.Assert(t, refused.Place > 0, "%v", err)
			return caller, refused.Place
		}
	}
	t.Fatal("no request was refused")
	return "", 0
}

func held(list []placeMember) (byMember []int, total int) {
	for _, m := range list {
		n, _ := m.Gatherer().Places(time.Now())
		byMember = append(byMember, n)
		total += n
	}
	return byMember, total
}

// The gatherer that holds a place is gone, or doesn't answer, when the caller comes back, or two
// processes gather for the shard. A caller that is treated as new then must not be refused without
// need, and the place must not keep capacity from others.
func TestPlaceIsLostWithItsGatherer(t *testing.T) {
	for name, fault := range map[string]func(gatherer, other placeMember, cutOff *cutOffSet){
		"none":   func(placeMember, placeMember, *cutOffSet) {},
		"killed": func(gatherer, _ placeMember, _ *cutOffSet) { gatherer.node.Kill() },
		"paused": func(gatherer, _ placeMember, _ *cutOffSet) { gatherer.node.Freeze() },
		"replaced": func(gatherer, _ placeMember, cutOff *cutOffSet) {
			cutOff.add(string(gatherer.node.Self().Incarnation))
		},
		"two gatherers": func(gatherer, other placeMember, _ *cutOffSet) {
			gatherer.node.Freeze()
			go func() {
				_ = other.attempt(context.Background(), "probe", "probe", "s") // fails over
			}()
			time.Sleep(360 * time.Millisecond)
			gatherer.node.Thaw()
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				life, stop := context.WithCancel(context.Background())
				defer stop()
				cutOff := &cutOffSet{}
				list := placeMembers(life, cutOff)
				time.Sleep(time.Second)
				caller, until := untilPlaced(t, life, list[0], "s")
				told := time.Now().Add(until)
				byMember, total := held(list)
				assert.Equal(t, total, 1)
				gatherer, other := 0, 1
				for i, n := range byMember {
					if n > 0 {
						gatherer = i
					}
				}
				if gatherer == other {
					other = 2
				}
				fault(list[gatherer], list[other], cutOff)
				time.Sleep(time.Until(told) + 10*time.Millisecond)
				assert.NilError(t, list[other].attempt(life, "again", caller, "s"))
				_, counts := list[gatherer].Gatherer().Places(time.Now())
				assert.Equal(t, counts.Claimed == 1, name == "none", "%+v", counts)
				time.Sleep(2 * time.Second)
				_, total = held(list)
				assert.Equal(t, total, 0)
				assert.NilError(t, list[other].attempt(life, "new", "new", "s"))
				stop()
				time.Sleep(2 * time.Second) // lets messages in transit arrive
			})
		})
	}
}

// A request is refused by one of its shards and gets a place at the other by a message that is
// lost, or arrives after the caller has come back.
func TestPlaceMessageIsLostOrLate(t *testing.T) {
	for name, c := range map[string]struct {
		lose  bool
		delay time.Duration
		held  int
	}{
		"delivered": {held: 2}, "lost": {lose: true, held: 1}, "late": {delay: 2 * time.Second, held: 1},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				life, stop := context.WithCancel(context.Background())
				defer stop()
				list := placeMembers(life, nil)
				time.Sleep(time.Second)
				// The gatherer of u gets the message over the network.
				entry := list[0]
				assert.NilError(t, entry.attempt(life, "u", "", "u"))
				time.Sleep(time.Second)
				for _, m := range list {
					m.network.lose, m.network.delay = c.lose, c.delay
					if m.calls() == 0 {
						entry = m
					}
				}
				caller, until := untilPlaced(t, life, entry, "s", "u")
				time.Sleep(20 * time.Millisecond)
				_, total := held(list)
				assert.Equal(t, total, c.held)
				time.Sleep(until)
				assert.NilError(t, list[1].attempt(life, "again", caller, "s", "u"))
				time.Sleep(5 * time.Second)
				_, total = held(list)
				assert.Equal(t, total, 0)
				stop()
				time.Sleep(3 * time.Second)
			})
		})
	}
}
