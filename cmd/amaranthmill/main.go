// Command amaranthmill runs one entry instance, which serves callers, routes their requests
// and maintains the replica groups of its failure domain.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"amaranthmill/configurer"
	"amaranthmill/internal/identifier"
	"amaranthmill/logwriter"
	"amaranthmill/runner"

	"github.com/jessevdk/go-flags"
	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"
)

// The exit codes.
const (
	exitFailed      = 1
	exitBadSettings = 2
)

type options struct {
	Check  bool   `long:"check" description:"check the settings and exit"`
	Hosted bool   `long:"hosted" description:"run on a platform that has its own store of configuration and endpoints"`
	File   string `long:"settings" env:"AMARANTHMILL_NODE_FILE" description:"the settings file, where no argument names it"`
	Args   struct {
		Settings string `positional-arg-name:"settings.json" description:"the settings file"`
	} `positional-args:"yes"`
}

// settingsPath returns the path of the settings file. The argument takes precedence over the
// option and the environment variable.
func (o *options) settingsPath() string {
	if o.Args.Settings != "" {
		return o.Args.Settings
	}
	return o.File
}

func main() {
	var o options
	p := flags.NewParser(&o, flags.Default)
	p.ShortDescription = "an entry instance of amaranthmill"
	if _, err := p.Parse(); err != nil {
		var fe *flags.Error
		if errors.As(err, &fe) && fe.Type == flags.ErrHelp {
			return
		}
		os.Exit(exitBadSettings)
	}
	if o.settingsPath() == "" {
		fmt.Fprintln(os.Stderr, "amaranthmill: name the settings file as the argument, as in amaranthmill settings.json, or by --settings")
		os.Exit(exitBadSettings)
	}
	if o.Hosted {
		runHosted(&o)
		return
	}
	settings, err := configurer.Read(o.settingsPath())
	exitOnInvalid(&o, err)
	logger := newLogger(os.Stdout, settings.Log.Level, settings.Instance)
	exitOnFailure(logger, runner.Run(settings, logger))
}

// runHosted runs an instance on a platform. Its log lines go through a buffer, so that writing
// them never delays a request.
func runHosted(o *options) {
	reloads := make(chan os.Signal, 1)
	signal.Notify(reloads, syscall.SIGHUP) // before all else, because the signal ends a process that does not handle it
	settings, err := configurer.ReadHosted(o.settingsPath())
	exitOnInvalid(o, err)
	logs := logwriter.New(logwriter.Config{Out: os.Stdout})
	ctx, stop := context.WithCancel(context.Background())
	logsWritten := make(chan struct{})
	go func() {
		defer close(logsWritten)
		_ = logs.Run(ctx) // always returns nil
	}()
	logger := newLogger(logs, settings.Log.Level, settings.Instance)
	err = runner.RunHosted(o.settingsPath(), settings, reloads, logger)
	if err != nil {
		logger.Error().Interface("error", eris.ToJSON(err, false)).Msg("instance failed")
	}
	stop()
	<-logsWritten
	if err != nil {
		os.Exit(exitFailed)
	}
}

// exitOnInvalid exits if reading the settings failed with err, or if only a check was requested.
func exitOnInvalid(o *options, err error) {
	if err != nil {
		fmt.Fprintf(os.Stderr, "amaranthmill: settings %s:\n%v\n", o.settingsPath(), err)
		os.Exit(exitBadSettings)
	}
	if o.Check {
		fmt.Println("settings are valid")
		os.Exit(0)
	}
}

// exitOnFailure logs err and exits if err is not nil.
func exitOnFailure(logger zerolog.Logger, err error) {
	if err != nil {
		logger.Error().Interface("error", eris.ToJSON(err, false)).Msg("instance failed")
		os.Exit(exitFailed)
	}
}

// newLogger returns the logger of the instance. It sets the level called name for the whole
// process instead of the logger, so that a reload of the settings can lower or raise the level.
func newLogger(out io.Writer, name string, instance identifier.Instance) zerolog.Logger {
	zerolog.TimeFieldFormat = zerolog.TimeFormatUnixMs
	level, err := zerolog.ParseLevel(name)
	if err != nil {
		level = zerolog.InfoLevel
	}
	zerolog.SetGlobalLevel(level)
	return zerolog.New(out).With().Timestamp().Str("instance", string(instance)).Logger()
}
