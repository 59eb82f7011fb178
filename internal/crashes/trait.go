// Package crashes finds the requests that crash the targets that run them, and tells all processes
// to refuse them.
//
// Requests that crash targets have something in common: their content, or a part of their prompts.
// Both are traits. When a target dies, the processes that had requests there report the traits of
// these requests to two collectors. A collector convicts the traits that were there when several
// targets died, unless a request with them has been answered completely since: a trait that crashes
// targets crashes each of them. Convictions are published to all processes and kept in a register,
// so that they outlive the processes.
package crashes

import (
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"slices"
	"strings"
)

// Trait identifies something that requests have in common. The lowest bit tells contents from parts
// of prompts; the other bits are of a cryptographic hash, so that callers can't choose the trait.
type Trait uint64

const contentBit Trait = 1

// ContentTrait returns the trait of a request's content: everything that determines what its target
// does, but for the headers.
func ContentTrait(fields ...string) Trait { return hash(fields...) | contentBit }

// PartTrait returns the trait of a part of a prompt.
func PartTrait(id string) Trait { return hash(strings.ToLower(id)) &^ contentBit }

func hash(fields ...string) Trait {
	h := sha256.New()
	for _, f := range fields {
		var length [8]byte
		binary.BigEndian.PutUint64(length[:], uint64(len(f)))
		_, _ = h.Write(length[:]) // a hash.Hash never fails
		_, _ = h.Write([]byte(f))
	}
	return Trait(binary.BigEndian.Uint64(h.Sum(nil)))
}

// IsContent reports whether the trait is that of a content.
func (t Trait) IsContent() bool { return t&contentBit != 0 }

// String returns the kind of the trait and its hash.
func (t Trait) String() string {
	if t.IsContent() {
		return fmt.Sprintf("content-%016x", uint64(t))
	}
	return fmt.Sprintf("part-%016x", uint64(t))
}

// Traits are the traits of one request.
type Traits struct {
	Content Trait
	// Parts are those of the prompt that other requests may have too, sorted and without duplicates.
	Parts []Trait
}

// NewTraits returns the traits of a request. parts are the IDs of the shared parts of its prompt.
func NewTraits(content Trait, parts []string) Traits {
	t := Traits{Content: content}
	for _, id := range parts {
		t.Parts = append(t.Parts, PartTrait(id))
	}
	slices.Sort(t.Parts)
	t.Parts = slices.Compact(t.Parts)
	return t
}

// has reports whether the request has a trait.
func (t Traits) has(trait Trait) bool {
	if trait.IsContent() {
		return t.Content == trait
	}
	_, found := slices.BinarySearch(t.Parts, trait)
	return found
}

// hasAll reports whether the request has all of the given traits.
func (t Traits) hasAll(set []Trait) bool {
	for _, trait := range set {
		if !t.has(trait) {
			return false
		}
	}
	return true
}
