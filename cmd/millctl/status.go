package main

import (
	"fmt"
	"time"

	"amaranthmill/administrator"
	"amaranthmill/internal/identifier"
)

// pollInterval is the interval of the queries of a status command that waits.
const pollInterval = 200 * time.Millisecond

// statusCommand shows which version is in force on each instance.
type statusCommand struct {
	app     *app
	Version uint64        `long:"version" value-name:"N" description:"the version that has to be in force; default: the one in force on the instance asked"`
	Wait    time.Duration `long:"wait" value-name:"DURATION" description:"wait this long until the version is in force on every instance, such as 5s"`
}

// Execute runs the command. Without --version and --wait it fails only if the query fails.
func (c *statusCommand) Execute([]string) error {
	client, err := c.app.client()
	if err != nil {
		return err
	}
	deadline := time.Now().Add(c.Wait)
	for {
		r, err := client.Rollout(c.app.ctx)
		want := identifier.BundleVersion(c.Version)
		if want == 0 {
			want = r.InForce
		}
		done := err == nil && inForceEverywhere(r, want)
		if !done && time.Now().Before(deadline) && c.app.ctx.Err() == nil {
			time.Sleep(pollInterval)
			continue
		}
		if err != nil {
			return err
		}
		if err := c.app.showResult(r, func() { c.app.printRollout(r) }); err != nil {
			return err
		}
		if !done && (c.Version > 0 || c.Wait > 0) {
			return &notInForceError{message: fmt.Sprintf("version %d is not in force on every instance", want)}
		}
		return nil
	}
}

// inForceEverywhere reports whether every instance reports version or a higher one.
func inForceEverywhere(r administrator.Rollout, version identifier.BundleVersion) bool {
	if version == 0 || r.InForce < version {
		return false
	}
	for _, i := range r.Instances {
		if i.BundleVersion < version || !i.Reachable {
			return false
		}
	}
	return true
}
