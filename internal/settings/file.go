package settings

import (
	"bytes"
	"context"
	"os"
	"sync"
	"time"

	"go.uber.org/zap"
)

// RereadPeriod is how often a file is read without a signal, since its writer may
// not send one. Reading 2 KB takes about 0.1 ms.
const RereadPeriod = 2 * time.Second

// LogReloads is for programs whose settings are flags and environment variables,
// which can't change while they run. At each reload signal it logs that a restart
// is needed.
func LogReloads(ctx context.Context, log *zap.Logger, reload <-chan os.Signal) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-reload:
			log.Info("Asked to reread the settings; changes take effect at the next start.")
		}
	}
}

// File is a settings file that may change while the process runs.
type File struct {
	Log  *zap.Logger
	Path string
	// Applied is the content of the file when it was last applied. It is set before the first use.
	Applied []byte
	// Apply applies a changed file. If it returns an error, the previous settings
	// stay in force. Calls don't overlap.
	Apply func(raw []byte) error

	mu sync.Mutex // guards Applied; held while Apply runs
}

// Watch rereads the file at each signal and every RereadPeriod, until the context
// ends.
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

// Reread applies the file if it has changed. An invalid file is ignored, since it
// may be only partly written. It may be called beside Watch.
func (f *File) Reread() {
	f.mu.Lock()
	defer f.mu.Unlock()
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
