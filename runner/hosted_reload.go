package runner

import (
	"bytes"
	"context"
	"os"
	"os/signal"
	"reflect"
	"syscall"
	"time"

	"amaranthmill/configurer"

	"github.com/rs/zerolog"
)

// reloadEvery is the time between two looks at the settings file, which may change without a signal.
const reloadEvery = time.Second

// reloader takes up changes of the settings file, told by SIGHUP or not. A file that can't
// be read or is wrong leaves the settings as they are.
type reloader struct {
	path    string
	logger  zerolog.Logger
	apply   func(old, settings *configurer.Hosted)
	current *configurer.Hosted
	text    []byte // of the file when it was last looked at
}

func newReloader(path string, s *configurer.Hosted, logger zerolog.Logger, apply func(old, settings *configurer.Hosted)) *reloader {
	r := &reloader{path: path, logger: logger, apply: apply, current: s}
	r.text, _ = os.ReadFile(path) // the settings were read a moment ago; an error shows at the next look
	return r
}

// run looks at the file at intervals and at each SIGHUP until ctx ends. It returns nil.
func (r *reloader) run(ctx context.Context) error {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	defer signal.Stop(hup)
	t := time.NewTicker(reloadEvery)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-hup:
			r.logger.Info().Msg("settings are read again on a signal")
		case <-t.C:
		}
		r.look()
	}
}

// look takes up the file if it changed.
func (r *reloader) look() {
	text, err := os.ReadFile(r.path)
	if err != nil {
		r.logger.Error().Err(err).Msg("settings can't be read, the old ones stay")
		return
	}
	if bytes.Equal(text, r.text) {
		return
	}
	r.text = text
	settings, err := configurer.ParseHosted(text)
	if err != nil {
		r.logger.Error().Err(err).Msg("settings are wrong, the old ones stay")
		return
	}
	old := r.current
	r.current = settings
	r.apply(old, settings)
	r.logger.Info().Bool("changed", !reflect.DeepEqual(old, settings)).Msg("settings reloaded")
}

// apply puts in force what can change while the instance runs: bounds on repeats and the
// log's level. Addresses and what the machine allows take effect at the next start.
func (h *hosted) apply(old, settings *configurer.Hosted) {
	h.forwarder.SetRetryBudget(retryShare*settings.Bounds.RetryRatio, retryShare*settings.Bounds.RetrySlack)
	if level, err := zerolog.ParseLevel(settings.Log.Level); err == nil {
		zerolog.SetGlobalLevel(level)
	}
	if !reflect.DeepEqual(old.Listen, settings.Listen) || !reflect.DeepEqual(old.Store, settings.Store) || old.Machine != settings.Machine {
		h.logger.Warn().Msg("addresses, store and machine take effect at the next start")
	}
}
