// Package jsonlist decodes lists of which single items may be odd, without losing the others.
package jsonlist

import (
	"encoding/json"
	"errors"
)

// ErrTooLong means that a list has too many items.
var ErrTooLong = errors.New("list has too many items")

// Decode decodes a JSON list of at most maxItems. Items that can't be decoded are replaced by what odd returns for them, or
// left out if it returns false; odd gets the item and the error. The error returned is ErrTooLong, or means that the data
// is no list. A list that is too long is rejected before its items take memory, which can be many times their size as
// text.
func Decode[T any](data []byte, maxItems int, odd func(item json.RawMessage, err error) (T, bool)) ([]T, error) {
	if hasMore(data, maxItems) {
		return nil, ErrTooLong
	}
	var list []T
	if json.Unmarshal(data, &list) == nil {
		return list, nil
	}
	var items []json.RawMessage
	if err := json.Unmarshal(data, &items); err != nil {
		return nil, err
	}
	list = make([]T, 0, len(items))
	for _, data := range items {
		var item T
		if err := json.Unmarshal(data, &item); err != nil {
			replacement, found := odd(data, err)
			if !found {
				continue
			}
			item = replacement
		}
		list = append(list, item)
	}
	return list, nil
}

// hasMore reports whether a list has more than maxItems items. The result for data that isn't valid JSON has no meaning.
func hasMore(data []byte, maxItems int) bool {
	separators, depth := 0, 0
	for i := 0; i < len(data); i++ {
		switch data[i] {
		case '"':
			for i++; i < len(data) && data[i] != '"'; i++ {
				if data[i] == '\\' {
					i++
				}
			}
		case '[', '{':
			depth++
		case ']', '}':
			depth--
		case ',':
			if depth == 1 {
				separators++
			}
		}
	}
	return separators >= max(maxItems, 1)
}
