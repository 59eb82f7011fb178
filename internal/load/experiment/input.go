package experiment

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"strings"

	"github.com/vanillagate/vanillagate/internal/load/shape"
)

// vocabulary holds the words from which request inputs are generated.
var vocabulary = []string{
	"hall", "catering", "lodging", "quote", "plenary", "delegates", "projector", "lunch", "Kraków", "Gdańsk",
	"reservoir", "level", "gauge", "spillway", "notice", "alarm", "inflow", "gate", "engineer", "shift",
}

// sharedPrefixTenths is how many tenths of an input's words belong to the shared
// prefix.
const sharedPrefixTenths = 9

// generateInput generates the text of a request. If the mix has prefixes, most
// of the text is one of a few prefixes of the customer, as when requests embed
// the same saved client record, so that prefix caches can hit.
func generateInput(m shape.Mix, random *rand.Rand, customer, ref string) string {
	var text strings.Builder
	length := max(m.InputWords, 1)
	if m.Prefixes > 0 {
		prefixIndex := random.IntN(m.Prefixes)
		prefix := rand.New(rand.NewPCG(uint64(prefixIndex), hashOf(customer)))
		fmt.Fprintf(&text, "%s record %d ", customer, prefixIndex)
		writeWords(&text, prefix, length*sharedPrefixTenths/10)
		length -= length * sharedPrefixTenths / 10
	} else {
		fmt.Fprintf(&text, "%s request %s ", customer, ref)
	}
	writeWords(&text, random, length)
	return text.String()
}

func hashOf(customer string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(customer)) // never fails
	return h.Sum64()
}

func writeWords(text *strings.Builder, random *rand.Rand, count int) {
	for range count {
		text.WriteString(vocabulary[random.IntN(len(vocabulary))])
		text.WriteByte(' ')
	}
}
