// Command stand plays the cases of the review that are scripts. It runs the programs of
// the deploy file as separate processes on loopback addresses, with stand-ins for the
// platform's store, the engines and the callers.
//
// Exit codes: 0 if the rule held, 1 if it was broken, 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// The exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// maxTime is the longest time that a case may take.
const maxTime = 110 * time.Second

// verdict says how the rule was broken, or is empty if it held.
type verdict string

var cases = map[string]func(w *world, trouble bool) (verdict, error){
	"refused-large": playRefusedLarge,
	"resumed-twice": playResumedTwice,
	"shared-part":   playSharedPart,
	"relayed-entry": playRelayedEntry,
	"silent-engine": playSilentEngine,
}

func main() { os.Exit(run(os.Args[1:], os.Getenv("TROUBLE") != "0")) }

func run(args []string, trouble bool) int {
	if len(args) != 2 || cases[args[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand CASE RECORD")
		return exitNotRun
	}
	w, err := newWorld(args[1])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer w.close()
	ended := make(chan os.Signal, 1)
	signal.Notify(ended, os.Interrupt, syscall.SIGTERM)
	type outcome struct {
		verdict verdict
		err     error
	}
	done := make(chan outcome, 1)
	w.logf("case %s, trouble %v", args[0], trouble)
	go func() {
		v, err := cases[args[0]](w, trouble)
		done <- outcome{
			verdict: v,
			err:     err,
		}
	}()
	var o outcome
	select {
	case o = <-done:
	case s := <-ended:
		o.err = fmt.Errorf("ended by %s", s)
	case <-time.After(maxTime):
		o.err = errNotInTime
	}
	for _, n := range w.nodes {
		if n.hasEnded() {
			w.logf("process %s has ended by itself", n.name)
		}
	}
	switch {
	case o.err != nil:
		w.logf("not run: %v", o.err)
		fmt.Println("not run:", o.err)
		return exitNotRun
	case o.verdict != "":
		w.logf("BROKEN: %s", o.verdict)
		fmt.Println("broken:", o.verdict)
		return exitBroken
	}
	w.logf("held")
	fmt.Println("held")
	return exitHeld
}
