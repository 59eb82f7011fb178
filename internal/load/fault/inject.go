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
	replacementTimeout = 3 * time.Second
	pidPollInterval    = 10 * time.Millisecond
)

// Injector injects the events of a plan.
type Injector struct {
	Control *control.Client
	// PIDDir contains a file "entry-N.pid" for each entry VM, maintained by the
	// script that starts them.
	PIDDir string
	Log    io.Writer
}

// Run injects every event at its time after start, until ctx is done. The result
// of a load test is invalid if a fault could not be injected, so the errors are
// returned; the other events are still injected.
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
	pid, err := i.waitPID(ctx, event.Entry)
	if err != nil {
		return err
	}
	return syscall.Kill(pid, event.Signal)
}

// PIDFile returns the path of the file with the process ID of an entry VM.
func PIDFile(dir string, entry int) string {
	return filepath.Join(dir, "entry-"+strconv.Itoa(entry)+".pid")
}

// waitPID reads the process ID and retries for replacementTimeout: the file is
// missing while an entry VM is being replaced.
func (i *Injector) waitPID(ctx context.Context, entry int) (int, error) {
	pid, err := ReadPID(i.PIDDir, entry)
	for until := time.Now().Add(replacementTimeout); err != nil; pid, err = ReadPID(i.PIDDir, entry) {
		if !time.Now().Before(until) || !wait.Until(ctx, time.Now().Add(pidPollInterval)) {
			return 0, err
		}
	}
	return pid, nil
}

// ReadPID reads the process ID of an entry VM.
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
