package entry

import (
	"net/url"
	"strings"

	"github.com/vanillagate/vanillagate/internal/config"
)

// matchRoute finds the route with the longest matching prefix. A route without
// a method matches every method.
func matchRoute(service config.Service, method, path string) (config.Route, bool) {
	var best config.Route
	found := false
	for _, r := range service.Routes {
		if r.Method != "" && !strings.EqualFold(r.Method, method) {
			continue
		}
		if strings.HasPrefix(path, r.PathPrefix) && (!found || moreSpecific(r, best)) {
			best, found = r, true
		}
	}
	return best, found
}

// moreSpecific reports whether route a takes precedence over route b if both
// match. Between equally specific routes the non-idempotent one wins: otherwise
// the order in which an operator listed them could decide that a booking may be
// sent twice.
func moreSpecific(a, b config.Route) bool {
	if len(a.PathPrefix) != len(b.PathPrefix) {
		return len(a.PathPrefix) > len(b.PathPrefix)
	}
	if (a.Method == "") != (b.Method == "") {
		return b.Method == ""
	}
	return a.NonIdempotent && !b.NonIdempotent
}

// escapePath escapes a path so that the target decodes exactly the path that
// was matched. If the decoded path were sent as it is, the target would decode
// it once more: "/look/%2e%2e/once/hall", matched as the retryable route
// "look", would arrive as "/once/hall", which must not be retried.
func escapePath(path string) string {
	return (&url.URL{Path: path}).EscapedPath()
}
