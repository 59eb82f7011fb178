package pool

import (
	"slices"
	"time"
)

// versionMemory is how long after a version has left the list callers may still take up streams that it began.
const versionMemory = 2 * time.Minute

// leftVersions has the times at which the last target of a version left, by service and version.
type leftVersions map[string]map[string]time.Time

// add records that a target of a version has left, and removes what is older than versionMemory.
func (l leftVersions) add(service, version string, now time.Time) {
	byVersion := l[service]
	if byVersion == nil {
		byVersion = map[string]time.Time{}
		l[service] = byVersion
	}
	for version, at := range byVersion {
		if now.Sub(at) > versionMemory {
			delete(byVersion, version)
		}
	}
	byVersion[version] = now
}

// OnlyVersion returns the software version of all targets that a service has, or has had within
// versionMemory; false if there are none or several versions.
func (t *Table) OnlyVersion(service string, now time.Time) (string, bool) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	only, found := "", false
	differs := func(version string) bool {
		if !found {
			only, found = version, true
		}
		return version != only
	}
	if s := t.services[service]; s != nil {
		for _, target := range s.targets {
			if differs(target.Version) {
				return "", false
			}
		}
	}
	for version, at := range t.left[service] {
		if now.Sub(at) <= versionMemory && differs(version) {
			return "", false
		}
	}
	return only, found
}

// ListedVersions returns the software versions of the targets of each service.
func (t *Table) ListedVersions() map[string][]string {
	t.mu.RLock()
	defer t.mu.RUnlock()
	all := map[string][]string{}
	for name, s := range t.services {
		var versions []string
		for _, target := range s.targets {
			if !slices.Contains(versions, target.Version) {
				versions = append(versions, target.Version)
			}
		}
		all[name] = versions
	}
	return all
}

// Era returns the era of the store that the list is known from.
func (t *Table) Era() uint64 {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return max(t.synced, t.lastChange).Era()
}

// RecordLeft records that the last target of a version has left, though this process hasn't seen it.
func (t *Table) RecordLeft(service, version string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.left.add(service, version, now)
}

// StartedLate records that the system has run before this process started. Call it before the first Apply.
func (t *Table) StartedLate() { t.startedLate = true }

// KnowsLeftVersions reports whether this process knows all versions that have left within versionMemory.
func (t *Table) KnowsLeftVersions(now time.Time) bool {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return !t.startedLate || t.loaded && now.Sub(t.loadedAt) > versionMemory
}

// retire takes a target out of use for good. The caller holds mu.
func (t *Table) retire(target *Target, now time.Time) {
	target.markGone()
	target.statements.setGone(target.lastRow(), now)
	t.left.add(target.Service, target.Version, now)
	t.removeAddress(target)
}
