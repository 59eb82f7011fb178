// Package logging builds the structured logger that all programs share. Each
// part of a program logs under a fixed prefix.
package logging

import (
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// New logs JSON lines to standard error at the given level: "debug", "info",
// "warn" or "error". It waits for who reads them; what serves others uses
// NewBounded.
func New(level string) (*zap.Logger, error) {
	parsed, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, err
	}
	cfg := zap.NewProductionConfig()
	cfg.Level = zap.NewAtomicLevelAt(parsed)
	cfg.Sampling = nil
	cfg.DisableStacktrace = true
	cfg.EncoderConfig.EncodeTime = zapcore.ISO8601TimeEncoder
	cfg.OutputPaths = []string{"stderr"}
	return cfg.Build()
}

// WithComponent is the logger of one part: its messages carry the prefix "part: ".
func WithComponent(log *zap.Logger, part string) *zap.Logger {
	return log.WithOptions(zap.WrapCore(func(core zapcore.Core) zapcore.Core {
		return prefixed{Core: core, prefix: part + ": "}
	}))
}

// RequestID is the field that carries a request's identity.
func RequestID(id string) zap.Field { return zap.String("request", id) }

type prefixed struct {
	zapcore.Core
	prefix string
}

func (p prefixed) With(fields []zapcore.Field) zapcore.Core {
	return prefixed{Core: p.Core.With(fields), prefix: p.prefix}
}

// Check asks the core below, so that what it leaves out, as a sampler does, is
// left out of the part's lines too.
func (p prefixed) Check(entry zapcore.Entry, checked *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	if !p.Enabled(entry.Level) {
		return checked
	}
	entry.Message = p.prefix + entry.Message
	return p.Core.Check(entry, checked)
}
