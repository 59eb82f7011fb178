// Package bounds validates the cost settings of the stand-ins and fills in their
// defaults.
package bounds

import "github.com/vanillagate/vanillagate/internal/settings"

// Max is the upper limit of every cost and size. It keeps computations with them
// from overflowing.
const Max = 1 << 30

// CheckCount rejects a number that is not from 0 to Max.
func CheckCount(c *settings.Checker, field string, n int) { c.IntBetween(field, n, 0, Max) }

// CheckShare rejects a share that is not from 0 to 1.
func CheckShare(c *settings.Checker, field string, share float64) {
	if !(share >= 0 && share <= 1) {
		c.Reject(field, share, "0 to 1")
	}
}

// OrDefault replaces zero by a default value.
func OrDefault(n *int, value int) {
	if *n == 0 {
		*n = value
	}
}
