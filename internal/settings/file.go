package settings

import (
	"bytes"
	"context"
	"os"
	"time"

	"go.uber.org/zap"
)

// RereadPeriod is how often a file is read without a signal: whoever writes it
// may do so without a word. Reading 2 KB takes some 0.1 ms.
const RereadPeriod = 2 * time.Second

// LogReloads serves programs whose settings are flags and environment variables,
// which can't change while they run. Whoever asks one to read them again finds
// in its log that they hold until its next start.
func LogReloads(ctx context.Context, log *zap.Logger, reload <-chan os.Signal) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-reload:
			log.Info("Asked to reread the settings; they hold until the next start.")
		}
	}
}

// File is a file of settings that may change while the process runs.
type File struct {
	Log  *zap.Logger
	Path string
	// Applied is what the file had when it was last taken over.
	Applied []byte
	// Apply takes over a changed file. Where it can't, what was in force stays.
	Apply func(raw []byte) error
}

// Watch rereads the file at each signal, and now and then without one, until
// the context ends.
func (f *File) Watch(ctx context.Context, reload <-chan os.Signal) {
	ticker := time.NewTicker(RereadPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-reload:
			f.Log.Info("Asked to reread the settings.")
		case <-ticker.C:
		}
		f.Reread()
	}
}

// Reread takes the file over if it has changed. One that can't be used changes
// nothing: it may be half written.
func (f *File) Reread() {
	raw, err := os.ReadFile(f.Path)
	if err != nil {
		f.Log.Warn("Settings can't be read; the old ones stay.", zap.Error(err))
		return
	}
	if bytes.Equal(raw, f.Applied) {
		return
	}
	if err := f.Apply(raw); err != nil {
		f.Log.Warn("Settings can't be used; the old ones stay.", zap.Error(err))
		return
	}
	f.Applied = raw
}
