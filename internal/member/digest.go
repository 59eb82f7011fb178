package member

// VersionStamp identifies a record and its version in few bytes: the Hash of the incarnation,
// then Seq and State combined.
type VersionStamp [2]uint64

// stateBits is how many bits State takes in a version.
const stateBits = 2

func stampOf(r *row) VersionStamp { return VersionStamp{r.hash, version(r.Record)} }

// version combines Seq and State: of two claims about one incarnation, the one with the higher
// version wins.
func version(r Record) uint64 { return r.Seq<<stateBits | uint64(r.State) }

// digestTerm is what a record contributes to the digest of its zone. A suspected record counts
// as alive: suspicion ends by itself within seconds, so two processes that differ only in it
// needn't compare their zones. Dead records are left out because each process forgets them at
// a different time.
func digestTerm(r Record) uint64 {
	if r.State == Dead {
		return 0
	}
	if r.State == Suspect {
		r.State = Alive
	}
	return MixBits(Hash(r.ID) + version(r))
}

// Digest returns one number for each zone that has members. Two processes with the same view
// of a zone have the same digest of it.
func (t *Table) Digest() map[string]uint64 {
	digest := make(map[string]uint64, len(t.digests))
	for zone, sum := range t.digests {
		if sum != 0 {
			digest[zone] = sum
		}
	}
	return digest
}

// DifferingStamps lists the stamps of each zone whose digest differs from the other process's.
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
	t.forEach(func(r *row) {
		if stamps, found := differing[r.ZoneKey()]; found && r.State != Dead {
			differing[r.ZoneKey()] = append(stamps, stampOf(r))
		}
	})
	return differing
}

// CompareStamps compares the stamps that another process sent of differing zones with the
// local records. It returns the records that the other process lacks and the hashes of those
// that this process wants from it.
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
		t.forEach(func(r *row) {
			if r.ZoneKey() == zone && r.State != Dead && !seen[r.hash] {
				give = append(give, r.Record)
			}
		})
	}
	return give, want
}

// RecordsByHash returns the records that another process requested.
func (t *Table) RecordsByHash(hashes []uint64) []Record {
	var records []Record
	for _, hash := range hashes {
		if known := t.find(hash); known != nil {
			records = append(records, known.Record)
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

// forEach visits all records, including that of this process.
func (t *Table) forEach(visit func(*row)) {
	visit(t.selfRow())
	for _, known := range t.rows {
		visit(known)
	}
}
