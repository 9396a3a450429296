package soak

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"sync"
	"time"

	"amaranthmill/standin/hosted"
)

// Sizes and times of a configuration that grows, and the operators' bound on the time until a version is in force.
const (
	largeRoutes     = 1600                   // before the versions that follow one another
	largeVersions   = 40                     // each with one more route
	largeInterval   = 100 * time.Millisecond // between two versions
	largeInForce    = 1500 * time.Millisecond
	largeSettleTime = 4 * time.Second // after the last fault
	wideLink        = 200             // Mbit/s, of the first instance
	narrowLink      = 14              // Mbit/s, of the others
)

// linkMbps returns the bandwidth that an instance names. The instances are on one machine, so that it only shapes the
// tree.
func (c Config) linkMbps(instance int) float64 {
	switch {
	case !c.Large && !(c.Drills && c.Seed%2 == 0):
		return 0
	case instance == 0:
		return wideLink
	}
	return narrowLink
}

// AddVersions returns steps with new versions of the configuration in the middle of the given length of time. The
// result is ordered by time.
func AddVersions(steps []Step, length time.Duration) []Step {
	out := slices.Clone(steps)
	for i := range largeVersions {
		if at := length/4 + time.Duration(i)*largeInterval; at < length {
			out = append(out, Step{At: at, Fault: GrowConfiguration{}})
		}
	}
	slices.SortStableFunc(out, func(a, b Step) int { return cmp.Compare(a.At, b.At) })
	return out
}

// growConfiguration writes a version with one more route and returns the number of routes.
func (s *soak) growConfiguration() int {
	s.moreRoutes = max(s.moreRoutes, largeRoutes) + 1
	s.platform.SetMoreRoutes(s.moreRoutes)
	s.configure()
	return s.moreRoutes
}

// checkLargeConfiguration writes versions in quick succession and records each one that is not in force at an instance
// in time, while no fault is injected.
func (s *soak) checkLargeConfiguration() {
	s.sleep(largeSettleTime)
	client := &http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	var checks sync.WaitGroup
	for range largeVersions {
		routes, writtenAt := s.growConfiguration(), time.Now()
		checks.Go(func() {
			s.sleep(time.Until(writtenAt.Add(largeInForce)))
			for n := range s.instances {
				if status, err := s.requestRoute(client, n, routes-1); err != nil || status == http.StatusNotFound {
					s.record.addViolation("instance %d does not know route %d %s after its version was written: status=%d %v", n, routes-1, time.Since(writtenAt), status, err)
				}
			}
		})
		s.sleep(time.Until(writtenAt.Add(largeInterval)))
	}
	checks.Wait()
}

// requestRoute sends a request to a route by its number, records it and returns the status of the answer.
func (s *soak) requestRoute(client *http.Client, instance, route int) (status int, err error) {
	return s.requestRouteAs(client, fmt.Sprintf("route-%d-%d", instance, route), instance, route)
}

// requestRouteAs is requestRoute for a request with an ID of its own.
func (s *soak) requestRouteAs(client *http.Client, id string, instance, route int) (status int, err error) {
	sent := sentRequest{id: id, instance: instance, sentAt: time.Now()}
	defer func() {
		sent.status, sent.endedAt = status, time.Now()
		s.record.addRequest(sent)
	}()
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	url := "http://" + s.instances[instance].callers.Address().String() + hosted.MoreRoutePrefix(route)
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return 0, err
	}
	r.Host = hosted.Host
	r.Header.Set("X-Attempt-Id", sent.id)
	r.Header.Set("X-Deadline-Remaining", fmt.Sprint(deadline.Milliseconds()))
	r.Header.Set("Authorization", "Token "+hosted.APIKey)
	resp, err := client.Do(r)
	if err != nil {
		return 0, err
	}
	sent.retryAfter = resp.Header.Get("Retry-After")
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, err
}
