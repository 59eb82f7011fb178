package prefixes

import (
	"container/list"
	"slices"
	"time"
)

const (
	// maxHolders is how many engines are kept for a key. More sources than that aren't needed: a
	// request names one, and the others replace it when it is gone.
	maxHolders = 3
	// maxAge is how long an engine is kept after it has read the parts. Engines evict the parts that
	// have not been used for the longest time.
	maxAge = 60 * time.Second
	// maxKeys bounds the memory of one owner to about 6 MB.
	maxKeys = 20_000
)

// reading records that an engine has read the parts of a key.
type reading struct {
	engine Engine
	at     time.Time
}

type record struct {
	key      Key
	readings []reading // the latest first
}

// records are the readings of the keys that one process owns. It does no I/O and reads no clock, and
// a call of add or find takes the same time for any number of keys. It addresses loads in which many
// prompts share long parts.
type records struct {
	byKey map[Key]*list.Element // of *record
	// order has the records, the latest read first.
	order *list.List
}

func newRecords() *records {
	return &records{byKey: map[Key]*list.Element{}, order: list.New()}
}

// add records that an engine has read the parts of a key. Messages of an earlier incarnation of the
// engine are ignored.
func (r *records) add(key Key, engine Engine, now time.Time) {
	element := r.byKey[key]
	if element == nil {
		element = r.order.PushFront(&record{key: key})
		r.byKey[key] = element
	}
	rec := element.Value.(*record)
	for _, known := range rec.readings {
		if known.engine.ID == engine.ID && known.engine.Born > engine.Born {
			return
		}
	}
	rec.readings = slices.DeleteFunc(rec.readings, func(known reading) bool { return known.engine.ID == engine.ID })
	rec.readings = slices.Insert(rec.readings, 0, reading{engine, now})
	rec.readings = rec.readings[:min(len(rec.readings), maxHolders)]
	r.order.MoveToFront(element)
	for r.order.Len() > maxKeys {
		r.remove(r.order.Back())
	}
}

// find returns the engines that have read the parts of a key, the latest first.
func (r *records) find(key Key, now time.Time) []Holder {
	element := r.byKey[key]
	if element == nil {
		return nil
	}
	var holders []Holder
	for _, known := range element.Value.(*record).readings {
		if age := now.Sub(known.at); age <= maxAge {
			holders = append(holders, Holder{Engine: known.engine, Age: age})
		}
	}
	return holders
}

// sweep removes the records whose latest reading is older than maxAge.
func (r *records) sweep(now time.Time) {
	for e := r.order.Back(); e != nil && now.Sub(e.Value.(*record).readings[0].at) > maxAge; e = r.order.Back() {
		r.remove(e)
	}
}

func (r *records) remove(e *list.Element) {
	delete(r.byKey, e.Value.(*record).key)
	r.order.Remove(e)
}
