package peer

import (
	"context"
	"encoding/json"
	"time"

	"github.com/rotisserie/eris"

	"github.com/vanillagate/vanillagate/internal/member"
)

// Bounds of comparing two views.
const (
	// maxRounds is how often one comparison is repeated while more differs than one
	// exchange holds; what is left comes with the next comparison.
	maxRounds = 16
	// maxExchange bounds the records of one exchange.
	maxExchange = 1000
	// maxExchangeBytes bounds the items of one exchange.
	maxExchangeBytes = 256 << 10
	// fewDiffer is up to how many records two views may differ in without another
	// comparison following: that much is on its way at any moment.
	fewDiffer = 8
)

// compareViews makes this process and the other believe the same and hold
// the same items.
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

// compareOnce tells whether nothing is left to move. What has changed meanwhile
// doesn't count: it spreads by itself, and in a start of all there is always more.
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
	request, whole, err := n.settle(diff)
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
	n.takeAll(l, answer.Records, answer.Items)
	return whole && len(answer.Items) >= wantedItems(request), nil
}

func wantedItems(r exchangeRequest) int {
	count := 0
	for _, stamps := range r.WantItems {
		count += len(stamps)
	}
	return count
}

// errStale means that this process stood still and has just forgotten what it
// believed.
var errStale = eris.New("peer: view is stale")

func (n *Node) digest() (digestRequest, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.awake(time.Now()) {
		return digestRequest{}, errStale
	}
	return digestRequest{Zones: n.table.Digest(), Topics: n.store.digests()}, nil
}

// settle makes an exchange of what differs, and tells whether it holds all of it.
func (n *Node) settle(diff digestAnswer) (request exchangeRequest, whole bool, err error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.awake(time.Now()) {
		return exchangeRequest{}, false, errStale
	}
	request.Records, request.WantRecords = n.table.CompareStamps(diff.Zones)
	if len(request.Records)+len(request.WantRecords) > fewDiffer {
		n.behind = true
	}
	items, want := n.store.compare(diff.Topics, time.Now())
	request.Items = boundItems(items)
	whole = len(request.Items) == len(items)
	var later map[Topic][]stamp
	request.WantItems, later = splitStamps(want)
	whole = whole && len(later) == 0 && len(request.Records) <= maxExchange && len(request.WantRecords) <= maxExchange
	request.Records, _ = split(request.Records, maxExchange)
	request.WantRecords, _ = split(request.WantRecords, maxExchange)
	return request, whole, nil
}

func boundItems(items []Item) []wireItem {
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

func (n *Node) takeAll(l *link, records []member.Record, items []wireItem) {
	now := time.Now()
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.hears(l, now) {
		return
	}
	n.learnCompared(records, l, now)
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
	if !n.awake(time.Now()) {
		return nil, errStale
	}
	return digestAnswer{Zones: n.table.DifferingStamps(request.Zones), Topics: n.store.differing(request.Topics)}, nil
}

func (n *Node) serveExchange(l *link, params json.RawMessage) (any, error) {
	var request exchangeRequest
	if err := json.Unmarshal(params, &request); err != nil {
		return nil, eris.Wrap(err, "decode exchange")
	}
	n.takeAll(l, request.Records, request.Items)
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.awake(time.Now()) {
		return nil, errStale
	}
	return exchangeAnswer{
		Records: n.table.RecordsByHash(request.WantRecords),
		Items:   boundItems(n.store.wanted(request.WantItems, time.Now())),
	}, nil
}
