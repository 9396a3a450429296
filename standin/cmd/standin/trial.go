package main

import (
	"os"
	"os/signal"
	"path/filepath"
	"syscall"

	"amaranthmill/standin/trial"
)

type trialCommand struct {
	Scenario string `long:"scenario" default:"path" description:"path, or cut, doubled, freeze, outage or poison"`
	Stay     bool   `long:"stay" description:"leave everything up until Ctrl-C"`
	Keep     bool   `long:"keep" description:"keep the logs of a run that passed"`
}

// Execute runs a trial with the programs in the folder of this one.
func (c *trialCommand) Execute([]string) error {
	self, err := os.Executable()
	if err != nil {
		return err
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	stop := make(chan struct{})
	go func() {
		<-signals
		close(stop)
	}()
	return trial.Main(trial.Config{Bin: filepath.Dir(self), Scenario: c.Scenario, KeepRunning: c.Stay, KeepLogs: c.Keep, Stop: stop, Out: os.Stdout})
}
