// Command standin runs a stand-in for one part of a system in tests: the platform, a model engine,
// a plain service or the callers. It also creates certificates and runs soak tests and trials.
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
	add("platform", "Run the platform: key-value store, list of instances, weight store", &platformCommand{logger: logger})
	add("engine", "Run a model engine", &engineCommand{logger: logger})
	add("service", "Run a plain service", &serviceCommand{logger: logger})
	add("load", "Send a load of streamed model requests and print a report", &loadCommand{})
	add("certificates", "Create a certificate authority and certificates for instances", &certificatesCommand{})
	add("soak", "Inject random faults into instances on the users' platform and check the guarantees", &soakCommand{})
	add("trial", "Run a complete system as separate processes and report the outcomes", &trialCommand{})
	if _, err := p.Parse(); err != nil {
		var fe *flags.Error
		if errors.As(err, &fe) && fe.Type == flags.ErrHelp {
			return
		}
		os.Exit(1)
	}
}
