// Command world2 runs the cases 6 to 10 of the review. It stands in for the clients, the backends, discovery and the platform, and
// starts relays as separate processes with the command of the deploy file.
//
// The exit code is 0 if the rule of the case held, 1 if it was broken, and 2 if the case could not run.
package main

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// maxRunTime ends a case that takes longer.
const maxRunTime = 115 * time.Second

// errRuleBroken is returned by a case in which the rule was broken.
var errRuleBroken = errors.New("the rule was broken")

// cases are the cases by name.
var cases = map[string]func(w *world) error{}

func main() {
	name := flag.String("case", "", "name of the case")
	root := flag.String("root", ".", "root of the repository")
	run := flag.String("run", "exec bin/aspenbarrow", "command that starts a relay, from the deploy file")
	record := flag.String("record", "record.txt", "file for what was sent, answered and run")
	trouble := flag.Bool("trouble", true, "cause the disruption")
	flag.Parse()
	os.Exit(runCase(*name, *root, *run, *record, *trouble))
}

func runCase(name, root, run, record string, trouble bool) int {
	play := cases[name]
	if play == nil {
		fmt.Fprintf(os.Stderr, "unknown case %q\n", name)
		return exitNotRun
	}
	w, err := newWorld(root, run, record, trouble)
	if err != nil {
		fmt.Fprintln(os.Stderr, "world2:", err)
		return exitNotRun
	}
	defer w.close()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGTERM, os.Interrupt)
	result := make(chan error, 1)
	go func() { result <- play(w) }()
	select {
	case err = <-result:
	case s := <-interrupted:
		err = fmt.Errorf("ended by %v", s)
	case <-time.After(maxRunTime):
		err = fmt.Errorf("not finished after %v", maxRunTime)
	}
	switch {
	case err == nil:
		w.logf("result    the rule held")
		return exitHeld
	case errors.Is(err, errRuleBroken):
		w.logf("result    %v", err)
		return exitBroken
	}
	w.logf("result    the case could not run: %v", err)
	return exitNotRun
}
