// Package logging builds the structured loggers of all programs. Each component of
// a program logs with a fixed prefix.
package logging

import (
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// New returns a logger that writes JSON lines to standard error at the given
// level: "debug", "info", "warn" or "error". It blocks while the output is blocked;
// servers use NewBounded instead.
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

// WithComponent returns a logger that prefixes its messages with the name of a
// component and ": ".
func WithComponent(log *zap.Logger, component string) *zap.Logger {
	return log.WithOptions(zap.WrapCore(func(core zapcore.Core) zapcore.Core {
		return prefixCore{Core: core, prefix: component + ": "}
	}))
}

// RequestID returns the log field with the ID of a request.
func RequestID(id string) zap.Field { return zap.String("request", id) }

type prefixCore struct {
	zapcore.Core
	prefix string
}

func (p prefixCore) With(fields []zapcore.Field) zapcore.Core {
	return prefixCore{Core: p.Core.With(fields), prefix: p.prefix}
}

// Check delegates to the wrapped core, so that a sampler there also applies to the
// prefixed messages.
func (p prefixCore) Check(entry zapcore.Entry, checked *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	if !p.Enabled(entry.Level) {
		return checked
	}
	entry.Message = p.prefix + entry.Message
	return p.Core.Check(entry, checked)
}
