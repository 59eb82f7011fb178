package peer

import (
	"context"
	"encoding/json"
	"time"

	"github.com/rotisserie/eris"

	"github.com/vanillagate/vanillagate/internal/member"
)

// Limits of comparing two views.
const (
	// maxRounds is how often one comparison is repeated while more differs than fits
	// into one exchange. The rest follows with the next comparison.
	maxRounds = 16
	// maxExchange is the maximum number of records of one exchange.
	maxExchange = 1000
	// maxExchangeBytes is the maximum size of the items of one exchange.
	maxExchangeBytes = 256 << 10
	// maxUsualDiff is the number of records in which two views may differ without
	// another comparison being scheduled: that many changes are in flight at any time.
	maxUsualDiff = 8
)

// compareViews brings the views and items of this process and the other one into
// agreement.
func (n *Node) compareViews(ctx context.Context, l *link) error {
	for range maxRounds {
		done, err := n.compareOnce(ctx, l)
		if err != nil {
			return err
		}
		if done {
			break
		}
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.stale = false
	return nil
}

// compareOnce runs one round and reports whether nothing is left to transfer. Changes that
// happen meanwhile don't count: they spread by themselves, and while all processes start
// there are always more.
func (n *Node) compareOnce(ctx context.Context, l *link) (bool, error) {
	digest, err := n.digest()
	if err != nil {
		return false, err
	}
	var diff digestAnswer
	if err := l.call(ctx, methodDigest, digest, &diff); err != nil {
		return false, eris.Wrap(err, "compare views")
	}
	if diff.empty() {
		return true, nil
	}
	request, whole, err := n.buildExchange(diff)
	if err != nil {
		return false, err
	}
	if request.empty() {
		return true, nil
	}
	var answer exchangeAnswer
	if err := l.call(ctx, methodExchange, request, &answer); err != nil {
		return false, eris.Wrap(err, "exchange views")
	}
	n.mergeExchange(l, answer.Records, answer.Items)
	return whole && len(answer.Items) >= wantedItems(request), nil
}

func wantedItems(r exchangeRequest) int {
	count := 0
	for _, stamps := range r.WantItems {
		count += len(stamps)
	}
	return count
}

// errStale means that this process was frozen and has just reset its view.
var errStale = eris.New("peer: the view was just reset after a freeze")

func (n *Node) digest() (digestRequest, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.notFrozen(time.Now()) {
		return digestRequest{}, errStale
	}
	return digestRequest{Zones: n.table.Digest(), Topics: n.store.digests()}, nil
}

// buildExchange makes an exchange of the differences, and reports whether it holds all of
// them.
func (n *Node) buildExchange(diff digestAnswer) (request exchangeRequest, whole bool, err error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.notFrozen(time.Now()) {
		return exchangeRequest{}, false, errStale
	}
	request.Records, request.WantRecords = n.table.CompareStamps(diff.Zones)
	if len(request.Records)+len(request.WantRecords) > maxUsualDiff {
		n.compareScheduled = true
	}
	items, want := n.store.compare(diff.Topics, time.Now())
	request.Items = limitItems(items)
	whole = len(request.Items) == len(items)
	var later map[Topic][]stamp
	request.WantItems, later = splitStamps(want)
	whole = whole && len(later) == 0 && len(request.Records) <= maxExchange && len(request.WantRecords) <= maxExchange
	request.Records, _ = split(request.Records, maxExchange)
	request.WantRecords, _ = split(request.WantRecords, maxExchange)
	return request, whole, nil
}

func limitItems(items []Item) []wireItem {
	var bounded []wireItem
	size := 0
	for _, item := range items {
		wire := toWire(item)
		size += wire.size()
		if size > maxExchangeBytes {
			break
		}
		bounded = append(bounded, wire)
	}
	return bounded
}

func (n *Node) mergeExchange(l *link, records []member.Record, items []wireItem) {
	now := time.Now()
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.acceptsFrom(l, now) {
		return
	}
	n.mergeComparedClaims(records, l, now)
	for _, wire := range items {
		if fresh := n.store.put(wire.item(), now); fresh != nil {
			n.inbox.add(fresh)
			n.push(fresh, l)
		}
	}
}

func (n *Node) serveDigest(params json.RawMessage) (any, error) {
	var request digestRequest
	if err := json.Unmarshal(params, &request); err != nil {
		return nil, eris.Wrap(err, "decode digest")
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.notFrozen(time.Now()) {
		return nil, errStale
	}
	return digestAnswer{Zones: n.table.DifferingStamps(request.Zones), Topics: n.store.differing(request.Topics)}, nil
}

func (n *Node) serveExchange(l *link, params json.RawMessage) (any, error) {
	var request exchangeRequest
	if err := json.Unmarshal(params, &request); err != nil {
		return nil, eris.Wrap(err, "decode exchange")
	}
	n.mergeExchange(l, request.Records, request.Items)
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.notFrozen(time.Now()) {
		return nil, errStale
	}
	return exchangeAnswer{
		Records: n.table.RecordsByHash(request.WantRecords),
		Items:   limitItems(n.store.wanted(request.WantItems, time.Now())),
	}, nil
}
