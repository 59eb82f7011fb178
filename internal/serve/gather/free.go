package gather

import (
	"context"
	"time"

	"go.uber.org/zap"
)

func handlesOf(results []Result) []string {
	var handles []string
	for _, result := range results {
		if result.Reason == Made {
			handles = append(handles, result.Handle)
		}
	}
	return handles
}

// Free gives back the space of results, several requests' together.
func (r *Requester) Free(cell Cell, handles []string) { r.free(cell, handles, true) }

func (r *Requester) free(cell Cell, handles []string, final bool) {
	if len(handles) == 0 {
		return
	}
	key := freeKey{Cell: cell, Final: final}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.freeing[key] = append(r.freeing[key], handles...)
	if r.freer {
		return
	}
	r.freer = true
	time.AfterFunc(handPeriod, r.flush)
}

func (r *Requester) flush() {
	r.mu.Lock()
	freeing := r.freeing
	r.freeing = map[freeKey][]string{}
	r.freer = false
	r.mu.Unlock()
	for key, handles := range freeing {
		r.freeAt(key, handles)
	}
}

func (r *Requester) freeAt(key freeKey, handles []string) {
	gatherer := r.gatherers(key.Cell)[0]
	if gatherer == r.network.Self().Incarnation {
		r.own.Free(key.Cell, handles, key.Final)
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), doneTimeout)
	defer cancel()
	if err := r.network.Call(ctx, gatherer, methodFree, freeCall{freeKey: key, Handles: handles}, nil); err != nil {
		r.log.Debug("Results not freed by their gatherer; freed from here.", zap.Error(err))
		r.own.Free(key.Cell, handles, key.Final)
	}
}
