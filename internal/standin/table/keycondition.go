package table

import "errors"

// keyRange is a parsed key condition: a partition and a range of its sort keys.
type keyRange struct {
	partition string
	// start is the sort key at which to start reading. The row there may lie outside
	// the range, as with "sk > :s".
	start string
	// sortCondition holds for the rows of the range, which are contiguous in sort
	// order.
	sortCondition condition
}

var (
	errNoPartition          = errors.New("query condition missed key schema element: pk")
	errUnsupportedCondition = errors.New("query key condition not supported")
	errDuplicateCondition   = errors.New("KeyConditionExpressions must only contain one condition per key")
)

// keyRangeOf accepts "pk = :p", alone or with one condition on the sort key.
func keyRangeOf(c condition) (keyRange, error) {
	parts := []condition{c}
	if b, ok := c.(andCondition); ok {
		parts = []condition{b.left, b.right}
	}
	r := keyRange{sortCondition: alwaysTrue{}}
	hasSortCondition := false
	for _, part := range parts {
		if partition, ok := partitionOf(part); ok && r.partition == "" {
			r.partition = partition
			continue
		}
		if hasSortCondition {
			return keyRange{}, errDuplicateCondition
		}
		start, err := rangeStart(part)
		if err != nil {
			return keyRange{}, err
		}
		r.start, r.sortCondition, hasSortCondition = start, part, true
	}
	if r.partition == "" {
		return keyRange{}, errNoPartition
	}
	return r, nil
}

// partitionOf returns the partition that "pk = :p" selects, and false for any
// other condition.
func partitionOf(c condition) (string, bool) {
	e, ok := c.(comparison)
	if !ok || e.name != attributePartition || e.operator != "=" || e.value.S == nil {
		return "", false
	}
	return *e.value.S, true
}

// rangeStart returns the sort key at which to start reading the rows that meet a
// condition on the sort key.
func rangeStart(c condition) (string, error) {
	switch c := c.(type) {
	case comparison:
		if c.name != attributeSort || c.value.S == nil || c.operator == "<>" {
			return "", errUnsupportedCondition
		}
		if c.operator == "<" || c.operator == "<=" {
			return "", nil
		}
		return *c.value.S, nil
	case prefixMatch:
		if c.name != attributeSort || c.value.S == nil {
			return "", errUnsupportedCondition
		}
		return *c.value.S, nil
	}
	return "", errUnsupportedCondition
}
