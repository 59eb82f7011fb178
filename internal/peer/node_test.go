package peer

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

func TestNodesFindEachOther(t *testing.T) {
	c := newCluster(t)
	var nodes []*Node
	for i := range 9 {
		nodes = append(nodes, c.start(c.options("r1", zoneName(i%3))))
	}
	waitAgreed(t, nodes)
}

func TestManyNodesFindEachOtherOverBoundedLinks(t *testing.T) {
	c := newCluster(t)
	var nodes []*Node
	for i := range 45 {
		opts := c.options(fmt.Sprintf("r%d", i%3), zoneName(i/3%3))
		opts.Period = slowPeriod
		nodes = append(nodes, c.start(opts))
	}
	waitAgreed(t, nodes)
	assert.NilError(t, nodes[0].Publish(TopicChange, "k", 1, time.Minute, "body"))
	for _, n := range nodes {
		waitItems(t, n, TopicChange, 1)
	}
	wait(t, func() poll.Result {
		for _, n := range nodes {
			if links := n.Links(); links > 24 {
				return poll.Continue("%d links", links)
			}
		}
		return poll.Success()
	})
}

func TestItemsSpreadAndLateJoinersGetThem(t *testing.T) {
	c := newCluster(t)
	opts := c.options("r1", "a")
	nodes := c.startMany(4, "r1", "a")
	waitAgreed(t, nodes)
	assert.NilError(t, nodes[1].Publish(TopicStop, "k", 1, time.Minute, "first"))
	assert.NilError(t, nodes[1].Publish(TopicStop, "k", 2, time.Minute, "second"))
	assert.ErrorIs(t, nodes[1].Publish(TopicStop, "k", 2, time.Minute, "third"), ErrVersionNotNewer)
	late := c.start(opts)
	for _, n := range append(nodes, late) {
		wait(t, func() poll.Result {
			items := n.Items(TopicStop)
			if len(items) != 1 || string(items[0].Body) != `"second"` {
				return poll.Continue("items %v", items)
			}
			return poll.Success()
		})
	}
}

func TestSubscribersGetNewItemsOfOthers(t *testing.T) {
	c := newCluster(t)
	sender := c.start(c.options("r1", "a"))
	receiver, err := New(c.options("r1", "a"))
	assert.NilError(t, err)
	got := make(chan Item, 10)
	receiver.Subscribe(TopicSuspect, func(item Item) { got <- item })
	assert.NilError(t, receiver.Start(context.Background()))
	t.Cleanup(receiver.Close)
	waitAgreed(t, []*Node{sender, receiver})
	assert.NilError(t, sender.Publish(TopicSuspect, "fingerprint", 7, time.Minute, 1))
	item := <-got
	assert.Equal(t, item.Origin, sender.Self().Incarnation)
	assert.Equal(t, item.Version, uint64(7))
}

func TestItemsOfDeadMembersExpire(t *testing.T) {
	c := newCluster(t)
	nodes := c.startMany(3, "r1", "a")
	waitAgreed(t, nodes)
	assert.NilError(t, nodes[0].Publish(TopicSuspect, "k", 1, 10*testPeriod, 1))
	waitItems(t, nodes[1], TopicSuspect, 1)
	crash(nodes[0])
	waitItems(t, nodes[1], TopicSuspect, 0)
	waitItems(t, nodes[2], TopicSuspect, 0)
}

type question struct {
	Number int `json:"number"`
}

func TestCallsReachOneMember(t *testing.T) {
	c := newCluster(t)
	caller := c.start(c.options("r1", "a"))
	callee, err := New(c.options("r1", "b"))
	assert.NilError(t, err)
	callee.Handle("double", func(_ context.Context, params json.RawMessage) (any, error) {
		var q question
		if err := json.Unmarshal(params, &q); err != nil {
			return nil, err
		}
		return question{2 * q.Number}, nil
	})
	assert.NilError(t, callee.Start(context.Background()))
	t.Cleanup(callee.Close)
	waitAgreed(t, []*Node{caller, callee})
	var result question
	assert.NilError(t, caller.Call(t.Context(), callee.Self().Incarnation, "double", question{21}, &result))
	assert.Equal(t, result.Number, 42)
	assert.NilError(t, callee.Call(t.Context(), callee.Self().Incarnation, "double", question{1}, &result))
	assert.Equal(t, result.Number, 2)
	err = caller.Call(t.Context(), "nobody", "double", question{1}, &result)
	assert.ErrorIs(t, err, ErrUnknownMember)
	err = caller.Call(t.Context(), callee.Self().Incarnation, "halve", question{1}, &result)
	assert.ErrorContains(t, err, "no method")
}
