package crashes

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var epoch = time.Unix(1000, 0)

// scene is the evidence of a collector, built step by step.
type scene struct {
	judge   judge
	known   *convictionSet
	now     time.Time
	content int
	target  int
	changes int // of convictions
}

func newScene() *scene { return &scene{known: newConvictionSet(), now: epoch} }

// wait lets time pass while the evidence is reviewed.
func (s *scene) wait(d time.Duration) {
	for end := s.now.Add(d); s.now.Before(end); {
		s.now = s.now.Add(reviewPeriod)
		v := s.judge.review(s.known, 8, s.now)
		for _, c := range v.lifted {
			c.Lifted = true
			s.known.add(c, s.now)
		}
		for _, c := range v.convicted {
			s.known.add(c, s.now)
		}
		s.changes += len(v.lifted) + len(v.convicted)
	}
}

// crash has a target crash under requests that are unlike all others, each with the given parts.
func (s *scene) crash(runs ...[]string) {
	s.target++
	for _, parts := range runs {
		s.content++
		s.judge.evidence.add(crash{target: fmt.Sprint("i-", s.target), at: s.now, until: s.now}, prompt(s.content, parts...))
	}
}

// crashContent has a target crash under a request with a content of its own, and others.
func (s *scene) crashContent(content int, parts []string, others ...[]string) {
	s.crash(others...)
	s.judge.evidence.add(crash{target: fmt.Sprint("i-", s.target), at: s.now, until: s.now}, prompt(content, parts...))
}

func (s *scene) answer(parts ...string) {
	for _, p := range parts {
		s.judge.answered.record(PartTrait(p), s.now)
	}
}

func (s *scene) refused(parts ...string) bool {
	_, found := s.known.index().find(prompt(-1, parts...))
	return found
}

type parts = []string

// Guards against parts that aren't found, and sound ones that are blamed, by what else happens at the time.
func TestWhatIsConvicted(t *testing.T) {
	const step = 400 * time.Millisecond
	cases := []struct {
		name string
		play func(s *scene)
		// refused and served are parts of prompts.
		refused, served []parts
	}{
		{
			name: "part in the middle, others answered",
			play: func(s *scene) {
				s.answer("a", "b")
				for range 6 {
					s.crash(parts{"a", "dead"}, parts{"a", "b"}, parts{"a"})
					s.wait(step)
				}
			},
			refused: []parts{{"a", "dead"}, {"dead"}, {"x", "dead", "y"}}, served: []parts{{"a"}, {"a", "b"}, {"b"}},
		},
		{
			name: "no request with the first part was ever answered",
			play: func(s *scene) {
				for range 6 {
					s.crash(parts{"a", "dead"})
					s.wait(step)
				}
			},
			refused: []parts{{"a", "dead"}}, served: []parts{{"a"}, {"a", "b"}},
		},
		{
			name: "answers tell later which of two parts is sound",
			play: func(s *scene) {
				for range 6 {
					s.crash(parts{"a", "dead"})
					s.wait(step)
				}
				s.answer("a")
				s.wait(step)
			},
			refused: []parts{{"a", "dead"}, {"dead"}, {"b", "dead"}}, served: []parts{{"a"}},
		},
		{
			name: "crashes tell later which of two parts is deadly",
			play: func(s *scene) {
				for range 6 {
					s.crash(parts{"a", "dead"})
					s.wait(step)
				}
				for range crashesToWiden {
					s.crash(parts{"b", "dead"})
					s.wait(step)
				}
				s.wait(time.Second)
			},
			refused: []parts{{"dead"}, {"b", "dead"}}, served: []parts{{"a"}, {"b"}},
		},
		{
			name: "first parts by turns",
			play: func(s *scene) {
				for i := range 8 {
					s.crash(parts{fmt.Sprint("a", i%3), "dead", fmt.Sprint("b", i%4)})
					s.wait(step)
				}
			},
			refused: []parts{{"a0", "dead"}, {"dead"}}, served: []parts{{"a0"}, {"a1", "b1"}},
		},
		{
			name: "two deadly parts by turns",
			play: func(s *scene) {
				s.answer("a")
				for i := range 12 {
					s.crash(parts{"a", fmt.Sprint("dead", i%2)}, parts{"a"})
					s.wait(step)
				}
			},
			refused: []parts{{"a", "dead0"}, {"a", "dead1"}}, served: []parts{{"a"}, {"a", "b"}},
		},
		{
			name: "two deadly parts by turns, no request was ever answered",
			play: func(s *scene) {
				for i := range 12 {
					s.crash(parts{"a", fmt.Sprint("dead", i%2)}, parts{"a"})
					s.wait(step)
				}
			},
			refused: []parts{{"a", "dead0"}, {"a", "dead1"}}, served: []parts{{"a"}, {"a", "b"}},
		},
		{
			name: "two deadly parts by turns among parts that overlap, no request was ever answered",
			play: func(s *scene) {
				for i := range 14 {
					list := parts{fmt.Sprint("a", i%2), fmt.Sprint("dead", i/2%2)}
					for k := range 8 {
						list = append(list, fmt.Sprint("c", (i/2+k)%30))
					}
					s.crash(list, parts{fmt.Sprint("a", i%2), fmt.Sprint("c", i%30)})
					s.wait(step)
				}
			},
			refused: []parts{{"a0", "dead0", "c5", "c6", "c7"}, {"a1", "dead1", "c5", "c6", "c7"}}, served: []parts{{"a0", "c5"}, {"a1", "c6"}, {"a1", "c7"}, {"a0", "c4"}},
		},
		{
			name: "three deadly parts while no sound request is answered for long",
			play: func(s *scene) {
				s.answer("a")
				for i := range 24 {
					s.crash(parts{"a", fmt.Sprint("dead", i%3)}, parts{"a"})
					s.wait(step)
				}
			},
			refused: []parts{{"a", "dead0"}, {"a", "dead1"}, {"a", "dead2"}}, served: []parts{{"a"}, {"a", "b"}},
		},
		{
			name: "deadly part beside other crashes",
			play: func(s *scene) {
				for i := range 6 {
					s.crash(parts{"a", "dead"})
					s.wait(step)
					s.crash(parts{"a", fmt.Sprint("b", i%3)})
					s.crash(parts{"a"}, parts{fmt.Sprint("c", i%3)})
					if i%2 == 0 {
						s.answer("a")
					}
					s.wait(step)
				}
			},
			refused: []parts{{"a", "dead"}}, served: []parts{{"a"}, {"a", "b0"}, {"c1"}},
		},
		{
			name: "rare sound part beside the deadly one",
			play: func(s *scene) {
				s.answer("a")
				for range 6 {
					s.crash(parts{"a", "dead"}, parts{"a", "rare"})
					s.wait(step)
				}
			},
			refused: []parts{{"a", "dead"}}, served: []parts{{"a", "rare"}, {"rare"}},
		},
		{
			name: "many targets die together",
			play: func(s *scene) {
				for range 24 {
					s.crash(parts{"new"}, parts{"new", "b"})
				}
				s.wait(5 * time.Second)
			},
			served: []parts{{"new"}, {"new", "b"}},
		},
		{
			name: "half of the targets die again and again, nothing is answered meanwhile",
			play: func(s *scene) {
				s.answer("a")
				for i := range 8 {
					for k := range 12 {
						s.crash(parts{"a", fmt.Sprint("b", i*12+k)}, parts{fmt.Sprint("c", k)})
					}
					s.crash(parts{"a", "new"})
					s.wait(step)
				}
				s.wait(5 * time.Second)
			},
			served: []parts{{"a"}, {"a", "new"}, {"a", "b0"}, {"c0"}},
		},
		{
			name: "deadly part while many targets die at once beside it",
			play: func(s *scene) {
				s.answer("a")
				for i := range 6 {
					for k := range 12 {
						s.crash(parts{"a", fmt.Sprint("b", i*12+k)})
					}
					s.wait(step)
					s.crash(parts{"a", "dead"})
					s.wait(step)
				}
			},
			refused: []parts{{"a", "dead"}}, served: []parts{{"a"}, {"a", "b0"}},
		},
		{
			name: "targets die in series, sound requests are answered in between",
			play: func(s *scene) {
				for i := range 24 {
					s.crash(parts{"a", fmt.Sprint("b", i%5)}, parts{"a"})
					s.wait(step)
					if i%2 == 0 {
						s.answer("a", fmt.Sprint("b", i%5))
					}
				}
				s.wait(5 * time.Second)
			},
			served: []parts{{"a"}, {"a", "b0"}, {"a", "b3"}},
		},
		{
			name: "one request crashes targets again and again",
			play: func(s *scene) {
				s.answer("a", "b")
				for range 12 {
					s.crashContent(-7, parts{"a", "b"}, parts{"a"}, parts{"a", "c"})
					s.wait(step)
				}
				s.wait(5 * time.Second)
			},
			served: []parts{{"a"}, {"a", "b"}, {"a", "c"}},
		},
		{
			name: "part with which requests were answered until its targets changed",
			play: func(s *scene) {
				s.answer("a", "b")
				s.wait(10 * time.Second)
				for i := range crashesByAnsweredPart {
					s.crash(parts{"a", fmt.Sprint("c", i)})
					s.wait(step)
				}
				s.wait(time.Second)
			},
			refused: []parts{{"a"}, {"a", "b"}}, served: []parts{{"b"}},
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := newScene()
			c.play(s)
			s.wait(2 * time.Second)
			before := s.changes
			s.wait(time.Minute)
			assert.Check(t, s.changes == before, "%d changes although nothing happened", s.changes-before)
			for _, list := range c.refused {
				assert.Check(t, s.refused(list...), "%v is served", list)
			}
			for _, list := range c.served {
				assert.Check(t, !s.refused(list...), "%v is refused", list)
			}
		})
	}
}

// Guards against a content that is refused although it was answered between the crashes.
func TestContentIsConvictedByCrashesInARowOnly(t *testing.T) {
	s := newScene()
	for range 6 {
		s.crashContent(-1, nil)
		s.wait(time.Second)
		s.judge.answered.record(prompt(-1).Content, s.now)
		s.wait(time.Second)
	}
	assert.Assert(t, !s.refused())
	for range crashesByContent {
		s.crashContent(-1, nil)
		s.wait(time.Second)
	}
	s.wait(time.Second)
	assert.Assert(t, s.refused())
	before := s.changes
	s.wait(time.Minute)
	assert.Equal(t, s.changes, before)
}

// Guards against a sound part that stays refused although a request with it was answered after all.
func TestConvictionIsLiftedByAnAnswer(t *testing.T) {
	s := newScene()
	for range 6 {
		s.crash(parts{"a"})
		s.wait(time.Second)
	}
	assert.Assert(t, s.refused("a"))
	s.answer("a")
	s.wait(time.Second)
	assert.Assert(t, !s.refused("a"))
}

// Guards against callers that use up the memory, or evict the evidence, with long prompts and many crashes.
func TestEvidenceIsBounded(t *testing.T) {
	s := newScene()
	var long parts
	for i := range 4000 {
		long = append(long, fmt.Sprint("p", i))
	}
	for range 2 * maxCrashes {
		s.crash(long, parts{"b"})
		s.now = s.now.Add(2 * sameCrashTime)
		assert.Assert(t, s.judge.evidence.traits <= maxTraitsHeld && len(s.judge.evidence.crashes) <= maxCrashes)
	}
	var answered recentTraits
	for i := range 3 * maxRecentTraits {
		answered.record(PartTrait(fmt.Sprint(i)), epoch)
	}
	assert.Assert(t, len(answered.newer)+len(answered.older) <= 2*maxRecentTraits)
	set := newConvictionSet()
	for i := range 2 * maxConvictions {
		set.add(Conviction{Traits: []Trait{PartTrait(fmt.Sprint(i))}}, epoch)
	}
	assert.Assert(t, len(set.byKey) <= maxConvictions)
}

// Guards against convictions that depend on the order in which they come.
func TestNewestRevisionOfAConvictionHolds(t *testing.T) {
	c := Conviction{Traits: []Trait{PartTrait("a")}, Revision: 1}
	lifted := Conviction{Traits: c.Traits, Revision: 2, Lifted: true}
	for _, order := range [][]Conviction{{c, lifted}, {lifted, c}} {
		set := newConvictionSet()
		for _, o := range order {
			set.merge(o, epoch)
		}
		assert.Equal(t, len(set.active()), 0)
	}
}
