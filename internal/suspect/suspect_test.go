package suspect

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var start = time.Unix(1000, 0)

func permission(t *Table, f Fingerprint, at time.Time) Permission {
	granted, _ := t.RequestPermission(f, at)
	return granted
}

func TestTwoCrashesConvict(t *testing.T) {
	table := NewTable("p")
	f := FingerprintOf("quote", "poison")
	assert.Equal(t, permission(table, f, start), Unrestricted)
	table.RecordCrash(f, "a:1", start)
	assert.Equal(t, table.Check(f, start), Suspected)
	table.RecordCrash(f, "b:1", start.Add(time.Second))
	assert.Equal(t, table.Check(f, start.Add(time.Second)), Convicted)
	assert.Equal(t, permission(table, f, start.Add(time.Second)), Denied)
	later := start.Add(EvidenceTTL + 2*time.Second)
	assert.Equal(t, table.Check(f, later), Clear)
	table.RecordCrash(f, "c:1", later)
	assert.Equal(t, table.Check(f, later), Suspected)
}

// The same request is sent twice to one entry VM, and both copies ran on the target that
// crashed. Run again at the same time, they could crash two more targets.
func TestSuspectRunsOnceAtATime(t *testing.T) {
	table := NewTable("p")
	f := FingerprintOf("quote", "poison")
	table.RecordCrash(f, "a:1", start)
	assert.Equal(t, permission(table, f, start.Add(PropagationDelay/2)), MustWait)
	at := start.Add(PropagationDelay)
	assert.Equal(t, permission(table, f, at), Isolated)
	assert.Equal(t, permission(table, f, at), MustWait)
	assert.Assert(t, table.MayContinue(f, Isolated, at))
	table.ReleasePermission(f)
	assert.Equal(t, permission(table, f, at), Isolated)
}

// Two entry VMs have requests on the same target when it crashes, and both report the crash.
// If it counted twice, an innocent request would be convicted; if both ran the request again,
// a guilty one would crash two more targets.
func TestDuplicateReportsOfACrashAreMerged(t *testing.T) {
	p, q := NewTable("p"), NewTable("q")
	f := FingerprintOf("quote", "either")
	byP := p.RecordCrash(f, "a:1", start)
	byQ := q.RecordCrash(f, "a:1", start.Add(50*time.Millisecond))
	p.MergeEvidence(byQ, start)
	q.MergeEvidence(byP, start)
	at := start.Add(time.Second)
	assert.Equal(t, p.Check(f, at), Suspected)
	assert.Equal(t, permission(p, f, at), Isolated)
	assert.Equal(t, permission(q, f, at), MustWait)
}

func TestPeerEvidenceConvictsAndStopsRunningRequests(t *testing.T) {
	here, there := NewTable("p"), NewTable("q")
	f := FingerprintOf("quote", "poison")
	notified := 0
	stop := there.Watch(f, func() { notified++ })
	there.MergeEvidence(here.RecordCrash(f, "a:1", start), start)
	assert.Equal(t, notified, 1)
	assert.Assert(t, !there.MayContinue(f, Unrestricted, start))
	assert.Assert(t, there.DiedRecently("a:1", start))
	assert.Assert(t, !there.DiedRecently("a:1", start.Add(deadTargetTimeout)))
	stop()
	there.MergeEvidence(here.RecordCrash(f, "b:1", start), start)
	assert.Equal(t, notified, 1)
	assert.Equal(t, there.Check(f, start), Convicted)
	assert.Assert(t, !here.MayContinue(f, Isolated, start))
}

// The owner of a suspect dies, or its caller leaves, before the second attempt. The request
// must not be blocked for as long as the evidence counts.
func TestOwnershipIsTakenOverAfterTimeout(t *testing.T) {
	p, q, r := NewTable("p"), NewTable("q"), NewTable("r")
	f := FingerprintOf("quote", "innocent")
	e := p.RecordCrash(f, "a:1", start)
	q.MergeEvidence(e, start)
	r.MergeEvidence(e, start)
	at := start.Add(ownershipTimeout + time.Second)
	granted, byQ := q.RequestPermission(f, at)
	assert.Equal(t, granted, MustWait)
	_, byR := r.RequestPermission(f, at.Add(time.Millisecond))
	q.MergeEvidence(*byR, at)
	r.MergeEvidence(*byQ, at)
	p.MergeEvidence(*byQ, at)
	at = at.Add(2 * PropagationDelay)
	assert.Equal(t, permission(q, f, at), Isolated)
	assert.Equal(t, permission(r, f, at), MustWait)
	assert.Equal(t, permission(p, f, at), MustWait)
}

// A suspect completes while another process's report of the same crash is still on its way.
func TestClearingVoidsEarlierCrashesInAnyOrder(t *testing.T) {
	p, q, r := NewTable("p"), NewTable("q"), NewTable("r")
	f := FingerprintOf("x")
	p.RecordCrash(f, "a:1", start)
	late := q.RecordCrash(f, "a:1", start.Add(time.Millisecond))
	cleared := p.RecordSuccess(f, start.Add(time.Second))
	assert.Equal(t, len(p.List(start)), 0)
	p.MergeEvidence(late, start)
	r.MergeEvidence(cleared, start)
	r.MergeEvidence(late, start)
	q.MergeEvidence(cleared, start)
	for _, table := range []*Table{p, q, r} {
		assert.Equal(t, table.Check(f, start), Clear)
	}
}

func TestConvictionCannotBeCleared(t *testing.T) {
	table := NewTable("p")
	f := FingerprintOf("x")
	table.RecordCrash(f, "a:1", start)
	table.RecordCrash(f, "b:1", start)
	table.RecordSuccess(f, start.Add(time.Second))
	table.MergeEvidence(Evidence{Fingerprint: f, ClearedAt: start.Add(time.Second)}, start)
	assert.Equal(t, table.Check(f, start), Convicted)
}

func TestQuarantineGivesEachTargetToOneProcess(t *testing.T) {
	addresses := []string{"d", "a", "c", "b", "e"}
	owners := map[string]int{}
	for rank := range 3 {
		allowed := Quarantine(addresses, rank, 3)
		n := 0
		for _, a := range addresses {
			if allowed(a) {
				owners[a]++
				n++
			}
		}
		assert.Assert(t, n >= 1)
	}
	for _, a := range addresses {
		assert.Equal(t, owners[a], 1)
	}
	few := Quarantine([]string{"a", "b"}, 2, 3)
	assert.Assert(t, few("a"))
	assert.Assert(t, !few("b"))
}
