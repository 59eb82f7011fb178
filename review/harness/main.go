// Command harness runs one case of the review: it starts a small deployment on loopback addresses, brings the
// disruption about, and writes what was sent, answered and run to record.txt in the case's folder.
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"strconv"
	"syscall"
	"time"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// caseFunc runs a case and returns how often the rule was broken. trouble is false for the run without the
// disruption.
type caseFunc func(r *record, folder string, trouble bool) (broken int, err error)

// cases holds the cases by name. Each file of a case adds its own.
var cases = map[string]caseFunc{}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: harness CASE FOLDER")
		os.Exit(exitNotRun)
	}
	go endOnSignal()
	os.Exit(run(cases[os.Args[1]], os.Args[2]))
}

// timeLimit is how long a case may run.
const timeLimit = 118 * time.Second

// endOnSignal ends the program and all processes that it started at a signal or after the time limit.
func endOnSignal() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM, syscall.SIGHUP)
	select {
	case <-signals:
	case <-time.After(timeLimit):
	}
	killChildren()
	os.Exit(exitNotRun)
}

func run(c caseFunc, folder string) int {
	scratch, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	if os.Getenv("KEEP_LOGS") == "" {
		defer func() { _ = os.RemoveAll(scratch) }()
	}
	r, err := newRecord(folder)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	trouble := os.Getenv("TROUBLE") != "0"
	r.line("trouble: %v", trouble)
	broken, err := c(r, scratch, trouble)
	if err != nil {
		r.line("the case couldn't run: %v", err)
		_ = r.close()
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	r.line("rule broken: %d times", broken)
	if err := r.close(); err != nil {
		return exitNotRun
	}
	if broken > 0 {
		return exitBroken
	}
	return exitHeld
}

func itoa(n int) string { return strconv.Itoa(n) }
