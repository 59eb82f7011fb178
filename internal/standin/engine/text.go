package engine

import (
	"fmt"
	"hash/fnv"
	"regexp"
	"strconv"
	"strings"
)

var (
	refPattern  = regexp.MustCompile(`\[ref:([A-Za-z0-9_-]+)\]`)
	answerStart = "Answer:"
)

// LastRef is the last "[ref:R]" of a text; false if it has none.
func LastRef(text string) (string, bool) {
	all := refPattern.FindAllStringSubmatch(text, -1)
	if len(all) == 0 {
		return "", false
	}
	return all[len(all)-1][1], true
}

// continuation is what the model says to a prompt: words "ref:i" from next on.
// It is deterministic, so that answers can be checked and a stream that was
// cut can be resumed elsewhere from the words so far.
type continuation struct {
	ref  string
	next int
	// spaceFirst says that the first word is parted by a space from what the
	// prompt already holds.
	spaceFirst bool
}

func continuationOf(prompt string) continuation {
	question, answer := prompt, ""
	if at := strings.LastIndex(prompt, answerStart); at >= 0 {
		question, answer = prompt[:at], prompt[at+len(answerStart):]
	}
	ref, found := LastRef(prompt)
	if !found {
		ref = hashRef(question)
	}
	next := wordsSoFar(ref, answer)
	return continuation{ref: ref, next: next, spaceFirst: next > 0 && !endsInSpace(prompt)}
}

// wordsSoFar counts the words ref:0 ref:1 ... that the answer already holds.
func wordsSoFar(ref, answer string) int {
	words := strings.Fields(answer)
	for i, w := range words {
		if w != ref+":"+strconv.Itoa(i) {
			return i
		}
	}
	return len(words)
}

func endsInSpace(s string) bool {
	return s != "" && strings.TrimRight(s, " \t\r\n") != s
}

// hashRef names a prompt that has no reference of its own.
func hashRef(question string) string {
	h := fnv.New32a()
	_, _ = h.Write([]byte(question)) // a hash's Write never fails
	return fmt.Sprintf("h%08x", h.Sum32())
}

// piece is the text of the word with the given place in the answer, with the
// space before it: adding the pieces up gives the whole answer.
func (c continuation) piece(produced int) string {
	word := c.ref + ":" + strconv.Itoa(c.next+produced)
	if produced > 0 || c.spaceFirst {
		return " " + word
	}
	return word
}

// text joins the pieces from one place up to another.
func (c continuation) text(from, to int) string {
	var b strings.Builder
	for i := from; i < to; i++ {
		b.WriteString(c.piece(i))
	}
	return b.String()
}
