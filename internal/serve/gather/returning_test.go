package gather_test

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/vanillagate/vanillagate/internal/serve/gather"
	"github.com/vanillagate/vanillagate/internal/serve/plan"
	"github.com/vanillagate/vanillagate/internal/serve/servetest"
)

// attempt reserves capacity for an attempt of a caller and has its items processed.
func (m member) attempt(ctx context.Context, id, caller string) error {
	now := time.Now()
	want := gather.ReservationRequest{
		Service: "s", Items: 4, Due: now.Add(time.Second), Latest: now.Add(4 * time.Second), Deadline: now.Add(4 * time.Second),
		Caller: gather.CallerIdentity("t", caller),
	}
	if _, err := m.ReserveStages(ctx, id, []gather.ReservationRequest{want}); err != nil {
		return err
	}
	work := gather.StageWork{Service: want.Service, Due: want.Due, Expires: want.Deadline}
	for piece := range want.Items {
		work.Items = append(work.Items, gather.Item{Key: gather.Key{Request: id, Piece: piece}, Source: "k", Bytes: 1})
	}
	go func() {
		if done, err := m.RunStage(ctx, work); err == nil {
			m.Free(done.Shard, done.Results)
		}
	}()
	return nil
}

// untilPlaced sends requests until one has a place, and returns its caller and the time of the
// place, and the processes in the order of their places.
func untilPlaced(ctx context.Context, t *testing.T, list []member) (caller string, at time.Time, gatherer, other member) {
	t.Helper()
	var refused *gather.RefusedError
	for i := 0; !errors.As(list[0].attempt(ctx, fmt.Sprint("r-", i), caller), &refused); i++ {
		assert.Assert(t, i < 10, "no request was refused")
		caller = fmt.Sprint("caller-", i)
	}
	assert.Assert(t, refused.Place > 0, "%v", refused)
	gatherer, other = list[0], list[1]
	for i, m := range list {
		if held, _ := m.Gatherer().Places(time.Now()); held > 0 {
			gatherer, other = m, list[(i+1)%len(list)]
		}
	}
	return caller, time.Now().Add(refused.Place), gatherer, other
}

// The gatherer that holds a place is gone, or doesn't answer, when the caller comes back, or two
// processes gather for the shard. A caller that is treated as new then must not be refused without
// need, and the place must not keep capacity from others.
func TestPlaceIsLostWithItsGatherer(t *testing.T) {
	cutOff := &cutOffSet{}
	for name, fault := range map[string]func(gatherer, other member){
		"none":     func(member, member) {},
		"killed":   func(gatherer, _ member) { gatherer.node.Kill() },
		"paused":   func(gatherer, _ member) { gatherer.node.Freeze() },
		"replaced": func(gatherer, _ member) { cutOff.add(string(gatherer.node.Self().Incarnation)) },
		"two gatherers": func(gatherer, other member) {
			gatherer.node.Freeze()
			assert.NilError(t, other.attempt(context.Background(), "probe", "probe")) // fails over
			gatherer.node.Thaw()
		},
	} {
		synctest.Test(t, func(t *testing.T) {
			life, stop := context.WithCancel(context.Background())
			defer stop()
			cutOff.members = nil
			pools := &servetest.FakeTargets{Services: map[string]*plan.Batch{
				"s": {Size: 8, CallTime: 240 * time.Millisecond, ItemTime: 20 * time.Millisecond, BufferBytes: 1000, Keep: 4 * time.Second},
			}}
			list := newMembersWithReach(life, pools, 3, cutOff)
			time.Sleep(time.Second)
			caller, at, gatherer, other := untilPlaced(life, t, list)
			fault(gatherer, other)
			time.Sleep(time.Until(at) + 10*time.Millisecond)
			assert.NilError(t, other.attempt(life, "again", caller), name)
			_, counts := gatherer.Gatherer().Places(time.Now())
			assert.Equal(t, counts.Claimed == 1, name == "none", "%s: %+v", name, counts)
			time.Sleep(2 * time.Second)
			for _, m := range list {
				held, _ := m.Gatherer().Places(time.Now())
				assert.Equal(t, held, 0, name)
			}
			assert.NilError(t, other.attempt(life, "new", "new"), name)
			stop()
			time.Sleep(2 * time.Second) // lets messages in transit arrive
		})
	}
}
