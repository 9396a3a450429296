// Command amaranthmill is one entry instance: it serves callers, routes their requests
// and keeps the replica groups of its failure domain.
package main

import (
	"errors"
	"fmt"
	"os"

	"amaranthmill/configurer"
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
	Check bool `long:"check" description:"check the settings and exit"`
	Args  struct {
		Settings string `positional-arg-name:"settings.json" description:"the settings file"`
	} `positional-args:"yes" required:"yes"`
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
	settings, err := configurer.Read(o.Args.Settings)
	if err != nil {
		fmt.Fprintf(os.Stderr, "amaranthmill: settings %s:\n%v\n", o.Args.Settings, err)
		os.Exit(exitBadSettings)
	}
	if o.Check {
		fmt.Println("settings are valid")
		return
	}
	logger := newLogger(settings)
	if err := runner.Run(settings, logger); err != nil {
		logger.Error().Interface("error", eris.ToJSON(err, false)).Msg("instance failed")
		os.Exit(exitFailed)
	}
}

// newLogger returns the instance's logger at the level of its settings.
func newLogger(s *configurer.Settings) zerolog.Logger {
	zerolog.TimeFieldFormat = zerolog.TimeFormatUnixMs
	level, err := zerolog.ParseLevel(s.Log.Level)
	if err != nil {
		level = zerolog.InfoLevel
	}
	return zerolog.New(os.Stdout).Level(level).With().Timestamp().Str("instance", string(s.Instance)).Logger()
}
