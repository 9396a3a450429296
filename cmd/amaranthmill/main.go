// Command amaranthmill is one entry instance: it serves callers, routes their requests
// and keeps the replica groups of its failure domain.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"

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

// path returns the settings file.
func (o *options) path() string {
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
	if o.path() == "" {
		fmt.Fprintln(os.Stderr, "amaranthmill: name the settings file as the argument, as in amaranthmill settings.json, or by --settings")
		os.Exit(exitBadSettings)
	}
	if o.Hosted {
		runHosted(&o)
		return
	}
	settings, err := configurer.Read(o.path())
	exitOnBad(&o, err)
	logger := newLogger(os.Stdout, settings.Log.Level, settings.Instance)
	exitOnFailed(logger, runner.Run(settings, logger))
}

// runHosted runs an instance on a platform. Its log lines never hold a request up.
func runHosted(o *options) {
	settings, err := configurer.ReadHosted(o.path())
	exitOnBad(o, err)
	lines := logwriter.New(logwriter.Config{Out: os.Stdout})
	ctx, stop := context.WithCancel(context.Background())
	written := make(chan struct{})
	go func() {
		defer close(written)
		_ = lines.Run(ctx) // it returns nil
	}()
	logger := newLogger(lines, settings.Log.Level, settings.Instance)
	err = runner.RunHosted(o.path(), settings, logger)
	if err != nil {
		logger.Error().Interface("error", eris.ToJSON(err, false)).Msg("instance failed")
	}
	stop()
	<-written
	if err != nil {
		os.Exit(exitFailed)
	}
}

// exitOnBad ends the process if the settings are wrong, or were only to be checked.
func exitOnBad(o *options, err error) {
	if err != nil {
		fmt.Fprintf(os.Stderr, "amaranthmill: settings %s:\n%v\n", o.path(), err)
		os.Exit(exitBadSettings)
	}
	if o.Check {
		fmt.Println("settings are valid")
		os.Exit(0)
	}
}

// exitOnFailed ends the process if the instance failed.
func exitOnFailed(logger zerolog.Logger, err error) {
	if err != nil {
		logger.Error().Interface("error", eris.ToJSON(err, false)).Msg("instance failed")
		os.Exit(exitFailed)
	}
}

// newLogger returns the instance's logger. The level of its settings is set for the whole
// process, so that a reload can lower it as well as raise it.
func newLogger(out io.Writer, name string, instance identifier.Instance) zerolog.Logger {
	zerolog.TimeFieldFormat = zerolog.TimeFormatUnixMs
	level, err := zerolog.ParseLevel(name)
	if err != nil {
		level = zerolog.InfoLevel
	}
	zerolog.SetGlobalLevel(level)
	return zerolog.New(out).With().Timestamp().Str("instance", string(instance)).Logger()
}
