package crashes

import (
	"slices"
	"time"
)

// What convicts a trait. Requests that happen to run on targets that die are suspected as well, so the
// crashes must have followed each other: targets that die together have a common cause elsewhere.
const (
	// crashesByContent and crashesByPart are the numbers of crashes without a complete answer in between.
	// A part needs more, since it is more often there by chance.
	crashesByContent = 3
	crashesByPart    = 5
	// crashesByAnsweredPart is the number for a part with which requests were answered before, and
	// answeredPartTime how long the last crash must be after the last answer. In an outage, nothing is
	// answered either.
	crashesByAnsweredPart = 20
	answeredPartTime      = 10 * time.Second
	// roundsByContent and roundsByPart are the numbers of crashes that are at least roundTime apart.
	roundsByContent = 2
	roundsByPart    = 3
	roundTime       = 300 * time.Millisecond
	// togetherTime is the time within which togetherCount targets or more die together, and togetherShare the
	// share of them at which a trait must have been to be their common cause.
	togetherTime  = 150 * time.Millisecond
	togetherCount = 4
	togetherShare = 0.3
	// likelierShare is the share of the crashes at which a part that is in no answer must have been there to be
	// a likelier cause than parts with which requests were answered before.
	likelierShare = 0.2
	// contentsByPart is how many different requests with the part must have been there: with fewer, their
	// content is the cause.
	contentsByPart = 3
	// crashesToAsk is from how many crashes on all processes are asked for answers to requests with a trait.
	crashesToAsk = 2
	// answerTime is how long processes have to tell of answers before a content can be convicted, and
	// answerTimePerMember what each member adds. minPartAnswerTime is the least time for a part.
	answerTime          = 120 * time.Millisecond
	answerTimePerMember = time.Millisecond
	minPartAnswerTime   = 800 * time.Millisecond
	// maxAsked limits the traits that processes are asked about at a time.
	maxAsked = 64
	// crashesToWiden is the number of crashes after which a conviction is extended to requests that have
	// only some of its traits.
	crashesToWiden = 2
	// companionShare is the share of the crashes with one trait at which another one must have been in the
	// same requests for the two to be convicted together.
	companionShare = 0.8
	// maxPartners is how many parts may explain a set's crashes together with it, each some of them. If it
	// takes more, the set is the likelier cause.
	maxPartners = 2
	// maxVerdicts limits the verdicts of one review.
	maxVerdicts = 8
)

// judge decides from the evidence which traits crash targets. Of several traits that were always
// there together it can't tell the guilty one, so it convicts them together: requests that have only
// some of them run on, and their answers, or the crashes under them, decide later.
type judge struct {
	evidence evidence
	// answered has the traits of which a process has said when a request with them was last answered.
	answered recentTraits
	// acquitted has the traits of convictions that were lifted: earlier crashes don't count.
	acquitted recentTraits
	// asked is when processes were first asked about a trait, members the number of other processes.
	asked   map[Trait]time.Time
	members int
}

// verdicts is the result of a review.
type verdicts struct {
	// ask lists the traits that processes are to be asked about.
	ask []Trait
	// convicted and lifted list changes of convictions.
	convicted []Conviction
	lifted    []Conviction
}

// contentAnswerTime and partAnswerTime return how long the given number of processes have to tell of
// answers.
func contentAnswerTime(members int) time.Duration {
	return answerTime + time.Duration(members)*answerTimePerMember
}

func partAnswerTime(members int) time.Duration {
	return max(contentAnswerTime(members), minPartAnswerTime)
}

// review judges the evidence, given the convictions in force and the number of other processes.
func (j *judge) review(known *convictionSet, members int, now time.Time) verdicts {
	j.members = members
	var v verdicts
	firm := j.reconsider(&v, known, now)
	index := firm.index()
	contents := j.tallyContents(index)
	parts := j.tallyParts(index, j.unexplained(index))
	j.chooseQuestions(&v, known, contents, parts, now)
	for _, t := range contents {
		if len(t.crashes) >= crashesByContent && t.rounds() >= roundsByContent && j.answersAwaited(t.trait, now) {
			v.convicted = append(v.convicted, Conviction{Traits: []Trait{t.trait}, Crashes: len(t.crashes), Answered: !j.neverAnswered(t.trait)})
		}
	}
	j.convictParts(&v, firm, now)
	// One that is in doubt may be found again.
	v.convicted = slices.DeleteFunc(v.convicted, known.inForce)
	return v
}

// answersAwaited reports whether processes have had the time to tell of answers to requests with a trait.
func (j *judge) answersAwaited(t Trait, now time.Time) bool {
	at, asked := j.asked[t]
	limit := partAnswerTime(j.members)
	if t.IsContent() {
		limit = contentAnswerTime(j.members)
	}
	return asked && now.Sub(at) >= limit
}

// counts reports whether a crash counts against a trait: no request with it was answered later, and it
// wasn't acquitted.
func (j *judge) counts(c *crash, t Trait) bool {
	return c.at.After(j.answered.last(t)) && c.at.After(j.acquitted.last(t))
}

// chooseQuestions lists the traits with the most crashes, then those of convictions that answers may put
// in doubt or lift.
func (j *judge) chooseQuestions(v *verdicts, known *convictionSet, contents, parts []*tally, now time.Time) {
	asked := map[Trait]time.Time{}
	ask := func(t Trait) {
		if _, found := asked[t]; found || len(asked) == maxAsked {
			return
		}
		asked[t] = now
		if at, found := j.asked[t]; found {
			asked[t] = at
		}
		v.ask = append(v.ask, t)
	}
	for _, list := range [][]*tally{parts, contents} {
		for _, t := range list[:min(len(list), maxAsked/2)] {
			if len(t.crashes) >= crashesToAsk {
				ask(t.trait)
			}
		}
	}
	for _, c := range known.active() {
		if len(c.Traits) > 1 && now.Sub(c.since) < evidenceTTL || now.Sub(c.since) < askTTL {
			for _, t := range c.Traits {
				ask(t)
			}
		}
	}
	j.asked = asked
}

// reconsider lifts the convictions whose time is over, and those with all of whose traits requests were
// answered since. It returns those that explain crashes: the others are in doubt, since some of their
// traits turned out to be sound.
func (j *judge) reconsider(v *verdicts, known *convictionSet, now time.Time) *convictionSet {
	firm := known.clone()
	for _, c := range known.active() {
		rest := slices.DeleteFunc(slices.Clone(c.Traits), func(t Trait) bool {
			return !j.neverAnswered(t) && (!c.Answered || j.answered.last(t).After(c.since))
		})
		if len(rest) == 0 || now.Sub(c.since) > c.ttl() {
			v.lifted = append(v.lifted, c.Conviction)
		}
		if len(rest) < len(c.Traits) {
			delete(firm.byKey, c.Key())
		}
	}
	return firm
}
