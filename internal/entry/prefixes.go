package entry

import (
	"context"
	"encoding/json"
	"strconv"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/vanillagate/vanillagate/internal/target"
	"github.com/vanillagate/vanillagate/internal/targetapi"
	"github.com/vanillagate/vanillagate/internal/wait"
)

const (
	// eventsPeriod is how often the engines are asked for their cache events;
	// eventsAtOnce bounds how many are asked at the same time.
	eventsPeriod  = 500 * time.Millisecond
	eventsTimeout = 500 * time.Millisecond
	eventsAtOnce  = 8
)

// runCacheEvents follows the prefix caches of the engines that this process
// sends to.
func (s *Server) runCacheEvents(ctx context.Context) {
	if s.prefixes == nil {
		return
	}
	for wait.Jittered(ctx, eventsPeriod) {
		listed := map[string]bool{}
		for _, t := range s.targets.Status(time.Now()) {
			listed[t.Address] = true
		}
		var asking errgroup.Group
		asking.SetLimit(eventsAtOnce)
		for _, address := range s.prefixes.Addresses() {
			if !listed[address] {
				s.prefixes.Forget(address)
				continue
			}
			asking.Go(func() error {
				s.readCacheEvents(ctx, address)
				return nil
			})
		}
		_ = asking.Wait()
	}
}

// readCacheEvents: an engine that doesn't answer is asked again later. What is
// known of it grows old meanwhile.
func (s *Server) readCacheEvents(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, eventsTimeout)
	defer cancel()
	after := strconv.FormatUint(s.prefixes.LastEvent(address), 10)
	answer, err := s.client.Do(ctx, target.Call{
		Address: address, Method: "GET", Path: targetapi.PathCacheEvents + "?after=" + after,
	})
	var events targetapi.CacheEvents
	if err != nil || answer.Status != 200 || json.Unmarshal(answer.Body, &events) != nil {
		return
	}
	s.prefixes.ApplyEvents(address, events)
}
