package table

import (
	"testing"

	"gotest.tools/v3/assert"
)

func str(s string) Attribute { return Attribute{S: &s} }
func num(s string) Attribute { return Attribute{N: &s} }

func TestConditions(t *testing.T) {
	existing := Item{"pk": str("p"), "sk": str("s"), "ver": num("10")}
	for _, c := range []struct {
		expression string
		value      *Attribute
		item       Item
		want       bool
	}{
		{"", nil, nil, true},
		{"attribute_not_exists(pk)", nil, nil, true},
		{"attribute_not_exists(pk)", nil, existing, false},
		{"attribute_exists(pk)", nil, existing, true},
		{"ver = :v", ptr(num("10.0")), existing, true},
		{"ver = :v", ptr(str("10")), existing, false},
		{"ver = :v", ptr(num("10")), nil, false},
		{"ver > :v", ptr(num("9")), existing, true},
		{"NOT ver > :v", ptr(num("9")), existing, false},
		{"attribute_not_exists(pk) OR (ver = :v AND sk <> :v)", ptr(num("10")), existing, true},
		{"begins_with(sk, :v)", ptr(str("s")), existing, true},
	} {
		known := placeholders{values: map[string]Attribute{}}
		if c.value != nil {
			known.values[":v"] = *c.value
		}
		parsed, err := parse(c.expression, known)
		assert.NilError(t, err, c.expression)
		assert.Equal(t, parsed.holds(c.item), c.want, "%s", c.expression)
	}
}

func ptr[T any](v T) *T { return &v }

func TestWrongExpressionsAreRefused(t *testing.T) {
	known := placeholders{values: map[string]Attribute{":v": str("x")}}
	for _, expression := range []string{"ver", "ver = :w", "ver = 3", "ver = :v AND", "(ver = :v", "ver = :v)", "#n = :v", "", "pk = :v sk"} {
		_, err := parse(expression, known)
		assert.Assert(t, err != nil, "%q", expression)
	}
}

func TestKeyConditions(t *testing.T) {
	known := placeholders{values: map[string]Attribute{":p": str("p"), ":a": str("a")}}
	for expression, problem := range map[string]string{
		"pk = :p AND sk > :a":            "",
		"sk > :a AND pk = :p":            "",
		"pk = :p AND begins_with(sk,:a)": "",
		"sk = :p AND sk > :a":            "one condition per key",
		"pk = :p AND ver > :a":           "not supported",
		"pk > :p AND sk > :a":            "not supported",
		"pk = :p OR sk > :a":             "not supported",
	} {
		parsed, err := parse(expression, known)
		assert.NilError(t, err, expression)
		_, err = keyRangeOf(parsed)
		if problem == "" {
			assert.NilError(t, err, expression)
			continue
		}
		assert.ErrorContains(t, err, problem, expression)
	}
}
