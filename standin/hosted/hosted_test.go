package hosted_test

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"amaranthmill/standin/hosted"
	"amaranthmill/standin/internal/builder"
)

// binary is the path of the built program amaranthmill.
var binary string

func TestMain(m *testing.M) { os.Exit(builder.RunTests(m, &binary)) }

// waitLimit bounds each wait of a test. It is not a guarantee of the system.
const waitLimit = 20 * time.Second

// firstSource is the last byte of the address of loopback from which the first instance connects.
const firstSource = 11

// TestRequests sends a stream request, a plain request and a request with an unknown key to
// each instance, without faults.
func TestRequests(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, 2)
	for n, i := range f.instances {
		resp, err := f.request(i, http.MethodPost, "/guides/brief", fmt.Sprintf("s%d", n), hosted.APIKey)
		is.NoErr(err)
		is.NoErr(readCompleteStream(resp, func(int) {}))
		resp, err = f.request(i, http.MethodPost, "/holds/7", fmt.Sprintf("h%d", n), hosted.APIKey)
		is.NoErr(err)
		text, err := io.ReadAll(resp.Body)
		is.NoErr(err)
		is.Equal(string(text), "POST /holds/7 for "+hosted.Account)
		is.True(resp.Header.Get("X-Server-Seal") != "")
		resp, err = f.request(i, http.MethodPost, "/holds/7", "u", "k2")
		is.NoErr(err)
		is.Equal(resp.StatusCode, http.StatusUnauthorized)
	}
}

// TestMemberLost kills a member of a group while streams run. Each stream must resume in
// another group and be complete, and the instances must form a group in place of the lost one.
func TestMemberLost(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, 2)
	var once sync.Once
	var wg sync.WaitGroup
	results := make(chan error, 8)
	for n := range 8 {
		wg.Go(func() {
			resp, err := f.request(f.instances[n%2], http.MethodPost, "/guides/brief", fmt.Sprintf("s%d", n), hosted.APIKey)
			if err != nil {
				results <- err
				return
			}
			results <- readCompleteStream(resp, func(event int) {
				if event == 10 {
					once.Do(f.killMember)
				}
			})
		})
	}
	wg.Wait()
	close(results)
	for err := range results {
		is.NoErr(err)
	}
	f.await("a new group in place of the lost one", func() bool { return f.countHeads() >= 2 })
}

// TestStoreLost makes the store unavailable. The instances must keep serving with the last
// configuration that they read. The configuration that changed during the outage must come
// into force after the store is available again, although the store's history was dropped.
func TestStoreLost(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, 2)
	f.platform.Store.SetDown(true)
	f.await("the instance to detect the loss of the store", func() bool { return strings.Contains(f.instances[0].log(), "store lost") })
	resp, err := f.request(f.instances[0], http.MethodPost, "/guides/brief", "s1", hosted.APIKey)
	is.NoErr(err)
	is.NoErr(readCompleteStream(resp, func(int) {}))
	f.platform.Configure(2, "k9")
	f.platform.Store.Compact()
	f.platform.Store.SetDown(false)
	for _, i := range f.instances {
		f.await("the new key", func() bool {
			resp, err := f.request(i, http.MethodPost, "/holds/7", "n", "k9")
			if err != nil {
				return false
			}
			_ = resp.Body.Close()
			return resp.StatusCode == http.StatusOK
		})
	}
	resp, err = f.request(f.instances[1], http.MethodPost, "/holds/7", "o", hosted.APIKey)
	is.NoErr(err)
	is.Equal(resp.StatusCode, http.StatusUnauthorized)
}

// TestStopUnderLoad stops an instance while it forwards a stream, then kills two engines. The
// stop must not abort the stream, and the other instance must then form groups.
func TestStopUnderLoad(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, 2)
	stopped, other := f.instances[0], f.instances[1]
	resp, err := f.request(stopped, http.MethodPost, "/guides/brief", "s1", hosted.APIKey)
	is.NoErr(err)
	is.NoErr(stopped.command.Process.Signal(syscall.SIGTERM))
	f.await("the readiness check to fail", func() bool { return getStatus("http://"+stopped.readiness+"/ready") == http.StatusServiceUnavailable })
	is.NoErr(readCompleteStream(resp, func(int) {}))
	is.NoErr(<-stopped.exit)
	stopped.exit <- nil // close receives from exit too
	f.killMember()
	f.killMember()
	f.await("the other instance to form groups", func() bool { return f.countHeads() >= 2 && strings.Contains(other.log(), `"decision":"serving"`) })
	resp, err = f.request(other, http.MethodPost, "/guides/brief", "s2", hosted.APIKey)
	is.NoErr(err)
	is.NoErr(readCompleteStream(resp, func(int) {}))
}

// TestSettingsReload changes the settings file with and without a signal. The instance must
// apply the changed settings, and must keep the old ones if the file is invalid.
func TestSettingsReload(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, 1)
	i := f.instances[0]
	path := i.command.Args[len(i.command.Args)-1]
	text, err := os.ReadFile(path)
	is.NoErr(err)
	is.NoErr(os.WriteFile(path, []byte("{"), 0o600))
	is.NoErr(i.command.Process.Signal(syscall.SIGHUP))
	f.await("the error on the invalid settings file", func() bool { return strings.Contains(i.log(), "the old ones stay") })
	is.NoErr(os.WriteFile(path, bytes.Replace(text, []byte(`"retrySlack":100`), []byte(`"retrySlack":50`), 1), 0o600))
	f.await("the reload", func() bool { return strings.Contains(i.log(), "settings reloaded") })
	is.NoErr(os.WriteFile(path, bytes.Replace(text, []byte(`"level":"info"`), []byte(`"level":"debug"`), 1), 0o600))
	f.await("log lines of the new level", func() bool { return strings.Contains(i.log(), `"level":"debug"`) })
	resp, err := f.request(i, http.MethodPost, "/holds/7", "h", hosted.APIKey)
	is.NoErr(err)
	is.Equal(resp.StatusCode, http.StatusOK)
}
