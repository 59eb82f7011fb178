package backing

// NextVersion is the version that a put gives its row: one more than the one
// expected by IfVersion, 1 for a new row, and for Always the version that the
// writer names (1 where it names none).
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
