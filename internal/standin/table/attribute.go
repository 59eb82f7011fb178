// Package table emulates the platform's transactional table service: a subset
// of the DynamoDB JSON 1.0 protocol on one table.
package table

import (
	"bytes"
	"cmp"
	"encoding/json"
	"math/big"
)

// Attribute is an attribute value of type string, number or binary. A value of
// another type is stored unchanged and can't be compared.
type Attribute struct {
	S *string `json:"S,omitempty"`
	N *string `json:"N,omitempty"`
	B []byte  `json:"B,omitempty"`

	other json.RawMessage
}

// plainAttribute has no MarshalJSON and UnmarshalJSON, which avoids recursion.
type plainAttribute Attribute

// UnmarshalJSON decodes the protocol's JSON form.
func (a *Attribute) UnmarshalJSON(raw []byte) error {
	if err := json.Unmarshal(raw, (*plainAttribute)(a)); err != nil {
		return err
	}
	if a.S == nil && a.N == nil && a.B == nil {
		a.other = bytes.Clone(raw)
	}
	return nil
}

// MarshalJSON encodes the protocol's JSON form.
func (a Attribute) MarshalJSON() ([]byte, error) {
	if a.other != nil {
		return a.other, nil
	}
	return json.Marshal(plainAttribute(a))
}

// compare returns the order of a and b, and false if their types differ or have
// no order.
func (a Attribute) compare(b Attribute) (int, bool) {
	switch {
	case a.S != nil && b.S != nil:
		return cmp.Compare(*a.S, *b.S), true
	case a.N != nil && b.N != nil:
		return compareNumbers(*a.N, *b.N)
	case a.B != nil && b.B != nil:
		return bytes.Compare(a.B, b.B), true
	}
	return 0, false
}

func compareNumbers(a, b string) (int, bool) {
	x, okX := new(big.Rat).SetString(a)
	y, okY := new(big.Rat).SetString(b)
	if !okX || !okY {
		return 0, false
	}
	return x.Cmp(y), true
}

// Item is a row: its attributes by name.
type Item map[string]Attribute

// Names of the key attributes.
const (
	attributePartition = "pk"
	attributeSort      = "sk"
)

// key is the primary key of a row.
type key struct{ partition, sort string }

// keyOf returns the primary key of an item, and false if a key attribute is
// missing, empty or not a string.
func keyOf(i Item) (key, bool) {
	p, s := i[attributePartition].S, i[attributeSort].S
	if p == nil || s == nil || *p == "" || *s == "" {
		return key{}, false
	}
	return key{partition: *p, sort: *s}, true
}

// size approximates the item size that the real service computes: the bytes of
// names and values.
func (i Item) size() int {
	total := 0
	for name, a := range i {
		total += len(name) + len(a.B) + len(a.other)
		if a.S != nil {
			total += len(*a.S)
		}
		if a.N != nil {
			total += len(*a.N)
		}
	}
	return total
}
