package table

import "slices"

// rows stores the items of the table, and the sort keys of each partition in
// ascending order.
type rows struct {
	items    map[key]Item
	sortKeys map[string][]string
}

func newRows() rows {
	return rows{items: map[key]Item{}, sortKeys: map[string][]string{}}
}

func (r rows) put(k key, i Item) {
	if _, found := r.items[k]; !found {
		sortKeys := r.sortKeys[k.partition]
		at, _ := slices.BinarySearch(sortKeys, k.sort)
		r.sortKeys[k.partition] = slices.Insert(sortKeys, at, k.sort)
	}
	r.items[k] = i
}

func (r rows) remove(k key) {
	if _, found := r.items[k]; !found {
		return
	}
	delete(r.items, k)
	sortKeys := r.sortKeys[k.partition]
	at, _ := slices.BinarySearch(sortKeys, k.sort)
	r.sortKeys[k.partition] = slices.Delete(sortKeys, at, at+1)
	if len(r.sortKeys[k.partition]) == 0 {
		delete(r.sortKeys, k.partition)
	}
}

// page returns the rows of a range in ascending order, starting after the sort
// key after, until the limit or the maximum page size is reached. last is the key
// after which the next page starts, or nil at the end of the range.
func (r rows) page(where keyRange, after string, limit int) (found []Item, last *key) {
	sortKeys := r.sortKeys[where.partition]
	at, _ := slices.BinarySearch(sortKeys, max(where.start, after))
	size := 0
	for _, s := range sortKeys[at:] {
		k := key{partition: where.partition, sort: s}
		item := r.items[k]
		if s == after || s == where.start && !where.sortCondition.holds(item) {
			continue
		}
		if !where.sortCondition.holds(item) {
			return found, nil
		}
		found = append(found, item)
		size += item.size()
		if len(found) == limit || size >= maxPageBytes {
			return found, &k
		}
	}
	return found, nil
}
