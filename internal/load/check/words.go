// Package check judges answers and whole runs: whether an answer is whole and
// belongs to the request that asked for it, and whether what the targets
// counted agrees with what the callers were told.
package check

import (
	"regexp"
	"strconv"
	"strings"
)

// Finding is what is wrong with an answer.
type Finding string

// The findings. Complete is the only good one.
const (
	Complete       Finding = "whole"
	Partial        Finding = "partial" // words are missing at the end or in the middle
	Duplicated     Finding = "doubled" // a word stands twice
	ForeignContent Finding = "crossed" // something belongs to another request
)

var refPattern = regexp.MustCompile(`\[ref:([A-Za-z0-9_-]+)\]`)

// RefMarker is the text by which a request names itself in an input.
func RefMarker(ref string) string { return "[ref:" + ref + "]" }

// PipelineOutput judges the output of a generation: the words "ref:0" to
// "ref:count-1", in order, once each.
func PipelineOutput(ref string, count int, output string) Finding {
	words := strings.Fields(output)
	next := 0
	for _, word := range words {
		number, own := ownNumber(ref, word)
		if !own {
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

// ownNumber is the number of a word "ref:number". A word that was cut within
// its number is told by the count of words, not here.
func ownNumber(ref, word string) (int, bool) {
	digits, found := strings.CutPrefix(word, ref+":")
	if !found {
		return 0, false
	}
	number, err := strconv.Atoi(digits)
	return number, err == nil && number >= 0
}

// ServiceAnswer judges the answer of a plain service, which repeats the mark of the
// request that it served.
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
