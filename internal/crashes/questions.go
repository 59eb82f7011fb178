package crashes

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/vanillagate/vanillagate/internal/peer"
)

const (
	// askPeriod is how often the same traits are asked about, askTTL how long a question holds.
	askPeriod = 5 * time.Second
	askTTL    = 15 * time.Second
	// answerDelay is the maximum random delay of an answer, and answerDelayPerMember what each member adds. An
	// answer that another process has given meanwhile is left out. answerPeriod is the time between two answers
	// about a trait.
	answerDelay          = 30 * time.Millisecond
	answerDelayPerMember = 600 * time.Microsecond
	answerPeriod         = time.Second
)

// recordAnswer remembers an answer, and tells the other processes of it if a collector asks about one of
// its traits.
func (d *Detector) recordAnswer(t Traits, at time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	traits := append([]Trait{t.Content}, t.Parts[:min(len(t.Parts), maxPartsPerAnswer)]...)
	var news []Trait
	for _, trait := range traits {
		d.answered.record(trait, at)
		if at.Before(d.watched[trait]) && at.Sub(d.judge.answered.last(trait)) >= answerPeriod {
			news = append(news, trait)
		}
	}
	d.publishAnswers(news, at)
}

// answer is what a process publishes about a trait: how long ago a request with it was answered.
type answer struct {
	Trait Trait `json:"t"`
	AgeMS int64 `json:"age_ms"`
}

// publishAnswers tells all processes, this one among them, of the last answers to requests with some
// traits. The caller holds mu.
func (d *Detector) publishAnswers(traits []Trait, now time.Time) {
	var list []answer
	for _, t := range traits {
		at := d.answered.last(t)
		d.judge.answered.record(t, at)
		list = append(list, answer{Trait: t, AgeMS: now.Sub(at).Milliseconds()})
	}
	if len(list) > 0 {
		d.publish(peer.TopicCrashAnswer, askTTL, list)
	}
}

// receiveQuestion answers a collector's question about traits, unless another process does first.
func (d *Detector) receiveQuestion(item peer.Item) {
	if traits, ok := decode[[]Trait](d, item); ok {
		d.answerQuestion(traits)
	}
}

func (d *Detector) answerQuestion(traits []Trait) {
	now := time.Now()
	d.mu.Lock()
	for _, t := range traits[:min(len(traits), maxAsked)] {
		if _, found := d.watched[t]; found || len(d.watched) < maxRecentTraits {
			d.watched[t] = now.Add(askTTL)
		}
	}
	d.mu.Unlock()
	time.AfterFunc(randomAnswerDelay(len(d.network.View().Members), rand.Float64()), func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		var news []Trait
		for _, t := range traits {
			if own := d.answered.last(t); own.After(d.judge.answered.last(t).Add(answerPeriod)) {
				news = append(news, t)
			}
		}
		d.publishAnswers(news, time.Now())
	})
}

// randomAnswerDelay returns the delay of an answer, given a random number in [0, 1). The density grows
// exponentially towards the maximum, so that only a few processes answer before they hear of others.
func randomAnswerDelay(members int, random float64) time.Duration {
	longest := answerDelay + time.Duration(members)*answerDelayPerMember
	growth := 1 + math.Log(float64(members+1))
	return time.Duration(float64(longest) / growth * math.Log1p(random*math.Expm1(growth)))
}

// receiveAnswer records when another process has seen answers.
func (d *Detector) receiveAnswer(item peer.Item) {
	list, ok := decode[[]answer](d, item)
	if !ok {
		return
	}
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, a := range list {
		d.judge.answered.record(a.Trait, now.Add(-time.Duration(a.AgeMS)*time.Millisecond))
	}
}
