// Package jsonlist decodes lists of which single items may be odd, without losing the others.
package jsonlist

import "encoding/json"

// Decode decodes a JSON list. Items that can't be decoded are replaced by what odd returns for them, or left out if it
// returns false; odd gets the item and the error. The error returned means that the data is no list.
func Decode[T any](data []byte, odd func(item json.RawMessage, err error) (T, bool)) ([]T, error) {
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
