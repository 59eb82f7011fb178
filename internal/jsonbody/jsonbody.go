// Package jsonbody finds JSON bodies that encoding/json takes quietly though
// their sender must have meant something else.
package jsonbody

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"unicode/utf8"
)

// ErrNotUTF8 means that a body has bytes that are no text. encoding/json would
// put a replacement character in their place.
var ErrNotUTF8 = errors.New("the body is not valid UTF-8")

// DuplicateKeyError means that an object has a key twice. encoding/json would
// take the last value, where another reader takes the first.
type DuplicateKeyError struct{ Key string }

// Error describes the failure.
func (e *DuplicateKeyError) Error() string { return fmt.Sprintf("the key %q stands twice", e.Key) }

// Check gives ErrNotUTF8, a *DuplicateKeyError, or the error of a body that is no
// JSON. Text after the first value is left to the caller.
func Check(body []byte) error {
	if !utf8.Valid(body) {
		return ErrNotUTF8
	}
	return value(json.NewDecoder(bytes.NewReader(body)))
}

// value reads one value and all in it.
func value(d *json.Decoder) error {
	token, err := d.Token()
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	if err != nil {
		return err
	}
	switch token {
	case json.Delim('{'):
		return object(d)
	case json.Delim('['):
		return array(d)
	}
	return nil
}

func object(d *json.Decoder) error {
	seen := map[string]bool{}
	for d.More() {
		token, err := d.Token()
		if err != nil {
			return err
		}
		key, isText := token.(string)
		if !isText {
			return fmt.Errorf("%v stands in place of a key", token)
		}
		if seen[key] {
			return &DuplicateKeyError{Key: key}
		}
		seen[key] = true
		if err := value(d); err != nil {
			return err
		}
	}
	_, err := d.Token() // the closing brace
	return err
}

func array(d *json.Decoder) error {
	for d.More() {
		if err := value(d); err != nil {
			return err
		}
	}
	_, err := d.Token() // the closing bracket
	return err
}
