package member

import "time"

// Timeouts are the times after which Table.Expire changes the state of a record or removes it.
type Timeouts struct {
	// Suspect is how long a suspected process has to refute the suspicion.
	Suspect time.Duration
	// Leaving is how long a process that announced its leave counts as a member before it is
	// declared dead.
	Leaving time.Duration
	// Tombstone is how long dead processes are remembered, so that a late claim that one is
	// alive is recognized as old.
	Tombstone time.Duration
}

// Table is the view that one process has of all others. It isn't safe for concurrent use.
type Table struct {
	timeouts Timeouts
	self     Record
	rows     map[string]*row
	byHash   map[uint64]*row
	// newest is the incarnation with the highest Start at each address.
	newest map[string]*row
	// digests is, for each zone, the XOR of the digest terms of its records.
	digests map[string]uint64
	// version is incremented by every change of the view, membershipVersion only when an
	// incarnation becomes dead or is no longer dead. liveCount is the number of others that
	// aren't dead.
	version           uint64
	membershipVersion uint64
	liveCount         int
}

// row is the record of another incarnation and what this process keeps with it.
type row struct {
	Record
	hash uint64
	// since is when State was set in this table, by the clock of this process.
	since time.Time
}

// NewTable creates a table that contains only this process.
func NewTable(self Record, timeouts Timeouts) *Table {
	t := &Table{timeouts: timeouts, self: self}
	t.clear()
	return t
}

func (t *Table) clear() {
	t.version++
	t.membershipVersion++
	t.liveCount = 0
	t.rows = map[string]*row{}
	t.byHash = map[uint64]*row{}
	t.newest = map[string]*row{}
	t.digests = map[string]uint64{}
	t.digests[t.self.ZoneKey()] ^= digestTerm(t.self)
}

// Self returns the record of this process.
func (t *Table) Self() Record { return t.self }

// MarkLeaving marks this process as leaving and returns the record to announce.
func (t *Table) MarkLeaving() Record {
	t.setSelf(func(r *Record) {
		r.Seq++
		r.State = Leaving
	})
	return t.self
}

// IncrementSeq increments the Seq of this process, so that its own record supersedes every
// older claim about it.
func (t *Table) IncrementSeq() Record {
	t.setSelf(func(r *Record) { r.Seq++ })
	return t.self
}

func (t *Table) setSelf(change func(*Record)) {
	t.version++
	t.digests[t.self.ZoneKey()] ^= digestTerm(t.self)
	change(&t.self)
	t.digests[t.self.ZoneKey()] ^= digestTerm(t.self)
}

// Apply processes a claim and returns the records that it changed, which should be passed on
// to the peers; none if the claim is old.
func (t *Table) Apply(claim Record, now time.Time) []Record {
	if claim.ID == t.self.ID {
		return t.refute(claim)
	}
	if claim.PeerAddress == t.self.PeerAddress && claim.State != Dead {
		return t.rejectAtOwnAddress(claim, now)
	}
	if newest := t.newest[claim.PeerAddress]; newest != nil && newest.ID != claim.ID && isLaterRun(newest.Record, claim) {
		// This is an older run at an address where a newer one was seen; whoever claims that
		// it is alive hasn't heard of the replacement. Accepting the claim would send calls
		// for the new process to an incarnation that is gone.
		return t.declareDead(claim, now)
	}
	if claim.State > Dead {
		return nil // a state of a later software version; the known record stays
	}
	known := t.rows[claim.ID]
	if known == nil {
		return t.add(claim, now)
	}
	known.Start = max(known.Start, claim.Start)
	changed := t.setNewest(known, now)
	if !supersedes(claim, known.Record) {
		return changed
	}
	return append(changed, t.update(known, claim, now)...)
}

// setNewest makes a row the newest at its address if its run is the latest there, and declares
// the previous one dead.
func (t *Table) setNewest(known *row, now time.Time) []Record {
	old := t.newest[known.PeerAddress]
	if old == known || old != nil && !isLaterRun(known.Record, old.Record) {
		return nil
	}
	t.newest[known.PeerAddress] = known
	if old == nil || old.State == Dead {
		return nil
	}
	t.change(old, now, func(r *Record) { r.State = Dead })
	return []Record{old.Record}
}

// refute refutes a claim that this process is suspect or dead.
func (t *Table) refute(claim Record) []Record {
	if !supersedes(claim, t.self) {
		return nil
	}
	t.setSelf(func(r *Record) { r.Seq = claim.Seq + 1 })
	return []Record{t.self}
}

// rejectAtOwnAddress handles a claim that another incarnation is alive at the address of this
// process. It can't be: this process holds the address.
func (t *Table) rejectAtOwnAddress(claim Record, now time.Time) []Record {
	changed := t.declareDead(claim, now)
	if claim.Start < t.self.Start {
		return changed
	}
	// The clock of the old VM was ahead of this one's, so others would consider this process
	// the older run and declare it dead. A higher Start corrects that.
	t.setSelf(func(r *Record) {
		r.Start = claim.Start + 1
		r.Seq++
	})
	return append(changed, t.self)
}

// declareDead marks an incarnation as dead regardless of the claimed state.
func (t *Table) declareDead(claim Record, now time.Time) []Record {
	known := t.rows[claim.ID]
	if known == nil {
		claim.State = Dead
		return t.insert(claim, now)
	}
	if known.State == Dead {
		known.Seq = max(known.Seq, claim.Seq)
		return nil
	}
	t.change(known, now, func(r *Record) {
		r.Seq = max(r.Seq, claim.Seq)
		r.State = Dead
	})
	return []Record{known.Record}
}

func (t *Table) add(claim Record, now time.Time) []Record {
	if claim.State == Dead {
		return t.insert(claim, now)
	}
	return append(t.insert(claim, now), claim)
}

func (t *Table) update(known *row, claim Record, now time.Time) []Record {
	if claim.State == Dead && !t.acceptsDeath(known, now) {
		claim.State = Suspect
		if known.State == Suspect {
			t.change(known, now, func(r *Record) { r.Seq = claim.Seq })
			return nil
		}
	}
	t.change(known, now, func(r *Record) {
		r.Seq = claim.Seq
		r.State = claim.State
		r.CallerAddress = claim.CallerAddress
	})
	return []Record{known.Record}
}

// acceptsDeath reports whether a claim that a member is dead is accepted. When regions that
// were separated reconnect, each considers the members of the other dead; accepting that would
// remove a whole region from the view of its own members at once. A member that is alive in
// this table therefore gets time to refute the claim first.
func (t *Table) acceptsDeath(known *row, now time.Time) bool {
	switch known.State {
	case Alive:
		return false
	case Suspect:
		return now.Sub(known.since) >= t.timeouts.Suspect/2
	default:
		return true
	}
}

// MarkSuspect marks a member that this process could not reach in any way as suspect. It
// returns the record to pass on, if it changed.
func (t *Table) MarkSuspect(id string, now time.Time) []Record {
	known := t.rows[id]
	if known == nil || known.State != Alive {
		return nil
	}
	t.change(known, now, func(r *Record) { r.State = Suspect })
	return []Record{known.Record}
}

// Expire applies the timeouts: it declares suspects that didn't refute and members that left
// dead, and removes old tombstones. It returns the records to pass on.
func (t *Table) Expire(now time.Time) []Record {
	var changed []Record
	for id, known := range t.rows {
		age := now.Sub(known.since)
		switch {
		case known.State == Suspect && age >= t.timeouts.Suspect,
			known.State == Leaving && age >= t.timeouts.Leaving:
			t.change(known, now, func(r *Record) { r.State = Dead })
			changed = append(changed, known.Record)
		case known.State == Dead && age >= t.timeouts.Tombstone:
			t.remove(id)
		}
	}
	return changed
}

// Reset removes all records of others and returns the addresses of those that weren't dead,
// from which membership can be learned again.
func (t *Table) Reset() []string {
	var addresses []string
	for _, known := range t.rows {
		if known.State != Dead {
			addresses = append(addresses, known.PeerAddress)
		}
	}
	t.clear()
	return addresses
}

// Version is incremented by every change of the results of Self, Get and LiveMembers.
func (t *Table) Version() uint64 { return t.version }

// MembershipVersion is incremented when the set of incarnations that LiveMembers lists
// changes, not by other changes of their records.
func (t *Table) MembershipVersion() uint64 { return t.membershipVersion }

// MemberCount returns the number of members that LiveMembers lists.
func (t *Table) MemberCount() int { return t.liveCount }

// AnyMember returns an arbitrary one of the members that LiveMembers lists; false if there is
// none.
func (t *Table) AnyMember() (Record, bool) {
	for _, known := range t.rows {
		if known.State != Dead {
			return known.Record, true
		}
	}
	return Record{}, false
}

// Get returns the record of one incarnation.
func (t *Table) Get(id string) (Record, bool) {
	known := t.rows[id]
	if known == nil {
		return Record{}, false
	}
	return known.Record, true
}

// LiveMembers lists the others that aren't dead, including suspected and leaving ones, in no
// particular order.
func (t *Table) LiveMembers() []Record {
	living := make([]Record, 0, t.liveCount)
	for _, known := range t.rows {
		if known.State != Dead {
			living = append(living, known.Record)
		}
	}
	return living
}

// HasMemberAt reports whether a member that isn't dead is known at an address.
func (t *Table) HasMemberAt(address string) bool {
	newest := t.newest[address]
	return newest != nil && newest.State != Dead
}

func (t *Table) insert(r Record, now time.Time) []Record {
	t.version++
	added := &row{Record: r, hash: Hash(r.ID), since: now}
	t.rows[r.ID] = added
	t.byHash[added.hash] = added
	t.digests[r.ZoneKey()] ^= digestTerm(r)
	t.updateLiveCount(Dead, r.State)
	return t.setNewest(added, now)
}

func (t *Table) change(known *row, now time.Time, apply func(*Record)) {
	t.version++
	before := known.State
	t.digests[known.ZoneKey()] ^= digestTerm(known.Record)
	apply(&known.Record)
	t.digests[known.ZoneKey()] ^= digestTerm(known.Record)
	if known.State != before {
		known.since = now
		t.updateLiveCount(before, known.State)
	}
}

// updateLiveCount updates liveCount and membershipVersion when a record changes from one state
// to another.
func (t *Table) updateLiveCount(from, to State) {
	if (from == Dead) == (to == Dead) {
		return
	}
	t.membershipVersion++
	if to == Dead {
		t.liveCount--
		return
	}
	t.liveCount++
}

func (t *Table) remove(id string) {
	t.version++
	gone := t.rows[id]
	t.updateLiveCount(gone.State, Dead)
	t.digests[gone.ZoneKey()] ^= digestTerm(gone.Record)
	delete(t.rows, id)
	delete(t.byHash, gone.hash)
	if t.newest[gone.PeerAddress] == gone {
		delete(t.newest, gone.PeerAddress)
	}
}
