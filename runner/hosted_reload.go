package runner

import (
	"bytes"
	"context"
	"os"
	"reflect"
	"time"

	"amaranthmill/configurer"

	"github.com/rs/zerolog"
)

// reloadInterval is the time between two reads of the settings file, which may change without a signal.
const reloadInterval = time.Second

// reloader applies changes of the settings file, at a SIGHUP and at intervals. If the file
// can't be read or is invalid, the settings remain unchanged.
type reloader struct {
	path    string
	signals <-chan os.Signal // SIGHUP
	logger  zerolog.Logger
	apply   func(old, settings *configurer.HostedSettings)
	current *configurer.HostedSettings
	text    []byte // content of the file at the last read
}

func newReloader(path string, s *configurer.HostedSettings, signals <-chan os.Signal, logger zerolog.Logger, apply func(old, settings *configurer.HostedSettings)) *reloader {
	r := &reloader{path: path, signals: signals, logger: logger, apply: apply, current: s}
	r.text, _ = os.ReadFile(path) // the caller has just read the file; reloadIfChanged reports an error
	return r
}

// run reads the file at intervals and at each SIGHUP until ctx is done. It returns nil.
func (r *reloader) run(ctx context.Context) error {
	t := time.NewTicker(reloadInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-r.signals:
			r.logger.Info().Msg("SIGHUP received, the settings file is read again")
		case <-t.C:
		}
		r.reloadIfChanged()
	}
}

// reloadIfChanged reads the file and, if its content changed, applies the settings.
func (r *reloader) reloadIfChanged() {
	text, err := os.ReadFile(r.path)
	if err != nil {
		r.logger.Error().Err(err).Msg("settings file can't be read, the old ones stay")
		return
	}
	if bytes.Equal(text, r.text) {
		return
	}
	r.text = text
	settings, err := configurer.ParseHosted(text)
	if err != nil {
		r.logger.Error().Err(err).Msg("settings are invalid, the old ones stay")
		return
	}
	old := r.current
	r.current = settings
	r.apply(old, settings)
	r.logger.Info().Bool("changed", !reflect.DeepEqual(old, settings)).Msg("settings reloaded")
}

// apply applies the settings that can change while the instance runs: the bounds on retries and
// the log level. Changes of the addresses, the store, the machine and the limits of
// callers take effect at the next start.
func (h *hosted) apply(old, settings *configurer.HostedSettings) {
	h.forwarder.SetRetryBudget(retryShare*settings.Bounds.RetryRatio, retryShare*settings.Bounds.RetrySlack)
	if level, err := zerolog.ParseLevel(settings.Log.Level); err == nil {
		zerolog.SetGlobalLevel(level)
	}
	if !reflect.DeepEqual(old.Listen, settings.Listen) || !reflect.DeepEqual(old.Store, settings.Store) || old.Machine != settings.Machine || old.Callers != settings.Callers {
		h.logger.Warn().Msg("changed settings of addresses, store, machine or callers take effect at the next start")
	}
}
