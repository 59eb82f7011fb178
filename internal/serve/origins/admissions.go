package origins

import "time"

// versionMemory is how long after a version has left the list its streams may be taken up. dropTime is how long its
// row stays longer than that, since processes don't see a version leave at the same moment.
const (
	versionMemory = 2 * time.Minute
	dropTime      = 30 * time.Second
)

// admission is what is known of one version.
type admission struct {
	// acknowledged means that the table has the version's row, confirmed that it has had it: a table that comes back
	// from a copy may lack it.
	acknowledged, confirmed bool
	// absentSince is when the version was first missing from the list; zero while it is there.
	absentSince time.Time
}

// admissions tracks which versions the table has. A stream begins at a version only after the table has its row,
// so that the rows tell all versions of streams also after the death of all processes. It isn't safe for
// concurrent use.
type admissions struct {
	versions map[Origin]*admission
	// complete has, by service, the time from which its rows have all versions.
	complete map[string]time.Time
	// waiting counts the listed versions by service whose rows aren't acknowledged.
	waiting map[string]int
}

func newAdmissions() *admissions {
	return &admissions{versions: map[Origin]*admission{}, complete: map[string]time.Time{}, waiting: map[string]int{}}
}

// list applies the versions of the list of targets. A version that comes back is acknowledged anew: its row may be
// about to be dropped.
func (a *admissions) list(listed map[string][]string, now time.Time) {
	present := map[Origin]bool{}
	for service, versions := range listed {
		for _, version := range versions {
			o := Origin{Service: service, Version: version}
			present[o] = true
			known := a.versions[o]
			if known == nil {
				known = &admission{}
				a.versions[o] = known
			}
			if !known.absentSince.IsZero() {
				*known = admission{}
			}
		}
	}
	for o, known := range a.versions {
		if !present[o] && known.absentSince.IsZero() {
			known.absentSince = now
		}
	}
	a.recount()
}

// recount sets waiting.
func (a *admissions) recount() {
	clear(a.waiting)
	for o, known := range a.versions {
		if known.absentSince.IsZero() && !known.acknowledged {
			a.waiting[o.Service]++
		}
	}
}

// acknowledgedVersion is a version whose row is in the table.
type acknowledgedVersion struct {
	Origin
	// complete is the time from which the rows of the service have all versions.
	complete time.Time
	// fromCopy means that the row is older than the table's return from a copy. It is written again.
	fromCopy bool
}

// acknowledge applies what the table, or another process, says of its rows. listed means that the list of versions is
// known.
func (a *admissions) acknowledge(rows []acknowledgedVersion, listed bool, now time.Time) {
	for _, row := range rows {
		known := a.versions[row.Origin]
		if known == nil {
			known = &admission{}
			if listed {
				known.absentSince = now
			}
			a.versions[row.Origin] = known
		}
		if !row.fromCopy {
			known.acknowledged, known.confirmed = true, true
		}
		if at, has := a.complete[row.Service]; !has || !row.fromCopy && row.complete.Before(at) {
			a.complete[row.Service] = row.complete
		}
	}
	a.recount()
}

// acknowledged returns the versions whose rows are in the table.
func (a *admissions) acknowledged() []acknowledgedVersion {
	var list []acknowledgedVersion
	for o, known := range a.versions {
		if known.acknowledged {
			list = append(list, acknowledgedVersion{Origin: o, complete: a.complete[o.Service]})
		}
	}
	return list
}

// missing returns versions whose rows are to be written, at most limit. The others of their service's list are among
// them, so that a table that was removed is complete again, and so are versions that have left without a row: callers may
// still take up their streams. complete is the time from which the rows of services that have none yet will have all
// versions.
func (a *admissions) missing(complete, now time.Time, limit int) []acknowledgedVersion {
	var list []acknowledgedVersion
	for o, known := range a.versions {
		if len(list) >= limit {
			break
		}
		if known.absentSince.IsZero() {
			if a.waiting[o.Service] == 0 {
				continue
			}
		} else if known.acknowledged || now.Sub(known.absentSince) >= versionMemory {
			continue
		}
		at, has := a.complete[o.Service]
		if !has {
			at = complete
		}
		list = append(list, acknowledgedVersion{Origin: o, complete: at})
	}
	return list
}

// hasOther reports whether a service has or has had another version whose row may still be in the table.
func (a *admissions) hasOther(o Origin) bool {
	for other := range a.versions {
		if other.Service == o.Service && other != o {
			return true
		}
	}
	return false
}

// written records that the table has the rows of versions.
func (a *admissions) written(versions []acknowledgedVersion) {
	for _, v := range versions {
		if known := a.versions[v.Origin]; known != nil {
			known.acknowledged, known.confirmed = true, true
		}
		if _, has := a.complete[v.Service]; !has {
			a.complete[v.Service] = v.complete
		}
	}
	a.recount()
}

// lost has all rows written again: the table has come back without some of them.
func (a *admissions) lost() {
	for _, known := range a.versions {
		known.acknowledged = false
	}
	a.recount()
}

// departed returns the versions whose rows may be dropped.
func (a *admissions) departed(now time.Time) []Origin {
	var list []Origin
	for o, known := range a.versions {
		if !known.absentSince.IsZero() && now.Sub(known.absentSince) > versionMemory+dropTime {
			list = append(list, o)
		}
	}
	return list
}

// forget forgets versions that have left. One that comes back is acknowledged anew.
func (a *admissions) forget(versions []Origin) {
	for _, o := range versions {
		if known := a.versions[o]; known != nil && !known.absentSince.IsZero() {
			delete(a.versions, o)
		}
	}
}
