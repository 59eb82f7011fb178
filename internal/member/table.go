package member

import "time"

// Limits are the times that a Table keeps to.
type Limits struct {
	// SuspectFor is how long a suspected process has to contradict.
	SuspectFor time.Duration
	// LeavingFor is how long a process that announced its leave is kept.
	LeavingFor time.Duration
	// TombstoneFor is how long the dead are remembered, so that a late claim
	// that they live is known to be old.
	TombstoneFor time.Duration
}

// Table is what one process believes of all others. It isn't safe for
// concurrent use.
type Table struct {
	limits Limits
	self   Record
	rows   map[string]*row
	byHash map[uint64]*row
	// newest is the incarnation with the highest Start at each address.
	newest map[string]*row
	// digests is the XOR of the marks of a zone's rows that are not dead.
	digests map[string]uint64
	// version grows with every change of what is believed, population with every one of
	// who isn't dead; alive is how many others aren't.
	version    uint64
	population uint64
	alive      int
}

type row struct {
	Record
	hash uint64
	// since is when State was taken on here, by this process's clock.
	since time.Time
}

// NewTable knows only this process itself.
func NewTable(self Record, limits Limits) *Table {
	t := &Table{limits: limits, self: self}
	t.clear()
	return t
}

func (t *Table) clear() {
	t.version++
	t.population++
	t.alive = 0
	t.rows = map[string]*row{}
	t.byHash = map[uint64]*row{}
	t.newest = map[string]*row{}
	t.digests = map[string]uint64{}
	t.digests[t.self.ZoneKey()] ^= mark(t.self)
}

// Self is the record of this process.
func (t *Table) Self() Record { return t.self }

// Leave marks this process as leaving and gives the record to spread.
func (t *Table) Leave() Record {
	t.setSelf(func(r *Record) {
		r.Seq++
		r.State = Leaving
	})
	return t.self
}

// IncrementSeq gives this process a new Seq, so that what it says from now on stands
// over every older claim about it.
func (t *Table) IncrementSeq() Record {
	t.setSelf(func(r *Record) { r.Seq++ })
	return t.self
}

func (t *Table) setSelf(change func(*Record)) {
	t.version++
	t.digests[t.self.ZoneKey()] ^= mark(t.self)
	change(&t.self)
	t.digests[t.self.ZoneKey()] ^= mark(t.self)
}

// Apply takes in a claim and gives the records that changed by it and should
// be spread; none if the claim is old.
func (t *Table) Apply(claim Record, now time.Time) []Record {
	if claim.ID == t.self.ID {
		return t.answer(claim)
	}
	if claim.PeerAddr == t.self.PeerAddr && claim.State != Dead {
		return t.replaced(claim, now)
	}
	if newest := t.newest[claim.PeerAddr]; newest != nil && newest.ID != claim.ID && later(newest.Record, claim) {
		// An older run at an address where a newer one was seen: whoever says
		// that it lives hasn't heard of the replacement. Taking it in would
		// send calls for the new process to an identity that is gone.
		return t.bury(claim, now)
	}
	if claim.State > Dead {
		return nil // a later version's; what is known of the member stays
	}
	held := t.rows[claim.ID]
	if held == nil {
		return t.add(claim, now)
	}
	held.Start = max(held.Start, claim.Start)
	changed := t.crown(held, now)
	if !stands(claim, held.Record) {
		return changed
	}
	return append(changed, t.update(held, claim, now)...)
}

// crown makes a row the newest at its address, if it is, and holds the one
// that was newest before it dead.
func (t *Table) crown(held *row, now time.Time) []Record {
	old := t.newest[held.PeerAddr]
	if old == held || old != nil && !later(held.Record, old.Record) {
		return nil
	}
	t.newest[held.PeerAddr] = held
	if old == nil || old.State == Dead {
		return nil
	}
	t.change(old, now, func(r *Record) { r.State = Dead })
	return []Record{old.Record}
}

// answer contradicts a claim that this process is suspect or dead.
func (t *Table) answer(claim Record) []Record {
	if !stands(claim, t.self) {
		return nil
	}
	t.setSelf(func(r *Record) { r.Seq = claim.Seq + 1 })
	return []Record{t.self}
}

// replaced deals with another incarnation that is said to live at the address
// of this process. It can't: this process holds the address.
func (t *Table) replaced(claim Record, now time.Time) []Record {
	changed := t.bury(claim, now)
	if claim.Start < t.self.Start {
		return changed
	}
	// The old VM's clock ran ahead of ours, so others would take us for the
	// older run and hold us dead. A higher Start puts that right.
	t.setSelf(func(r *Record) {
		r.Start = claim.Start + 1
		r.Seq++
	})
	return append(changed, t.self)
}

// bury holds an incarnation dead whatever is claimed of it.
func (t *Table) bury(claim Record, now time.Time) []Record {
	held := t.rows[claim.ID]
	if held == nil {
		claim.State = Dead
		return t.insert(claim, now)
	}
	if held.State == Dead {
		held.Seq = max(held.Seq, claim.Seq)
		return nil
	}
	t.change(held, now, func(r *Record) {
		r.Seq = max(r.Seq, claim.Seq)
		r.State = Dead
	})
	return []Record{held.Record}
}

func (t *Table) add(claim Record, now time.Time) []Record {
	if claim.State == Dead {
		return t.insert(claim, now)
	}
	return append(t.insert(claim, now), claim)
}

func (t *Table) update(held *row, claim Record, now time.Time) []Record {
	if claim.State == Dead && !t.mayBury(held, now) {
		claim.State = Suspect
		if held.State == Suspect {
			held.Seq = claim.Seq
			return nil
		}
	}
	t.change(held, now, func(r *Record) {
		r.Seq = claim.Seq
		r.State = claim.State
		r.CallerAddr = claim.CallerAddr
	})
	return []Record{held.Record}
}

// mayBury tells whether a claim of death is taken at its word. When regions
// that lost each other meet again, each holds the other's members dead; taken
// at its word that would empty a whole region's view of itself at once. One
// that is held alive here gets the time to contradict first.
func (t *Table) mayBury(held *row, now time.Time) bool {
	switch held.State {
	case Alive:
		return false
	case Suspect:
		return now.Sub(held.since) >= t.limits.SuspectFor/2
	default:
		return true
	}
}

// Suspect notes that this process could not reach a member in any way. It
// gives the record to spread, if that is news.
func (t *Table) Suspect(id string, now time.Time) []Record {
	held := t.rows[id]
	if held == nil || held.State != Alive {
		return nil
	}
	t.change(held, now, func(r *Record) { r.State = Suspect })
	return []Record{held.Record}
}

// Expire lets time pass: suspects that didn't contradict and members that left
// are held dead, old tombstones are forgotten. It gives the records to spread.
func (t *Table) Expire(now time.Time) []Record {
	var changed []Record
	for id, held := range t.rows {
		age := now.Sub(held.since)
		switch {
		case held.State == Suspect && age >= t.limits.SuspectFor,
			held.State == Leaving && age >= t.limits.LeavingFor:
			t.change(held, now, func(r *Record) { r.State = Dead })
			changed = append(changed, held.Record)
		case held.State == Dead && age >= t.limits.TombstoneFor:
			t.remove(id)
		}
	}
	return changed
}

// Reset drops all that is believed of others and gives the addresses where
// members that weren't dead could be asked anew.
func (t *Table) Reset() []string {
	var addresses []string
	for _, held := range t.rows {
		if held.State != Dead {
			addresses = append(addresses, held.PeerAddr)
		}
	}
	t.clear()
	return addresses
}

// Version grows with every change of what Self, Get and Living give.
func (t *Table) Version() uint64 { return t.version }

// MembershipVersion grows with every change of whom Living lists, whatever is believed of them.
func (t *Table) MembershipVersion() uint64 { return t.population }

// MemberCount is how many Living lists.
func (t *Table) MemberCount() int { return t.alive }

// AnyMember gives one of those that Living lists, drawn by lot; false where there is none.
func (t *Table) AnyMember() (Record, bool) {
	for _, held := range t.rows {
		if held.State != Dead {
			return held.Record, true
		}
	}
	return Record{}, false
}

// Get is what is believed of one incarnation.
func (t *Table) Get(id string) (Record, bool) {
	held := t.rows[id]
	if held == nil {
		return Record{}, false
	}
	return held.Record, true
}

// LiveMembers lists the others that are not dead, in no order.
func (t *Table) LiveMembers() []Record {
	living := make([]Record, 0, t.alive)
	for _, held := range t.rows {
		if held.State != Dead {
			living = append(living, held.Record)
		}
	}
	return living
}

// HasMemberAt tells whether a member that isn't dead is known at an address.
func (t *Table) HasMemberAt(address string) bool {
	newest := t.newest[address]
	return newest != nil && newest.State != Dead
}

func (t *Table) insert(r Record, now time.Time) []Record {
	t.version++
	added := &row{Record: r, hash: Hash(r.ID), since: now}
	t.rows[r.ID] = added
	t.byHash[added.hash] = added
	t.digests[r.ZoneKey()] ^= mark(r)
	t.count(Dead, r.State)
	return t.crown(added, now)
}

func (t *Table) change(held *row, now time.Time, apply func(*Record)) {
	t.version++
	before := held.State
	t.digests[held.ZoneKey()] ^= mark(held.Record)
	apply(&held.Record)
	t.digests[held.ZoneKey()] ^= mark(held.Record)
	if held.State != before {
		held.since = now
		t.count(before, held.State)
	}
}

// count keeps the number of those that aren't dead when one goes from a state to another.
func (t *Table) count(from, to State) {
	if (from == Dead) == (to == Dead) {
		return
	}
	t.population++
	if to == Dead {
		t.alive--
		return
	}
	t.alive++
}

func (t *Table) remove(id string) {
	t.version++
	gone := t.rows[id]
	t.count(gone.State, Dead)
	t.digests[gone.ZoneKey()] ^= mark(gone.Record)
	delete(t.rows, id)
	delete(t.byHash, gone.hash)
	if t.newest[gone.PeerAddr] == gone {
		delete(t.newest, gone.PeerAddr)
	}
}
