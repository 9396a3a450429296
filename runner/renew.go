package runner

import (
	"context"
	"time"
)

// renewEvery is the time between two looks at the certificate files.
const renewEvery = time.Minute

// renewCertificates takes up renewed certificates until ctx ends. Files that cannot be
// used are logged and the former ones stay.
func (i *instance) renewCertificates(ctx context.Context) error {
	return every(ctx, renewEvery, func(context.Context) {
		if err := i.credentials.Reload(); err != nil {
			i.logger.Error().Err(err).Msg("certificates not renewed")
		}
	})
}
