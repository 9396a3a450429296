package runner

import (
	"context"
	"time"
)

// renewInterval is the time between two reads of the certificate files.
const renewInterval = time.Minute

// renewCertificates reloads the certificate files at intervals until ctx is done. If the files
// can't be used, it logs the error and the current certificates stay in use.
func (i *instance) renewCertificates(ctx context.Context) error {
	return runEvery(ctx, renewInterval, func(context.Context) {
		if err := i.credentials.Reload(); err != nil {
			i.logger.Error().Err(err).Msg("certificate files can't be loaded, the current certificates stay in use")
		}
	})
}
