// Package jsonbody detects errors in JSON bodies that encoding/json silently
// accepts: invalid UTF-8 and duplicate keys.
package jsonbody

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"unicode/utf8"
)

// ErrNotUTF8 means that a body is not valid UTF-8. encoding/json would substitute
// replacement characters.
var ErrNotUTF8 = errors.New("the body is not valid UTF-8")

// DuplicateKeyError means that an object has the same key twice. encoding/json uses
// the last value, other parsers may use the first.
type DuplicateKeyError struct{ Key string }

// Error implements error.
func (e *DuplicateKeyError) Error() string { return fmt.Sprintf("the key %q stands twice", e.Key) }

// Check returns ErrNotUTF8, a *DuplicateKeyError, or a syntax error. It does not
// check text after the first value.
func Check(body []byte) error {
	if !utf8.Valid(body) {
		return ErrNotUTF8
	}
	return checkValue(json.NewDecoder(bytes.NewReader(body)))
}

// checkValue checks the next value with everything nested in it.
func checkValue(d *json.Decoder) error {
	token, err := d.Token()
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	if err != nil {
		return err
	}
	switch token {
	case json.Delim('{'):
		return checkObject(d)
	case json.Delim('['):
		return checkArray(d)
	}
	return nil
}

func checkObject(d *json.Decoder) error {
	seen := map[string]bool{}
	for d.More() {
		token, err := d.Token()
		if err != nil {
			return err
		}
		key, isString := token.(string)
		if !isString {
			return fmt.Errorf("%v stands in place of a key", token)
		}
		if seen[key] {
			return &DuplicateKeyError{Key: key}
		}
		seen[key] = true
		if err := checkValue(d); err != nil {
			return err
		}
	}
	_, err := d.Token() // the closing brace
	return err
}

func checkArray(d *json.Decoder) error {
	for d.More() {
		if err := checkValue(d); err != nil {
			return err
		}
	}
	_, err := d.Token() // the closing bracket
	return err
}
