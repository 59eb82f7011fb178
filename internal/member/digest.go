package member

// VersionStamp names a record and its version in few bytes: Hash of the incarnation,
// then Seq and State together.
type VersionStamp [2]uint64

const stateBits = 2

func stampOf(r *row) VersionStamp { return VersionStamp{r.hash, version(r.Record)} }

func version(r Record) uint64 { return r.Seq<<stateBits | uint64(r.State) }

// mark is what a record adds to its zone's digest. Suspicion is left out: it
// passes by itself within seconds, and two processes that differ in it alone
// need not compare their zones. The dead are left out because each process
// forgets them at another time.
func mark(r Record) uint64 {
	if r.State == Dead {
		return 0
	}
	if r.State == Suspect {
		r.State = Alive
	}
	return MixBits(Hash(r.ID) + version(r))
}

// Digest gives one number for each zone that has members: the same at two
// processes that believe the same.
func (t *Table) Digest() map[string]uint64 {
	digest := make(map[string]uint64, len(t.digests))
	for zone, sum := range t.digests {
		if sum != 0 {
			digest[zone] = sum
		}
	}
	return digest
}

// DifferingStamps lists the stamps of each zone where another's digest isn't ours.
func (t *Table) DifferingStamps(theirs map[string]uint64) map[string][]VersionStamp {
	differing := map[string][]VersionStamp{}
	for zone, sum := range t.Digest() {
		if theirs[zone] != sum {
			differing[zone] = []VersionStamp{}
		}
	}
	for zone := range theirs {
		if t.digests[zone] != theirs[zone] {
			differing[zone] = []VersionStamp{}
		}
	}
	t.each(func(r *row) {
		if stamps, found := differing[r.ZoneKey()]; found && r.State != Dead {
			differing[r.ZoneKey()] = append(stamps, stampOf(r))
		}
	})
	return differing
}

// CompareStamps tells from another's stamps of differing zones which of our records
// it lacks and which of its records we want.
func (t *Table) CompareStamps(theirs map[string][]VersionStamp) (give []Record, want []uint64) {
	for zone, stamps := range theirs {
		seen := make(map[uint64]bool, len(stamps))
		for _, stamp := range stamps {
			seen[stamp[0]] = true
			ours := t.find(stamp[0])
			switch {
			case ours == nil || version(ours.Record) < stamp[1]:
				want = append(want, stamp[0])
			case version(ours.Record) > stamp[1]:
				give = append(give, ours.Record)
			}
		}
		t.each(func(r *row) {
			if r.ZoneKey() == zone && r.State != Dead && !seen[r.hash] {
				give = append(give, r.Record)
			}
		})
	}
	return give, want
}

// RecordsByHash gives the records that another asked for by hash.
func (t *Table) RecordsByHash(hashes []uint64) []Record {
	var records []Record
	for _, hash := range hashes {
		if held := t.find(hash); held != nil {
			records = append(records, held.Record)
		}
	}
	return records
}

func (t *Table) find(hash uint64) *row {
	if hash == Hash(t.self.ID) {
		return t.selfRow()
	}
	return t.byHash[hash]
}

func (t *Table) selfRow() *row { return &row{Record: t.self, hash: Hash(t.self.ID)} }

// each visits this process too.
func (t *Table) each(visit func(*row)) {
	visit(t.selfRow())
	for _, held := range t.rows {
		visit(held)
	}
}
