package gather

import "time"

// buffer tracks the space that results take at one target. At the target a result takes space
// from the start of the call that creates it until it is freed or expires.
type buffer struct {
	bytes   int // total of results
	results map[string]storedResult
	// releasedEarly holds results that were released while their reader could still fail.
	releasedEarly map[string]bool
}

// foreign stands for results that this process doesn't know: they were created for
// a gatherer that died, or for another process that gathers for the same shard. Nobody here
// frees them; they expire.
const foreign = "foreign"

// markFull records that a target reported no space although by this account it should have had
// some. The difference is attributed to foreign results.
func (b *buffer) markFull(size int, expires time.Time) {
	b.put(foreign, max(size-b.bytes+b.foreign(), 0), expires)
}

// foreign returns the space attributed to foreign results.
func (b *buffer) foreign() int { return b.results[foreign].bytes }

// storedResult is the space of one result, and when the target drops it.
type storedResult struct {
	bytes   int
	expires time.Time
}

func (b *buffer) put(handle string, bytes int, expires time.Time) {
	if b.results == nil {
		b.results = map[string]storedResult{}
	}
	b.drop(handle)
	b.results[handle] = storedResult{bytes: bytes, expires: expires}
	b.bytes += bytes
}

// selectReleasable returns the results to free now, and remembers those that are freed early.
// While their readers may still fail (final is false), it returns results only if the buffer,
// which has size bytes, is filled beyond earlyReleaseThreshold.
func (b *buffer) selectReleasable(handles []string, final bool, size int) []string {
	if !final && float64(b.bytes) < earlyReleaseThreshold*float64(size) {
		return nil
	}
	var now []string
	for _, handle := range handles {
		if final && b.releasedEarly[handle] {
			delete(b.releasedEarly, handle)
			continue
		}
		if !final {
			if b.releasedEarly == nil {
				b.releasedEarly = map[string]bool{}
			}
			b.releasedEarly[handle] = true
		}
		now = append(now, handle)
	}
	return now
}

func (b *buffer) drop(handle string) {
	if result, found := b.results[handle]; found {
		b.bytes -= result.bytes
		delete(b.results, handle)
	}
}

// dropExpired forgets results that have expired at the target.
func (b *buffer) dropExpired(now time.Time) {
	for handle, result := range b.results {
		if now.After(result.expires) {
			b.drop(handle)
		}
	}
}
