package engine

import (
	"fmt"
	"hash/fnv"
	"regexp"
	"strconv"
	"strings"
)

var (
	refPattern   = regexp.MustCompile(`\[ref:([A-Za-z0-9_-]+)\]`)
	answerMarker = "Answer:"
)

// LastRef returns R of the last "[ref:R]" in a text; false if there is none.
func LastRef(text string) (string, bool) {
	all := refPattern.FindAllStringSubmatch(text, -1)
	if len(all) == 0 {
		return "", false
	}
	return all[len(all)-1][1], true
}

// continuation is the output that the emulated model generates for a prompt:
// the words "ref:i", starting with i = next. It is deterministic, so that answers
// can be checked and an interrupted stream can be resumed at another target
// from the words generated so far.
type continuation struct {
	ref  string
	next int
	// spaceFirst means that a space separates the first word from the end of
	// the prompt.
	spaceFirst bool
}

func newContinuation(prompt string) continuation {
	question, answer := prompt, ""
	if index := strings.LastIndex(prompt, answerMarker); index >= 0 {
		question, answer = prompt[:index], prompt[index+len(answerMarker):]
	}
	ref, found := LastRef(prompt)
	if !found {
		ref = refFromHash(question)
	}
	next := countContinued(ref, answer)
	return continuation{ref: ref, next: next, spaceFirst: next > 0 && !endsInSpace(prompt)}
}

// countContinued counts the leading words ref:0 ref:1 ... that the answer
// already contains.
func countContinued(ref, answer string) int {
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

// refFromHash derives a reference for a prompt that contains none.
func refFromHash(question string) string {
	h := fnv.New32a()
	_, _ = h.Write([]byte(question)) // a hash's Write never fails
	return fmt.Sprintf("h%08x", h.Sum32())
}

// piece returns the word that was generated after the given number of words,
// including any space before it. The concatenated pieces are the whole answer.
func (c continuation) piece(produced int) string {
	word := c.ref + ":" + strconv.Itoa(c.next+produced)
	if produced > 0 || c.spaceFirst {
		return " " + word
	}
	return word
}

// text concatenates the pieces from index from up to, but not including, index
// to.
func (c continuation) text(from, to int) string {
	var b strings.Builder
	for i := from; i < to; i++ {
		b.WriteString(c.piece(i))
	}
	return b.String()
}
