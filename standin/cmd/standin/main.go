// Command standin runs one stand-in: the platform, a model engine, a plain service or a load of callers.
package main

import (
	"errors"
	"os"

	"github.com/jessevdk/go-flags"
	"github.com/rs/zerolog"
)

func main() {
	p := flags.NewNamedParser("standin", flags.Default)
	logger := zerolog.New(os.Stderr).With().Timestamp().Logger()
	add := func(name, short string, cmd any) {
		if _, err := p.AddCommand(name, short, short, cmd); err != nil {
			panic(err)
		}
	}
	add("platform", "Run the platform: key-value service, list of instances, weight store", &platformCommand{logger: logger})
	add("engine", "Run a model engine", &engineCommand{logger: logger})
	add("service", "Run a plain service", &serviceCommand{logger: logger})
	add("load", "Send a load of streamed model requests and report on it", &loadCommand{})
	add("certificates", "Make an authority and certificates of instances", &certificatesCommand{})
	add("soak", "Let faults come by chance upon instances on the users' platform and hold them against the promises", &soakCommand{})
	add("trial", "Run the whole path as separate processes and report on it", &trialCommand{})
	if _, err := p.Parse(); err != nil {
		var fe *flags.Error
		if errors.As(err, &fe) && fe.Type == flags.ErrHelp {
			return
		}
		os.Exit(1)
	}
}
