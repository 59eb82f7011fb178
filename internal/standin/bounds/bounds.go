// Package bounds checks and fills in the costs of the stand-ins.
package bounds

import "github.com/vanillagate/vanillagate/internal/settings"

// Max bounds every cost and size, so that none overflows.
const Max = 1 << 30

// CheckCount wants a number from zero to Most.
func CheckCount(c *settings.Checker, field string, n int) { c.IntBetween(field, n, 0, Max) }

// CheckShare wants a share from 0 to 1.
func CheckShare(c *settings.Checker, field string, share float64) {
	if !(share >= 0 && share <= 1) {
		c.Reject(field, share, "0 to 1")
	}
}

// OrDefault replaces zero.
func OrDefault(n *int, value int) {
	if *n == 0 {
		*n = value
	}
}
