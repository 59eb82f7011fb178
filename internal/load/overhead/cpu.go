package overhead

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

// clockTick is the unit of CPU times in /proc/PID/stat on Linux (USER_HZ is 100).
const clockTick = 10 * time.Millisecond

// Indexes of fields in /proc/PID/stat, counted from 0 after the command name.
const (
	fieldUser   = 11
	fieldSystem = 12
)

// CPUTime returns the user and system CPU time that a process has used.
func CPUTime(pid int) (time.Duration, error) {
	raw, err := os.ReadFile("/proc/" + strconv.Itoa(pid) + "/stat")
	if err != nil {
		return 0, err
	}
	return parseStat(string(raw))
}

// parseStat returns the CPU time in the text of /proc/PID/stat. It skips the
// command name, which may contain spaces and parentheses.
func parseStat(text string) (time.Duration, error) {
	fields := strings.Fields(text[strings.LastIndex(text, ")")+1:])
	if len(fields) <= fieldSystem {
		return 0, fmt.Errorf("overhead: too few fields in /proc/PID/stat: %d", len(fields))
	}
	var ticks int64
	for _, field := range []int{fieldUser, fieldSystem} {
		count, err := strconv.ParseInt(fields[field], 10, 64)
		if err != nil {
			return 0, err
		}
		ticks += count
	}
	return time.Duration(ticks) * clockTick, nil
}
