package serve

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/vanillagate/vanillagate/internal/peer"
	"github.com/vanillagate/vanillagate/internal/serve/servetest"
	"github.com/vanillagate/vanillagate/internal/suspect"
)

// board is a network that passes what one process publishes to all.
type board struct {
	*servetest.Node
	hear []func(peer.Item)

	mu    sync.Mutex // guards what follows
	items int
	bytes int
}

func (b *board) published() (items, bytes int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.items, b.bytes
}

func (b *board) Subscribe(_ peer.Topic, fn func(peer.Item)) { b.hear = append(b.hear, fn) }

func (b *board) Publish(topic peer.Topic, key string, version uint64, ttl time.Duration, body any) error {
	encoded, err := json.Marshal(body)
	if err != nil {
		return err
	}
	b.mu.Lock()
	b.items++
	b.bytes += len(encoded)
	b.mu.Unlock()
	for _, fn := range b.hear {
		fn(peer.Item{Topic: topic, Key: key, Version: version, TTL: ttl, Body: encoded})
	}
	return nil
}

// A quarter of all engines dies at once, and every request that ran there is
// suspected. If each suspicion were a message of its own, the links between the
// processes would be full of them, and callers' requests would wait.
func TestManyDeathsAtOnceAreFewMessages(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := &board{Node: (&servetest.Cluster{}).Add("vm", "a")}
		s := newSuspicion(context.Background(), zap.NewNop(), b)
		for i := range 2 * maxTold {
			s.crashed(suspect.Fingerprint(fmt.Sprint("request-", i)), fmt.Sprintf("10.0.0.%d:80", i/8))
		}
		time.Sleep(tellSpread)
		items, bytes := b.published()
		assert.Equal(t, items, 1)
		assert.Assert(t, bytes < maxTold*64, "%d bytes", bytes)
		s.crashed("later", "10.0.1.1:80")
		s.crashed("later still", "10.0.1.1:80")
		time.Sleep(tellPause)
		items, _ = b.published()
		assert.Equal(t, items, 2)
	})
}

// A request crashes a target at each of three processes. Each of them has seen
// one crash only; together they know that it gets no more targets.
func TestCrashesSeenByThreeProcessesConvict(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := &board{Node: (&servetest.Cluster{}).Add("vm", "a")}
		var all []*suspicion
		for range 3 {
			all = append(all, newSuspicion(context.Background(), zap.NewNop(), b))
		}
		for i, s := range all {
			assert.Assert(t, !s.Convicted("culprit"))
			s.crashed("culprit", fmt.Sprintf("10.0.0.%d:80", i))
			time.Sleep(tellPause + tellSpread)
		}
		for _, s := range all {
			assert.Assert(t, s.Convicted("culprit"))
			assert.Assert(t, !s.Convicted("another"))
		}
	})
}
