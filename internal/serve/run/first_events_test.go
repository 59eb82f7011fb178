package run

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/vanillagate/vanillagate/internal/serve/place"
)

func promptOf(tokens int) place.Prompt { return place.Prompt{Input: tokens} }

func assertNear(t *testing.T, got, want time.Duration) {
	t.Helper()
	assert.Assert(t, got > want*9/10 && got < want*11/10, "%v, want %v", got, want)
}

func TestFirstEventEstimateDependsOnPromptLength(t *testing.T) {
	var f firstEventModel
	assertNear(t, f.expect("engines", promptOf(10_000)), 200*time.Millisecond)
	for i := range 400 {
		tokens := 500 + 3000*(i%8)
		took := 60*time.Millisecond + time.Duration(tokens)*20*time.Microsecond
		f.record("engines", promptOf(tokens), took)
	}
	assertNear(t, f.expect("engines", promptOf(30_000)), 660*time.Millisecond)
	assertNear(t, f.expect("engines", promptOf(5000)), 160*time.Millisecond)
	assert.Equal(t, f.expect("engines", promptOf(200_000)), maxFirstEvent)
	assertNear(t, f.expect("others", promptOf(10_000)), 200*time.Millisecond)
}

// All prompts seen have the same length, so no slope can be fitted, and their answers were
// slow.
func TestFirstEventEstimateNeverDecreasesWithPromptLength(t *testing.T) {
	var f firstEventModel
	for range 100 {
		f.record("engines", promptOf(800), 500*time.Millisecond)
	}
	assert.Assert(t, f.expect("engines", promptOf(20_000)) >= f.expect("engines", promptOf(800)))
	assertNear(t, f.expect("engines", promptOf(800)), 500*time.Millisecond)
}
