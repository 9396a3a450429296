// Command standin plays the cases of the review that need a script: it starts the processes of the deploy file beside
// stand-ins of the platform, the engines and the clients, and checks one rule.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

var cases = map[string]func(*world) (bool, error){"drill": runDrill, "entry": runEntry, "leave": runLeave, "recover": runRecover}

// Exit codes.
const (
	exitHeld     = 0
	exitBroken   = 1
	exitUnplayed = 2
)

func main() {
	name := flag.String("case", "", "name of the case")
	root := flag.String("root", ".", "root of the repository")
	recordPath := flag.String("record", "record.txt", "file for what was sent, answered and run")
	flag.Parse()
	play, ok := cases[*name]
	if !ok {
		fmt.Fprintln(os.Stderr, "there is no case", *name)
		os.Exit(exitUnplayed)
	}
	w, err := newWorld(*root, *recordPath, os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitUnplayed)
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-signals
		w.endProcesses()
		os.Exit(exitUnplayed)
	}()
	held, err := play(w)
	w.end()
	switch {
	case err != nil:
		w.rec.say("the case could not be played: %v", err)
		os.Exit(exitUnplayed)
	case !held:
		w.rec.say("the rule was broken")
		os.Exit(exitBroken)
	}
	w.rec.say("the rule held")
	os.Exit(exitHeld)
}
