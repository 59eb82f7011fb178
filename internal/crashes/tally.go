package crashes

import (
	"cmp"
	"slices"
	"time"
)

// tally counts the crashes at which a trait was there.
type tally struct {
	trait    Trait
	crashes  []*crash
	contents map[Trait]bool
}

// add counts a crash under a request. The crashes are added in order.
func (t *tally) add(run Traits, c *crash) {
	t.contents[run.Content] = true
	if len(t.crashes) == 0 || t.crashes[len(t.crashes)-1] != c {
		t.crashes = append(t.crashes, c)
	}
}

// latest returns the time of the last crash.
func (t *tally) latest() time.Time {
	var latest time.Time
	for _, c := range t.crashes {
		if c.at.After(latest) {
			latest = c.at
		}
	}
	return latest
}

// rounds counts the crashes that are known to be at least roundTime apart.
func (t *tally) rounds() int {
	n := 0
	var last time.Time
	for _, c := range sortedByTime(t.crashes) {
		if n == 0 || c.at.Sub(last) >= roundTime {
			n, last = n+1, c.until
		}
	}
	return n
}

func sortedByTime(list []*crash) []*crash {
	return slices.SortedFunc(slices.Values(list), func(a, b *crash) int { return a.at.Compare(b.at) })
}

// suspects returns the runs that may have caused a crash: those that are convicted, if there are any, else
// all.
func suspects(c *crash, index *convictionIndex) []Traits {
	var convicted []Traits
	for _, run := range c.runs {
		if _, found := index.find(run); found {
			convicted = append(convicted, run)
		}
	}
	if len(convicted) > 0 {
		return convicted
	}
	return c.runs
}

// explained reports whether a request with convicted parts ran on the target that died.
func explained(c *crash, index *convictionIndex) bool {
	return slices.ContainsFunc(c.runs, func(run Traits) bool {
		_, found := index.findParts(run)
		return found
	})
}

// unexplained lists the crashes that no conviction of parts explains.
func (j *judge) unexplained(index *convictionIndex) []*crash {
	var list []*crash
	for _, c := range j.evidence.crashes {
		if !explained(c, index) {
			list = append(list, c)
		}
	}
	return list
}

// tallyContents counts the crashes of the contents that aren't convicted, most first.
func (j *judge) tallyContents(index *convictionIndex) []*tally {
	all := map[Trait]*tally{}
	for _, c := range j.evidence.crashes {
		for _, run := range suspects(c, index) {
			if _, found := index.find(run); !found && j.counts(c, run.Content) {
				count(all, run.Content, run, c)
			}
		}
	}
	return sortedTallies(j.withoutChance(all))
}

// tallyParts counts the crashes of parts, most first. Against a part with which requests were answered
// before, a crash doesn't count if a part was there that was at several crashes and in no answer.
func (j *judge) tallyParts(index *convictionIndex, crashes []*crash) []*tally {
	all := map[Trait]*tally{}
	j.countParts(all, index, crashes, j.neverAnswered)
	likelier := func(part Trait) bool {
		t := all[part]
		return t != nil && j.neverAnswered(part) && len(t.crashes) >= max(crashesToAsk, int(likelierShare*float64(len(crashes))))
	}
	rest := slices.DeleteFunc(slices.Clone(crashes), func(c *crash) bool {
		return slices.ContainsFunc(suspects(c, index), func(run Traits) bool { return slices.ContainsFunc(run.Parts, likelier) })
	})
	j.countParts(all, index, rest, func(part Trait) bool { return !j.neverAnswered(part) })
	return sortedTallies(j.withoutChance(all))
}

// withoutChance removes from the tallies the crashes of targets that died together, if the trait was at
// few of these targets.
func (j *judge) withoutChance(all map[Trait]*tally) map[Trait]*tally {
	together := groups(j.evidence.crashes)
	for _, t := range all {
		there := map[int]int{}
		for _, c := range t.crashes {
			there[together.of[c]]++
		}
		t.crashes = slices.DeleteFunc(t.crashes, func(c *crash) bool {
			group := together.of[c]
			size := together.sizes[group]
			return size >= togetherCount && float64(there[group]) < togetherShare*float64(size)
		})
	}
	return all
}

// crashGroups divides crashes into groups of those that happened together.
type crashGroups struct {
	of    map[*crash]int // group of each crash
	sizes []int
}

func groups(crashes []*crash) crashGroups {
	g := crashGroups{of: map[*crash]int{}}
	var first time.Time
	for _, c := range sortedByTime(crashes) {
		if len(g.sizes) == 0 || c.at.Sub(first) > togetherTime {
			first = c.at
			g.sizes = append(g.sizes, 0)
		}
		g.of[c] = len(g.sizes) - 1
		g.sizes[len(g.sizes)-1]++
	}
	return g
}

// countParts counts the crashes of those parts of suspected requests for which include holds.
func (j *judge) countParts(all map[Trait]*tally, index *convictionIndex, crashes []*crash, include func(Trait) bool) {
	for _, c := range crashes {
		for _, run := range suspects(c, index) {
			for _, part := range run.Parts {
				if j.counts(c, part) && include(part) {
					count(all, part, run, c)
				}
			}
		}
	}
}

func count(all map[Trait]*tally, trait Trait, run Traits, c *crash) {
	t := all[trait]
	if t == nil {
		t = &tally{trait: trait, contents: map[Trait]bool{}}
		all[trait] = t
	}
	t.add(run, c)
}

func sortedTallies(all map[Trait]*tally) []*tally {
	list := make([]*tally, 0, len(all))
	for _, t := range all {
		list = append(list, t)
	}
	slices.SortFunc(list, func(a, b *tally) int {
		return cmp.Or(cmp.Compare(len(b.crashes), len(a.crashes)), cmp.Compare(a.trait, b.trait))
	})
	return list
}
