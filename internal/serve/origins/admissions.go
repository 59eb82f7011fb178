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
	// acknowledged means that the table has the version's row.
	acknowledged bool
	// absentSince is when the version was first missing from the list; zero while it is there.
	absentSince time.Time
}

// admissions tracks which versions the table has. A stream begins at a version only after the table has its row,
// so that the rows tell all versions of streams also after the death of all processes. It isn't safe for
// concurrent use.
type admissions struct {
	versions map[Origin]*admission
	// complete has, by service, the time of the table's clock from which its rows have all versions.
	complete map[string]time.Duration
	// waiting counts the listed versions by service whose rows aren't acknowledged.
	waiting map[string]int
}

func newAdmissions() *admissions {
	return &admissions{versions: map[Origin]*admission{}, complete: map[string]time.Duration{}, waiting: map[string]int{}}
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

// read applies the rows of the table and returns the versions that weren't known. listed means that the list of
// versions is known.
func (a *admissions) read(rows []versionRow, listed bool, now time.Time) (found []Origin) {
	for _, row := range rows {
		o := Origin{Service: row.Service, Version: row.Version}
		known := a.versions[o]
		if known == nil {
			known = &admission{}
			if listed {
				known.absentSince = now
			}
			a.versions[o] = known
			found = append(found, o)
		}
		known.acknowledged = true
		complete := time.Duration(row.CompleteMS) * time.Millisecond
		if at, has := a.complete[o.Service]; !has || complete < at {
			a.complete[o.Service] = complete
		}
	}
	a.recount()
	return found
}

// missing returns the rows to write. complete is the time of the table's clock from which the rows of services
// that had none have all versions.
func (a *admissions) missing(complete time.Duration, limit int) (puts []Row, versions []Origin) {
	if len(a.waiting) == 0 {
		return nil, nil
	}
	for o, known := range a.versions {
		if known.acknowledged || !known.absentSince.IsZero() || len(puts) >= limit {
			continue
		}
		at, has := a.complete[o.Service]
		if !has {
			at = complete
		}
		puts = append(puts, Row{Key: versionKey(o), Value: versionRow{Service: o.Service, Version: o.Version, CompleteMS: at.Milliseconds()}.encode()})
		versions = append(versions, o)
	}
	return puts, versions
}

// written records that the table has the rows of versions.
func (a *admissions) written(versions []Origin, complete time.Duration) {
	for _, o := range versions {
		if known := a.versions[o]; known != nil && known.absentSince.IsZero() {
			known.acknowledged = true
		}
		if _, has := a.complete[o.Service]; !has {
			a.complete[o.Service] = complete
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
