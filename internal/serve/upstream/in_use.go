package upstream

import (
	"sync"
	"time"

	"github.com/vanillagate/vanillagate/internal/conns"
	"github.com/vanillagate/vanillagate/internal/socket"
)

// connsInUse are the connections on which requests are in progress. The zero value is empty.
type connsInUse struct {
	mu        sync.Mutex // guards byAddress; no other lock is taken while it is held
	byAddress map[string]map[*conns.Conn]bool
}

func (u *connsInUse) add(address string, conn *conns.Conn) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.byAddress == nil {
		u.byAddress = map[string]map[*conns.Conn]bool{}
	}
	if u.byAddress[address] == nil {
		u.byAddress[address] = map[*conns.Conn]bool{}
	}
	u.byAddress[address][conn] = true
}

func (u *connsInUse) remove(address string, conn *conns.Conn) {
	u.mu.Lock()
	defer u.mu.Unlock()
	delete(u.byAddress[address], conn)
	if len(u.byAddress[address]) == 0 {
		delete(u.byAddress, address)
	}
}

// HasOpenFrom reports whether a connection with a request in progress was opened before a time and is still open. The
// process that answers a request which was written at that time has accepted it: one that had the address before has
// died, and its connections have ended. If heardSince isn't zero, only connections count on which data have arrived since:
// the end of one may be delayed like its data.
func (c *Client) HasOpenFrom(address string, before, heardSince time.Time) bool {
	c.inUse.mu.Lock()
	defer c.inUse.mu.Unlock()
	for conn := range c.inUse.byAddress[address] {
		heard := heardSince.IsZero() || conn.ReceivedSince(heardSince)
		if heard && conn.Opened.Before(before) && !socket.HasEnded(conn.Conn) {
			return true
		}
	}
	return false
}
