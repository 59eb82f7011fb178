package prefix

import (
	"strconv"

	"github.com/vanillagate/vanillagate/internal/targetapi"
)

// The constants of 64-bit FNV-1a.
const (
	fnvOffset = 14695981039346656037
	fnvPrime  = 1099511628211
)

// blockHashes returns the hash of the prompt up to the end of each full block,
// in the form in which engines identify blocks.
func blockHashes(prompt string) []uint64 {
	count := min(len(prompt)/targetapi.CacheBlockBytes, maxPromptBlocks)
	hashes := make([]uint64, 0, count)
	hash := uint64(fnvOffset)
	for i := range count * targetapi.CacheBlockBytes {
		hash = (hash ^ uint64(prompt[i])) * fnvPrime
		if (i+1)%targetapi.CacheBlockBytes == 0 {
			hashes = append(hashes, hash)
		}
	}
	return hashes
}

// parseHashes parses hashes in hex. It skips invalid ones, which stand for no
// block.
func parseHashes(texts []string) []uint64 {
	hashes := make([]uint64, 0, len(texts))
	for _, text := range texts {
		if h, err := strconv.ParseUint(text, 16, 64); err == nil {
			hashes = append(hashes, h)
		}
	}
	return hashes
}
