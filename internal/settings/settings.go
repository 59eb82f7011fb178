// Package settings validates the settings of a program and reports all invalid
// ones at once, each with its flag, its value and the allowed values.
package settings

import (
	"fmt"
	"net/netip"
	"strings"
	"time"
)

// Mistake is one invalid setting.
type Mistake struct {
	Flag    string
	Value   string
	Allowed string
}

// Error lists all mistakes that a Checker found.
type Error struct{ Mistakes []Mistake }

// Error implements error. It names all mistakes in one line.
func (e *Error) Error() string {
	lines := make([]string, 0, len(e.Mistakes))
	for _, m := range e.Mistakes {
		lines = append(lines, fmt.Sprintf("--%s=%q: must be %s", m.Flag, m.Value, m.Allowed))
	}
	return "settings: " + strings.Join(lines, "; ")
}

// Checker collects mistakes. The zero value is ready for use.
type Checker struct{ mistakes []Mistake }

// Reject records that the value of a flag is invalid.
func (c *Checker) Reject(flag string, value any, allowed string) {
	c.mistakes = append(c.mistakes, Mistake{Flag: flag, Value: fmt.Sprint(value), Allowed: allowed})
}

// Err returns an *Error with all mistakes, or nil if there are none.
func (c *Checker) Err() error {
	if len(c.mistakes) == 0 {
		return nil
	}
	return &Error{Mistakes: c.mistakes}
}

// NotEmpty requires a text that is not empty.
func (c *Checker) NotEmpty(flag, value string) {
	if value == "" {
		c.Reject(flag, value, "a non-empty text")
	}
}

// Address requires IP:port.
func (c *Checker) Address(flag, value string) {
	if _, err := netip.ParseAddrPort(value); err != nil {
		c.Reject(flag, value, "IP:port, such as 127.0.0.1:8080")
	}
}

// URL requires a URL that starts with http:// or https://.
func (c *Checker) URL(flag, value string) {
	rest, found := strings.CutPrefix(value, "http://")
	if !found {
		rest, found = strings.CutPrefix(value, "https://")
	}
	if !found || rest == "" {
		c.Reject(flag, value, "a URL that starts with http:// or https://")
	}
}

// Between requires a duration from low to high, inclusive.
func (c *Checker) Between(flag string, value, low, high time.Duration) {
	if value < low || value > high {
		c.Reject(flag, value, fmt.Sprintf("%s to %s", low, high))
	}
}

// IntBetween requires a number from low to high, inclusive.
func (c *Checker) IntBetween(flag string, value, low, high int) {
	if value < low || value > high {
		c.Reject(flag, value, fmt.Sprintf("%d to %d", low, high))
	}
}

// OneOf requires one of the allowed texts.
func (c *Checker) OneOf(flag, value string, allowed ...string) {
	for _, a := range allowed {
		if value == a {
			return
		}
	}
	c.Reject(flag, value, "one of "+strings.Join(allowed, ", "))
}
