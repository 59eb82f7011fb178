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
	// cacheEventsPeriod is how often the engines are asked for their cache
	// events. maxConcurrentEventReads bounds how many are asked at the same
	// time.
	cacheEventsPeriod       = 500 * time.Millisecond
	cacheEventsTimeout      = 500 * time.Millisecond
	maxConcurrentEventReads = 8
)

// runCacheEvents tracks the contents of the prefix caches of the engines that
// this process sends to.
func (s *Server) runCacheEvents(ctx context.Context) {
	if s.prefixes == nil {
		return
	}
	for wait.Jittered(ctx, cacheEventsPeriod) {
		listed := map[string]bool{}
		for _, t := range s.targets.Status(time.Now()) {
			listed[t.Address] = true
		}
		var reads errgroup.Group
		reads.SetLimit(maxConcurrentEventReads)
		for _, address := range s.prefixes.Addresses() {
			if !listed[address] {
				s.prefixes.Forget(address)
				continue
			}
			reads.Go(func() error {
				s.readCacheEvents(ctx, address)
				return nil
			})
		}
		_ = reads.Wait()
	}
}

// readCacheEvents reads the new cache events of an engine. If the engine
// doesn't answer, it is asked again in the next period; until then the index
// keeps the last known state.
func (s *Server) readCacheEvents(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, cacheEventsTimeout)
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
