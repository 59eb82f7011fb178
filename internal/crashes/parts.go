package crashes

import (
	"slices"
	"time"
)

// convictParts convicts as few sets of parts as explain the crashes.
func (j *judge) convictParts(v *verdicts, firm *convictionSet, now time.Time) {
	assumed := firm.clone()
	for _, c := range v.convicted {
		assumed.add(c, now)
	}
	for range maxVerdicts {
		index := assumed.index()
		open := j.unexplained(index)
		found := j.widened(assumed, index, open)
		if len(found) == 0 {
			found = j.convictNext(index, open, now)
		}
		if len(found) == 0 {
			return
		}
		for _, c := range found {
			assumed.add(c, now)
		}
		v.convicted = append(v.convicted, found...)
	}
}

// convictNext returns the set of parts that explains most of the open crashes, or several sets that
// explain the same crashes more specifically.
func (j *judge) convictNext(index *convictionIndex, open []*crash, now time.Time) []Conviction {
	all := j.tallyParts(index, open)
	var list []*tally
	for _, t := range all {
		enough := len(t.crashes) >= j.crashesToConvict(t.trait) && t.rounds() >= roundsByPart && len(t.contents) >= contentsByPart
		if enough && j.answersAwaited(t.trait, now) && t.latest().Sub(j.answered.last(t.trait)) >= answeredPartTime {
			list = append(list, t)
		}
	}
	if len(list) == 0 {
		return nil
	}
	// Parts with which no request was ever answered are more likely than those with which some were.
	if unanswered := slices.DeleteFunc(slices.Clone(list), func(t *tally) bool { return !j.neverAnswered(t.trait) }); len(unanswered) > 0 {
		list = unanswered
	}
	set := j.addCompanions(index, list)
	var found []Conviction
	for _, s := range j.splitByPartners(index, set, all) {
		slices.Sort(s.traits)
		answered := !slices.ContainsFunc(s.traits, j.neverAnswered)
		found = append(found, Conviction{Traits: s.traits, Crashes: len(s.crashes), Answered: answered})
	}
	return found
}

// splitByPartners returns the set together with each of the parts that were there at several of its
// crashes, if these parts explain all of them: several parts may crash targets by turns. Else it
// returns the set alone.
func (j *judge) splitByPartners(index *convictionIndex, set traitSet, all []*tally) []traitSet {
	var parts []traitSet
	explained := map[*crash]bool{}
	for _, t := range all {
		if len(t.crashes) < crashesToAsk || !j.neverAnswered(t.trait) || slices.Contains(set.traits, t.trait) || len(parts) == maxPartners {
			continue
		}
		traits := append(slices.Clone(set.traits), t.trait)
		together := crashesWith(index, set.crashes, traits)
		if !slices.ContainsFunc(together, func(c *crash) bool { return !explained[c] }) {
			continue
		}
		for _, c := range together {
			explained[c] = true
		}
		parts = append(parts, traitSet{traits: traits, crashes: together})
	}
	if len(explained) < len(set.crashes) || len(set.traits) == maxConvictedTraits {
		return []traitSet{set}
	}
	return parts
}

// crashesToConvict returns the number of crashes that convict a part.
func (j *judge) crashesToConvict(part Trait) int {
	if j.neverAnswered(part) {
		return crashesByPart
	}
	return crashesByAnsweredPart
}

func (j *judge) neverAnswered(t Trait) bool { return j.answered.last(t).IsZero() }

// traitSet is a set of traits and the crashes at which a request had them all.
type traitSet struct {
	traits  []Trait
	crashes []*crash
}

// addCompanions returns the first part of the list, and those that were in the same requests so often
// that either may be the cause.
func (j *judge) addCompanions(index *convictionIndex, list []*tally) traitSet {
	set := traitSet{traits: []Trait{list[0].trait}, crashes: list[0].crashes}
	for len(set.traits) < maxConvictedTraits {
		var best traitSet
		for _, t := range list {
			if slices.Contains(set.traits, t.trait) {
				continue
			}
			traits := append(slices.Clone(set.traits), t.trait)
			together := crashesWith(index, set.crashes, traits)
			n := float64(len(together))
			companions := n >= companionShare*float64(len(t.crashes)) || n >= companionShare*float64(len(set.crashes))
			if companions && len(together) >= crashesByPart && len(together) > len(best.crashes) {
				best = traitSet{traits: traits, crashes: together}
			}
		}
		if best.traits == nil {
			break
		}
		set = best
	}
	return set
}

// crashesWith lists the crashes at which a suspected request had all of a set of traits.
func crashesWith(index *convictionIndex, crashes []*crash, traits []Trait) []*crash {
	var list []*crash
	for _, c := range crashes {
		if slices.ContainsFunc(suspects(c, index), func(run Traits) bool { return run.hasAll(traits) }) {
			list = append(list, c)
		}
	}
	return list
}

// widened returns the part of a convicted set under which targets go on crashing; none if there is none.
func (j *judge) widened(known *convictionSet, index *convictionIndex, open []*crash) []Conviction {
	for _, c := range known.active() {
		if len(c.Traits) < 2 {
			continue
		}
		for _, subset := range j.tallySubsets(c, index, open) {
			t := subset.tally
			if len(t.crashes) >= crashesToWiden && t.rounds() >= crashesToWiden && len(t.contents) >= crashesToWiden {
				return []Conviction{{Traits: subset.traits, Crashes: c.Crashes + len(t.crashes)}}
			}
		}
	}
	return nil
}

// subsetTally counts the crashes under requests that have only some traits of a conviction.
type subsetTally struct {
	traits []Trait
	tally  *tally
}

// tallySubsets counts the crashes since a conviction under requests with some of its traits.
func (j *judge) tallySubsets(c *knownConviction, index *convictionIndex, open []*crash) []subsetTally {
	var list []subsetTally
	for _, o := range open {
		if !o.at.After(c.since) {
			continue
		}
		for _, run := range suspects(o, index) {
			subset := slices.DeleteFunc(slices.Clone(c.Traits), func(t Trait) bool { return !run.has(t) })
			sound := slices.ContainsFunc(subset, func(t Trait) bool { return !j.neverAnswered(t) || !j.counts(o, t) })
			if len(subset) > 0 && !sound {
				list = countSubset(list, subset, run, o)
			}
		}
	}
	return list
}

func countSubset(list []subsetTally, subset []Trait, run Traits, c *crash) []subsetTally {
	at := slices.IndexFunc(list, func(s subsetTally) bool { return slices.Equal(s.traits, subset) })
	if at < 0 {
		at = len(list)
		list = append(list, subsetTally{traits: subset, tally: &tally{contents: map[Trait]bool{}}})
	}
	list[at].tally.add(run, c)
	return list
}
