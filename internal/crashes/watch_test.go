package crashes

import (
	"context"
	"fmt"
	"net"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// address is what a test tells of a target's address.
type address struct {
	// unreachableFor is how long no connection is established, refused whether it is refused then.
	unreachableFor time.Duration
	refused        bool
	dials          int
}

func (a *address) dial(began time.Time) func(context.Context, string) (net.Conn, error) {
	return func(ctx context.Context, _ string) (net.Conn, error) {
		a.dials++
		switch {
		case time.Since(began) < a.unreachableFor:
			<-ctx.Done()
			return nil, ctx.Err()
		case a.refused:
			return nil, &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}
		}
		ours, theirs := net.Pipe()
		_ = theirs.Close()
		return ours, nil
	}
}

// Guards against crashes that stay unknown because the target is silent, or replaced before it is probed.
func TestFateOfATargetWhoseCallBroke(t *testing.T) {
	const gone = 4 * time.Second
	long := 3 * time.Second // since the target was last heard of
	for name, tc := range map[string]struct {
		address    address
		silent     time.Duration
		unanswered bool
		cutOff     bool
		// fates are the answers to Ask, in turn; the last one holds on.
		fates []Fate
		// listed is after what time the list names a later start; 0 for never.
		listed  time.Duration
		crashed bool
		asked   int
	}{
		"refused":                              {address: address{refused: true}, crashed: true},
		"silent, then refused":                 {address: address{unreachableFor: gone, refused: true}, silent: long, crashed: true},
		"silent, then replaced":                {address: address{unreachableFor: gone}, silent: long, fates: []Fate{Ended}, crashed: true, asked: 1},
		"silent, then the same":                {address: address{unreachableFor: gone}, silent: long, fates: []Fate{Runs}, asked: 1},
		"replaced at once":                     {fates: []Fate{Ended}, crashed: true, asked: 1},
		"replaced, which it says later":        {silent: long, fates: []Fate{Unknown, Unknown, Ended}, crashed: true, asked: 3},
		"replaced, which the list says later":  {silent: long, fates: []Fate{Unknown}, listed: 150 * time.Millisecond, crashed: true, asked: 2},
		"replaced at another address":          {address: address{unreachableFor: time.Hour}, silent: long, listed: gone, crashed: true},
		"the same, which the list doesn't say": {silent: long, fates: []Fate{Runs}, listed: time.Nanosecond, asked: 1},
		"never known":                          {address: address{unreachableFor: time.Hour}, silent: long},
		"given up, reachable":                  {silent: long, unanswered: true, fates: []Fate{Ended}},
		"given up, silent, then replaced":      {address: address{unreachableFor: gone}, silent: long, unanswered: true, fates: []Fate{Ended}, crashed: true, asked: 1},
		"cut off, refused":                     {address: address{refused: true}, cutOff: true},
		"cut off, then replaced":               {address: address{unreachableFor: gone}, cutOff: true, silent: long, fates: []Fate{Ended}, crashed: true, asked: 1},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := startProcesses(t, 1, newRegister())
				d := p.all[0]
				d.dial = tc.address.dial(time.Now())
				asked := 0
				c := Call{RequestID: "id", Traits: NewTraits(ContentTrait("a"), nil), Target: "i-1", Address: "a:1", HeardAt: time.Now().Add(-tc.silent), Silent: tc.silent > 0, CutOff: tc.cutOff}
				c.Ask = func(_ context.Context, silent bool) Fate {
					assert.Check(t, silent == (tc.silent > 0))
					asked++
					return tc.fates[min(asked, len(tc.fates))-1]
				}
				broken := time.Now()
				c.Superseded = func() bool { return tc.listed > 0 && time.Since(broken) >= tc.listed }
				if tc.unanswered {
					d.Unanswered(c)
				} else {
					d.Broke(c)
				}
				time.Sleep(watchTime + gone)
				synctest.Wait()
				assert.Equal(t, asked, tc.asked)
				d.mu.Lock()
				defer d.mu.Unlock()
				assert.Equal(t, len(d.watches), 0)
				assert.Equal(t, len(d.judge.evidence.crashes) == 1, tc.crashed)
				if tc.crashed && tc.silent > 0 { // to the millisecond, as reports tell it
					crash := d.judge.evidence.crashes[0]
					assert.Assert(t, crash.at.Sub(c.HeardAt).Abs() <= time.Millisecond)
					assert.Assert(t, crash.until.Sub(broken).Abs() <= time.Millisecond)
				}
			})
		})
	}
}

// Guards against a probe for each call of a target that has died.
func TestCallsOfATargetAreFollowedTogether(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := startProcesses(t, 1, newRegister())
		d := p.all[0]
		a := address{unreachableFor: time.Second}
		d.dial = a.dial(time.Now())
		asked := 0
		for n := range 50 {
			d.Broke(Call{
				RequestID: fmt.Sprint("id-", n), Traits: NewTraits(ContentTrait(fmt.Sprint(n)), nil), Target: "i-1", Address: "a:1", HeardAt: time.Now(),
				Ask: func(context.Context, bool) Fate { asked++; return Ended },
			})
			time.Sleep(time.Millisecond)
		}
		time.Sleep(5 * time.Second)
		synctest.Wait()
		assert.Equal(t, asked, 1)
		assert.Assert(t, a.dials <= 5, "%d", a.dials)
		d.mu.Lock()
		defer d.mu.Unlock()
		assert.Equal(t, len(d.judge.evidence.crashes), 1)
		assert.Equal(t, len(d.judge.evidence.crashes[0].runs), 50)
	})
}

// Guards against one crash that counts as several, and crashes of two starts that count as one.
func TestReportsOfTheSameCrash(t *testing.T) {
	now := time.Now()
	at := func(born int64, from, until time.Duration) crash {
		return crash{target: "i-1", born: born, at: now.Add(from), until: now.Add(until)}
	}
	for name, tc := range map[string]struct {
		a, b crash
		same bool
	}{
		"one start, far apart":      {at(7, 0, 0), at(7, time.Minute, time.Minute), true},
		"two starts, at once":       {at(7, 0, 0), at(8, 0, 0), false},
		"no start, at once":         {at(0, 0, 0), at(0, sameCrashTime-1, sameCrashTime-1), true},
		"no start, apart":           {at(0, 0, 0), at(0, sameCrashTime, sameCrashTime), false},
		"times that overlap":        {at(0, 0, 5*time.Second), at(7, 4*time.Second, 9*time.Second), true},
		"times that don't overlap":  {at(0, 0, 5*time.Second), at(0, 6*time.Second, 9*time.Second), false},
		"another target, same time": {at(0, 0, 0), crash{target: "i-2", at: now, until: now}, false},
	} {
		assert.Equal(t, tc.a.is(tc.b), tc.same, name)
		assert.Equal(t, tc.b.is(tc.a), tc.same, name)
	}
	both := at(0, 0, 5*time.Second)
	both.narrow(at(0, 3*time.Second, 9*time.Second))
	assert.Equal(t, both.at, now.Add(3*time.Second))
	assert.Equal(t, both.until, now.Add(5*time.Second))
}

// Guards against targets that fall silent together and count as having crashed one after the other.
func TestCrashesAtTimesThatOverlapAreOneRound(t *testing.T) {
	now := time.Now()
	at := func(from, until time.Duration) *crash { return &crash{at: now.Add(from), until: now.Add(until)} }
	together := &tally{crashes: []*crash{at(0, 4*time.Second), at(time.Second, 4*time.Second), at(2*time.Second, 4*time.Second)}}
	assert.Equal(t, together.rounds(), 1)
	inTurn := &tally{crashes: []*crash{at(0, 3*time.Second), at(4*time.Second, 7*time.Second), at(8*time.Second, 11*time.Second)}}
	assert.Equal(t, inTurn.rounds(), 3)
}
