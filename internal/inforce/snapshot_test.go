package inforce

import (
	"context"
	"encoding/json"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/vanillagate/vanillagate/internal/backing/memory"
	"github.com/vanillagate/vanillagate/internal/peer"
)

// soleProcess is the network of a process without peers.
type soleProcess struct{ peer.Network }

func (soleProcess) Subscribe(peer.Topic, func(peer.Item)) {}

func (soleProcess) Handle(string, func(context.Context, json.RawMessage) (any, error)) {}

func (soleProcess) Self() peer.Member { return peer.Member{Incarnation: "self"} }

func (soleProcess) Members() []peer.Member { return nil }

// Guards against a data race, seen by the race detector only, of the snapshot's reader and writer.
func TestSnapshotIsReadAndWrittenConcurrently(t *testing.T) {
	store := memory.New()
	k := New(Options{
		Table: store, Objects: store.Objects(), Network: soleProcess{}, Log: zap.NewNop(),
		Period: time.Millisecond, SnapshotPeriod: time.Millisecond,
	})
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	var running sync.WaitGroup
	running.Go(func() { k.RunSnapshots(ctx) })
	running.Go(func() {
		for ctx.Err() == nil {
			k.readSnapshot(ctx)
		}
	})
	running.Wait()
}
