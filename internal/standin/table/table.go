package table

import (
	"maps"
	"sync"
	"time"
)

// tokenTTL is how long a ClientRequestToken stays valid.
const tokenTTL = 10 * time.Minute

// Rates limits the table's throughput. Zero values mean 400 writes and 2000 reads
// per second.
type Rates struct {
	WritesPerSecond float64
	ReadsPerSecond  float64
	// ByItem counts each row of a transaction as one write. Otherwise the whole
	// transaction counts as one write.
	ByItem bool
}

const (
	defaultWritesPerSecond = 400
	defaultReadsPerSecond  = 2000
)

// Stats holds the operation counters of a table.
type Stats struct {
	Reads int64 `json:"reads"`
	// EventualReads counts the reads without ConsistentRead. This table returns
	// the latest row for them too; the real service may return a stale one.
	EventualReads   int64 `json:"eventual_reads"`
	Writes          int64 `json:"writes"` // calls; a transaction counts as one
	WrittenItems    int64 `json:"written_items"`
	ThrottledReads  int64 `json:"throttled_reads"`
	ThrottledWrites int64 `json:"throttled_writes"`
	Conflicts       int64 `json:"conflicts"`
	LostAnswers     int64 `json:"lost_answers"`
	Rows            int   `json:"rows"`
}

// Table is an emulated table. Create it with New.
type Table struct {
	byItem bool

	mu        sync.Mutex // guards all fields below; no other lock is taken while it is held
	rows      rows
	tokens    map[string]usedToken
	lastSweep time.Time // when expired tokens were last removed
	writes    bucket
	reads     bucket
	stats     Stats
}

// usedToken records the client token of a transaction that was applied.
type usedToken struct {
	fingerprint string
	usedAt      time.Time
}

// New returns an empty table.
func New(rates Rates) *Table {
	if rates.WritesPerSecond == 0 {
		rates.WritesPerSecond = defaultWritesPerSecond
	}
	if rates.ReadsPerSecond == 0 {
		rates.ReadsPerSecond = defaultReadsPerSecond
	}
	return &Table{
		byItem: rates.ByItem,
		rows:   newRows(),
		tokens: map[string]usedToken{},
		writes: newBucket(rates.WritesPerSecond),
		reads:  newBucket(rates.ReadsPerSecond),
	}
}

// Stats returns the counters since the start.
func (t *Table) Stats() Stats {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.stats
	s.Rows = len(t.rows.items)
	return s
}

// bucket is a token bucket whose capacity is one second of its rate.
type bucket struct {
	rate      float64
	available float64
	at        time.Time
}

func newBucket(rate float64) bucket { return bucket{rate: rate, available: rate} }

func (b *bucket) take(now time.Time, n float64) bool {
	if !b.at.IsZero() {
		b.available = min(b.rate, b.available+b.rate*now.Sub(b.at).Seconds())
	}
	b.at = now
	if b.available < n {
		return false
	}
	b.available -= n
	return true
}

// takeRead counts a read, or returns an error if the read rate is exceeded.
// t.mu must be held.
func (t *Table) takeRead(consistent bool) *failure {
	if !t.reads.take(time.Now(), 1) {
		t.stats.ThrottledReads++
		return throttled()
	}
	t.stats.Reads++
	if !consistent {
		t.stats.EventualReads++
	}
	return nil
}

// takeWrite counts a write of so many items, or returns an error if the write rate
// is exceeded. t.mu must be held.
func (t *Table) takeWrite(items int) *failure {
	cost := 1
	if t.byItem {
		cost = items
	}
	if !t.writes.take(time.Now(), float64(cost)) {
		t.stats.ThrottledWrites++
		return throttled()
	}
	t.stats.Writes++
	t.stats.WrittenItems += int64(items)
	return nil
}

func throttled() *failure {
	return fail(codeThrottled, "The level of configured provisioned throughput for the table was exceeded")
}

func (t *Table) get(r getRequest) (getAnswer, *failure) {
	if f := checkTable(r.TableName); f != nil {
		return getAnswer{}, f
	}
	k, f := checkKey(r.Key)
	if f != nil {
		return getAnswer{}, f
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if f := t.takeRead(r.ConsistentRead); f != nil {
		return getAnswer{}, f
	}
	return getAnswer{Item: t.rows.items[k]}, nil
}

func (t *Table) query(r queryRequest) (queryAnswer, *failure) {
	if f := checkTable(r.TableName); f != nil {
		return queryAnswer{}, f
	}
	where, f := r.parse()
	if f != nil {
		return queryAnswer{}, f
	}
	after, limit := "", 0
	if k, ok := keyOf(r.ExclusiveStartKey); ok {
		after = k.sort
	}
	if r.Limit != nil {
		limit = *r.Limit
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if f := t.takeRead(r.ConsistentRead); f != nil {
		return queryAnswer{}, f
	}
	items, last := t.rows.page(where, after, limit)
	answer := queryAnswer{Items: append([]Item{}, items...), Count: len(items), ScannedCount: len(items)}
	if last != nil {
		answer.LastEvaluatedKey = last.item()
	}
	return answer, nil
}

func (r queryRequest) parse() (keyRange, *failure) {
	if r.FilterExpression != "" {
		return keyRange{}, fail(codeValidation, "FilterExpression is not supported by this stand-in")
	}
	if r.ScanIndexForward != nil && !*r.ScanIndexForward {
		return keyRange{}, fail(codeValidation, "Descending order is not supported by this stand-in")
	}
	if r.Limit != nil && *r.Limit < 1 {
		return keyRange{}, fail(codeValidation, "Limit must be greater than or equal to 1")
	}
	where, err := parse(r.KeyConditionExpression, placeholders{names: r.ExpressionAttributeNames, values: r.ExpressionAttributeValues})
	if err != nil {
		return keyRange{}, fail(codeValidation, "Invalid KeyConditionExpression: %s", err)
	}
	keys, err := keyRangeOf(where)
	if err != nil {
		return keyRange{}, fail(codeValidation, "%s", err)
	}
	return keys, nil
}

// put implements PutItem.
func (t *Table) put(r putRequest) (emptyAnswer, *failure) {
	a, f := putAction(&r)
	if f != nil {
		return emptyAnswer{}, f
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if f := t.takeWrite(1); f != nil {
		return emptyAnswer{}, f
	}
	if why := t.check(a); why.Code != reasonNone {
		t.stats.Conflicts++
		f := fail(codeCondition, "The conditional request failed")
		f.Item = why.Item
		return emptyAnswer{}, f
	}
	t.apply(a)
	return emptyAnswer{}, nil
}

// transact implements TransactWriteItems. A request that repeats the token and
// content of an applied one within tokenTTL succeeds without being applied again.
func (t *Table) transact(r transactRequest) (emptyAnswer, *failure) {
	actions, f := r.actions()
	if f != nil {
		return emptyAnswer{}, f
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if f := t.takeWrite(len(actions)); f != nil {
		return emptyAnswer{}, f
	}
	fingerprint := r.fingerprint()
	if used, found := t.findToken(r.ClientRequestToken); found {
		if used.fingerprint != fingerprint {
			return emptyAnswer{}, fail(codeTokenMismatch, "The request uses the same client token as a previous, but non-identical request")
		}
		return emptyAnswer{}, nil
	}
	if f := t.checkAll(actions); f != nil {
		return emptyAnswer{}, f
	}
	for _, a := range actions {
		t.apply(a)
	}
	t.rememberToken(r.ClientRequestToken, usedToken{fingerprint: fingerprint, usedAt: time.Now()})
	return emptyAnswer{}, nil
}

// rememberToken stores the token of an applied transaction. Once per tokenTTL it
// also removes the expired tokens, since clients usually send a new token with
// each transaction. t.mu must be held.
func (t *Table) rememberToken(token string, s usedToken) {
	if token == "" {
		return
	}
	t.tokens[token] = s
	if s.usedAt.Sub(t.lastSweep) < tokenTTL {
		return
	}
	t.lastSweep = s.usedAt
	maps.DeleteFunc(t.tokens, func(_ string, old usedToken) bool { return s.usedAt.Sub(old.usedAt) > tokenTTL })
}

// findToken returns the record of a token that hasn't expired. t.mu must be held.
func (t *Table) findToken(token string) (usedToken, bool) {
	used, found := t.tokens[token]
	if found && time.Since(used.usedAt) > tokenTTL {
		delete(t.tokens, token)
		return usedToken{}, false
	}
	return used, found
}

// checkAll checks the conditions of all actions and returns an error if any fails.
// t.mu must be held.
func (t *Table) checkAll(actions []action) *failure {
	reasons := make([]reason, len(actions))
	failed := false
	for i, a := range actions {
		reasons[i] = t.check(a)
		failed = failed || reasons[i].Code != reasonNone
	}
	if !failed {
		return nil
	}
	t.stats.Conflicts++
	return cancelled(reasons)
}

// check checks the condition of one action. t.mu must be held.
func (t *Table) check(a action) reason {
	existing := t.rows.items[a.key]
	if a.condition.holds(existing) {
		return reason{Code: reasonNone}
	}
	failed := reason{Code: reasonConditionFail, Message: "The conditional request failed"}
	if a.returnOld {
		failed.Item = existing
	}
	return failed
}

// apply performs an action whose condition has been checked. t.mu must be held.
func (t *Table) apply(a action) {
	switch {
	case a.checkOnly:
	case a.put != nil:
		t.rows.put(a.key, a.put)
	default:
		t.rows.remove(a.key)
	}
}
