// Package buildinfo holds the version that all programs report.
package buildinfo

// Version is the semantic version of the release.
const Version = "0.1.0"
