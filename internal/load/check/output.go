// Package check verifies the answers and totals of a load test: whether an answer
// is complete and belongs to its request, and whether the responses to callers
// agree with the executions that the targets recorded.
package check

import (
	"regexp"
	"strconv"
	"strings"
)

// Finding is the result of checking an answer.
type Finding string

// The findings. Complete is the only one without a fault.
const (
	Complete       Finding = "whole"
	Partial        Finding = "partial" // words are missing or surplus
	Duplicated     Finding = "doubled" // a word is repeated
	ForeignContent Finding = "crossed" // it contains output of another request
)

var refPattern = regexp.MustCompile(`\[ref:([A-Za-z0-9_-]+)\]`)

// RefMarker returns the text that identifies a request in its input.
func RefMarker(ref string) string { return "[ref:" + ref + "]" }

// PipelineOutput checks generated text, which must consist of the words "ref:0" to
// "ref:count-1", in order, once each.
func PipelineOutput(ref string, count int, output string) Finding {
	words := strings.Fields(output)
	next := 0
	for _, word := range words {
		number, matches := wordIndex(ref, word)
		if !matches {
			return ForeignContent
		}
		if number < next {
			return Duplicated
		}
		if number > next || next >= count {
			return Partial
		}
		next++
	}
	if next < count {
		return Partial
	}
	return Complete
}

// wordIndex returns the number of a word "ref:number". A word truncated within its
// number isn't detected here but by the sequence of the numbers.
func wordIndex(ref, word string) (int, bool) {
	digits, found := strings.CutPrefix(word, ref+":")
	if !found {
		return 0, false
	}
	number, err := strconv.Atoi(digits)
	return number, err == nil && number >= 0
}

// ServiceAnswer checks the answer of a plain service, which must repeat the marker
// of the request.
func ServiceAnswer(ref, body string) Finding {
	marks := refPattern.FindAllStringSubmatch(body, -1)
	for _, mark := range marks {
		if mark[1] != ref {
			return ForeignContent
		}
	}
	if len(marks) == 0 {
		return Partial
	}
	return Complete
}
