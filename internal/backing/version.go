package backing

// NextVersion is the version of the row after a put: the expected version plus one
// for IfVersion, 1 for IfAbsent, and for Always the version given in the row (1 if
// that is zero).
func NextVersion(w Write) uint64 {
	switch {
	case w.If == IfVersion:
		return w.Version + 1
	case w.If == Always && w.Row.Version > 0:
		return w.Row.Version
	default:
		return 1
	}
}
