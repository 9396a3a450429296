// Command standin-2 runs the cases of the second review: the platform, its engines and its clients as stand-ins, and the
// system's own program as separate processes.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

var cases = map[string]func(*world) []string{"retire": retire, "steal": steal, "outage": outage}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin-2 CASE FOLDER")
		os.Exit(2)
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	go func() {
		<-signals
		giveUp("interrupted")
	}()
	time.AfterFunc(118*time.Second, func() { giveUp("it takes too long") })
	w := newWorld()
	w.finish(os.Args[2], cases[os.Args[1]](w))
}
