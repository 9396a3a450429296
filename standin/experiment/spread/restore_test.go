package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"amaranthmill/bundler"
	"amaranthmill/internal/identifier"
	"amaranthmill/linker"
	"amaranthmill/standin/platform"
)

// storedEntry is the value of a key in the JSON format of the platform stand-in's API.
type storedEntry struct {
	Value    []byte `json:"value"`
	Revision uint64 `json:"revision"`
}

// TestStoreRestoredFromBackup guards against a return to an older bundle if the platform's store
// is restored from an older backup. The running instances keep the newer version in force and
// write it back to the store. An instance that starts meanwhile applies the newer version and
// never the older one.
func TestStoreRestoredFromBackup(t *testing.T) {
	is := is.New(t)
	f := &fleet{platform: httptest.NewServer(platform.New(platform.Config{}).Handler())}
	t.Cleanup(f.platform.CloseClientConnections)
	is.NoErr(f.start(t.Context(), settings{instances: 3, seed: 1}))
	for v := identifier.BundleVersion(1); v <= 2; v++ {
		_, err := f.changeBundle(t.Context(), v)
		is.NoErr(err)
	}
	older := f.get(t, "bundles/versions/1")
	current := f.get(t, bundler.CurrentKey)
	f.put(t, bundler.CurrentKey, current.Revision, older.Value)

	added, versions := f.addInstance(t, len(f.instances))
	f.eventually(t, "the platform has version 2 again", func() bool {
		now := f.get(t, bundler.CurrentKey)
		return now.Revision > current.Revision+1 && !bytes.Equal(now.Value, older.Value)
	})
	f.eventually(t, "the added instance has version 2", func() bool { return added.store.Current() != nil })
	f.eventually(t, "the added instance has notified its OnChange function of a version", func() bool { return len(versions()) > 0 })
	is.True(f.isInForceEverywhere(2))
	is.Equal(versions(), []identifier.BundleVersion{2})
}

// addInstance starts another instance. It returns the instance and a function that returns the
// versions that came into force there, in order.
func (f *fleet) addInstance(t *testing.T, number int) (*instance, func() []identifier.BundleVersion) {
	t.Helper()
	i, err := newInstance(t.Context(), number, netip.MustParseAddrPort(f.platform.Listener.Addr().String()), 1, &f.receivedDocuments)
	if err != nil {
		t.Fatal(err)
	}
	var mu sync.Mutex
	var versions []identifier.BundleVersion
	i.store.OnChange(func(b *bundler.Bundle) {
		mu.Lock()
		defer mu.Unlock()
		versions = append(versions, b.Version)
	})
	peers := []linker.Peer{i.peer}
	for _, other := range f.instances {
		peers = append(peers, other.peer)
	}
	for _, other := range f.instances {
		other.linker.SetPeers(peers)
	}
	i.linker.SetPeers(peers)
	return i, func() []identifier.BundleVersion {
		mu.Lock()
		defer mu.Unlock()
		return versions
	}
}

func (f *fleet) get(t *testing.T, key string) storedEntry {
	t.Helper()
	resp, err := http.Get(f.platform.URL + "/kv/" + key)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	var s storedEntry
	if err := json.NewDecoder(resp.Body).Decode(&s); err != nil {
		t.Fatal(err)
	}
	return s
}

func (f *fleet) put(t *testing.T, key string, revision uint64, value []byte) {
	t.Helper()
	body, err := json.Marshal(storedEntry{Value: value})
	if err != nil {
		t.Fatal(err)
	}
	req, err := http.NewRequest(http.MethodPut, fmt.Sprintf("%s/kv/%s?revision=%d", f.platform.URL, key, revision), bytes.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	if text, _ := io.ReadAll(resp.Body); resp.StatusCode != http.StatusOK {
		t.Fatalf("put %s: %d %s", key, resp.StatusCode, text)
	}
}

// eventually waits until done reports true, for at most propagationTimeout, and fails the test otherwise.
func (f *fleet) eventually(t *testing.T, what string, done func() bool) {
	t.Helper()
	for end := time.Now().Add(propagationTimeout); !done(); time.Sleep(pollInterval) {
		if time.Now().After(end) {
			t.Fatalf("not within %s: %s", propagationTimeout, what)
		}
	}
}
