package engines

import (
	"cmp"
	"encoding/json"
	"errors"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/vanillagate/vanillagate/internal/peer"
)

// paceEntry is the usual pace of one incarnation of an engine. On the wire it is an array, to which
// later releases may append elements.
type paceEntry struct {
	Target string
	Born   int64
	Pace   float64
}

// roundPace rounds a pace to two digits, to keep announcements short.
func roundPace(pace float64) float64 { return math.Round(pace*100) / 100 }

// MarshalJSON implements json.Marshaler.
func (e paceEntry) MarshalJSON() ([]byte, error) {
	return json.Marshal([]any{e.Target, e.Born, e.Pace})
}

var errShortEntry = errors.New("entry with too few elements")

// UnmarshalJSON implements json.Unmarshaler. It ignores further elements.
func (e *paceEntry) UnmarshalJSON(data []byte) error {
	var elements []json.RawMessage
	if err := json.Unmarshal(data, &elements); err != nil {
		return err
	}
	fields := []any{&e.Target, &e.Born, &e.Pace}
	if len(elements) < len(fields) {
		return errShortEntry
	}
	for i, field := range fields {
		if err := json.Unmarshal(elements[i], field); err != nil {
			return err
		}
	}
	return nil
}

const (
	// minAnnounceInterval and announceIntervalPerMember set the least time between two versions of a
	// tracker's announcement. It grows with the number of processes, since each of them may be a
	// tracker and receives the items of all.
	minAnnounceInterval       = 2 * time.Second
	announceIntervalPerMember = 20 * time.Millisecond
	// announceRefresh is the time after which an unchanged announcement is repeated, in least
	// intervals. Usual paces rarely change: at 985 processes, repetitions cost each of them about
	// 1.5 KB a second.
	announceRefresh = 15
	// maxAnnounced is the number of engines that a tracker announces at most, those whose paces differ
	// most. It keeps the item well below peer.MaxItemBytes.
	maxAnnounced = 1000
	// announceLifetime is the lifetime of an announcement in refresh intervals.
	announceLifetime = 3
)

func announceInterval(members int) time.Duration {
	return max(minAnnounceInterval, time.Duration(members)*announceIntervalPerMember)
}

// announceTTL returns how long an announcement counts.
func announceTTL(members int) time.Duration {
	return announceLifetime * announceRefresh * announceInterval(members)
}

// mostUneven returns at most maxAnnounced entries: those of engines that reject the most requests, then
// those whose paces differ the most from a nominal one.
func mostUneven(entries []announcedEngine) []announcedEngine {
	if len(entries) <= maxAnnounced {
		return entries
	}
	slices.SortFunc(entries, func(a, b announcedEngine) int {
		return cmp.Or(cmp.Compare(b.Rejected, a.Rejected), cmp.Compare(math.Abs(math.Log(b.Pace)), math.Abs(math.Log(a.Pace))), cmp.Compare(a.Target, b.Target))
	})
	return entries[:maxAnnounced]
}

// announcement is the latest version of a tracker's announcement. The zero value announces nothing.
type announcement struct {
	entries map[string]paceEntry
	version uint64
	at      time.Time
	// rejecting is set if it names engines that reject requests.
	rejecting bool
}

// update reports whether a new version with the given entries is due, and records it as published.
func (a *announcement) update(entries []paceEntry, members int, now time.Time) bool {
	age := now.Sub(a.at)
	interval := announceInterval(members)
	if a.version > 0 && age < interval {
		return false
	}
	refresh := len(entries) > 0 && age >= announceRefresh*interval
	if !refresh && !a.differs(entries) {
		return false
	}
	a.entries = make(map[string]paceEntry, len(entries))
	for _, e := range entries {
		a.entries[e.Target] = e
	}
	a.version++
	a.at = now
	return true
}

func (a *announcement) differs(entries []paceEntry) bool {
	if len(entries) != len(a.entries) {
		return true
	}
	for _, e := range entries {
		old, found := a.entries[e.Target]
		if !found || old.Born != e.Born || paceChanged(old.Pace, e.Pace) {
			return true
		}
	}
	return false
}

// announcedPaces holds the usual paces that trackers have announced, by target ID. It reads no clock
// and isn't safe for concurrent use.
type announcedPaces struct {
	byTarget map[string]announcedPace
	byOrigin map[peer.Incarnation][]string
}

type announcedPace struct {
	born    int64
	pace    float64
	origin  peer.Incarnation
	expires time.Time
}

func newAnnouncedPaces() announcedPaces {
	return announcedPaces{byTarget: map[string]announcedPace{}, byOrigin: map[peer.Incarnation][]string{}}
}

// receive replaces what a tracker announced. An entry replaces that of another tracker, unless it is
// of an earlier incarnation of the engine.
func (a announcedPaces) receive(origin peer.Incarnation, entries []paceEntry, expires time.Time) {
	for _, target := range a.byOrigin[origin] {
		if a.byTarget[target].origin == origin {
			delete(a.byTarget, target)
		}
	}
	delete(a.byOrigin, origin)
	var targets []string
	for _, e := range entries {
		if e.Target == "" || !(e.Pace > 0) || e.Born < a.byTarget[e.Target].born {
			continue
		}
		a.byTarget[e.Target] = announcedPace{born: e.Born, pace: evenPace(boundPace(e.Pace)), origin: origin, expires: expires}
		targets = append(targets, e.Target)
	}
	if len(targets) > 0 {
		a.byOrigin[origin] = targets
	}
}

// usual returns the announced pace of an incarnation of an engine, 1 if there is none.
func (a announcedPaces) usual(target string, born int64) float64 {
	if announced, found := a.byTarget[target]; found && announced.born == born {
		return announced.pace
	}
	return 1
}

// sweep removes expired announcements.
func (a announcedPaces) sweep(now time.Time) {
	maps.DeleteFunc(a.byTarget, func(_ string, e announcedPace) bool { return now.After(e.expires) })
	maps.DeleteFunc(a.byOrigin, func(origin peer.Incarnation, targets []string) bool {
		for _, target := range targets {
			if a.byTarget[target].origin == origin {
				return false
			}
		}
		return true
	})
}
