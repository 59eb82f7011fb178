package gather

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/vanillagate/vanillagate/internal/peer"
	"github.com/vanillagate/vanillagate/internal/serve/plan"
)

// reservingNetwork records which processes are asked to reserve and to cancel.
type reservingNetwork struct {
	fixedNetwork
	reserved, cancelled chan peer.Incarnation
}

func (n *reservingNetwork) Call(_ context.Context, to peer.Incarnation, method string, _, _ any) error {
	switch method {
	case methodReserve:
		n.reserved <- to
	case methodCancel:
		n.cancelled <- to
	}
	return nil
}

// Guards against a reservation that stays because another gatherer ranks first when it is cancelled.
func TestReservationIsCancelledWhereItWasMade(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		life, stop := context.WithCancel(context.Background())
		defer stop()
		member := func(name string) peer.Member {
			return peer.Member{Incarnation: peer.Incarnation(name), State: peer.Alive, CPUPercent: 1}
		}
		network := &reservingNetwork{
			fixedNetwork: fixedNetwork{self: peer.Member{Incarnation: "self", State: peer.Leaving}, members: []peer.Member{member("a"), member("b")}},
			reserved:     make(chan peer.Incarnation, 1), cancelled: make(chan peer.Incarnation, 1),
		}
		r := newTestRequester(network)
		r.own = newTestGatherer(life, &plan.Batch{Size: 1, BufferBytes: 100}, nil, "10.0.0.1:1")
		r.table, r.leaving = r.own.table, true
		reserved, err := r.ReserveStages(life, "r", []ReservationRequest{{Service: "s", Items: 1, Due: time.Now().Add(time.Second)}})
		assert.NilError(t, err)
		gatherer := <-network.reserved
		r.unresponsive[gatherer] = true
		assert.Assert(t, r.gatherers(reserved[0].Shard)[0] != gatherer)
		r.CancelReservations("r", reserved)
		assert.Equal(t, <-network.cancelled, gatherer)
	})
}
