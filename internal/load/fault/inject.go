package fault

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/vanillagate/vanillagate/internal/load/control"
	"github.com/vanillagate/vanillagate/internal/wait"
)

const (
	replacedWithin = 3 * time.Second
	lookAgain      = 10 * time.Millisecond
)

// Injector makes events happen.
type Injector struct {
	Control *control.Client
	// PIDDir holds a file "entry-N.pid" for each entry VM, which the script
	// that starts them keeps up to date.
	PIDDir string
	Log    io.Writer
}

// Run makes every event happen at its time after start, until ctx ends. A
// fault that could not be injected makes the whole run worthless, so its error
// is returned; the other events still happen.
func (i *Injector) Run(ctx context.Context, start time.Time, events []Event) error {
	var failed []error
	for _, event := range events {
		if !wait.Until(ctx, start.Add(event.At)) {
			break
		}
		if err := i.inject(ctx, event); err != nil {
			failed = append(failed, fmt.Errorf("fault: %s: %w", event, err))
			continue
		}
		fmt.Fprintln(i.Log, "fault:", event)
	}
	return errors.Join(failed...)
}

func (i *Injector) inject(ctx context.Context, event Event) error {
	if event.Request != nil {
		return i.Control.SetFault(*event.Request)
	}
	pid, err := i.pid(ctx, event.Entry)
	if err != nil {
		return err
	}
	return syscall.Kill(pid, event.Signal)
}

// PIDFile is where the process id of an entry VM is found.
func PIDFile(dir string, entry int) string {
	return filepath.Join(dir, "entry-"+strconv.Itoa(entry)+".pid")
}

// pid waits while an entry VM is being replaced: its file is gone then.
func (i *Injector) pid(ctx context.Context, entry int) (int, error) {
	pid, err := ReadPID(i.PIDDir, entry)
	for until := time.Now().Add(replacedWithin); err != nil; pid, err = ReadPID(i.PIDDir, entry) {
		if !time.Now().Before(until) || !wait.Until(ctx, time.Now().Add(lookAgain)) {
			return 0, err
		}
	}
	return pid, nil
}

// ReadPID is the process id of an entry VM.
func ReadPID(dir string, entry int) (int, error) {
	raw, err := os.ReadFile(PIDFile(dir, entry))
	if err != nil {
		return 0, err
	}
	pid, err := strconv.Atoi(strings.TrimSpace(string(raw)))
	if err != nil {
		return 0, err
	}
	if pid <= 1 {
		return 0, fmt.Errorf("process id %d can't be an entry VM's", pid)
	}
	return pid, nil
}
