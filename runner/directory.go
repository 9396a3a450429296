package runner

import (
	"context"
	"slices"
	"sync"
	"time"

	"amaranthmill/bundler"
	"amaranthmill/configurer"
	"amaranthmill/internal/identifier"
	"amaranthmill/linker"
	"amaranthmill/storeclient"
)

// listInterval is the time between two reads of the platform's list.
const listInterval = time.Second

// directory caches the platform's list of instances, engines and plain services.
type directory struct {
	settings *configurer.Settings
	platform *storeclient.Client
	onList   func([]storeclient.Listing) // called after each successful read

	mu       sync.Mutex
	listings []storeclient.Listing
}

// run reads the list at intervals until ctx is done. While the platform is unreachable, the
// last list remains in use.
func (d *directory) run(ctx context.Context) error { return runEvery(ctx, listInterval, d.refresh) }

func (d *directory) refresh(ctx context.Context) {
	listings, err := d.platform.ListInstances(ctx)
	if err != nil {
		return
	}
	d.mu.Lock()
	d.listings = listings
	d.mu.Unlock()
	d.onList(listings)
}

func (d *directory) lastListings() []storeclient.Listing {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.listings
}

// peers returns the other instances named in the settings or in the list. For an instance in
// both, the settings take precedence.
func (d *directory) peers(listings []storeclient.Listing) []linker.Peer {
	var out []linker.Peer
	for _, p := range d.settings.Peers {
		out = append(out, linker.Peer{Instance: p.Instance, FailureDomain: p.FailureDomain, Address: p.Address})
	}
	for _, l := range listings {
		p := linker.Peer{Instance: identifier.Instance(l.Name), FailureDomain: l.FailureDomain, Address: l.Address}
		known := slices.ContainsFunc(out, func(o linker.Peer) bool { return o.Instance == p.Instance })
		if l.Kind == storeclient.KindEntry && !known {
			out = append(out, p)
		}
	}
	return out
}

// inventory returns the number of engines in each fabric domain.
func (d *directory) inventory(context.Context) (*bundler.Inventory, error) {
	inv := &bundler.Inventory{}
	for _, l := range d.lastListings() {
		if l.Kind != storeclient.KindEngine {
			continue
		}
		i := slices.IndexFunc(inv.FabricDomains, func(f bundler.FabricDomain) bool { return f.Name == l.FabricDomain })
		if i < 0 {
			inv.FabricDomains = append(inv.FabricDomains, bundler.FabricDomain{Name: l.FabricDomain, FailureDomain: l.FailureDomain})
			i = len(inv.FabricDomains) - 1
		}
		inv.FabricDomains[i].Engines++
	}
	return inv, nil
}

// checksFence reports whether an endpoint is in a fabric domain whose engines refuse orders
// with an old fencing number.
func (d *directory) checksFence(ep identifier.Endpoint) bool {
	for _, l := range d.lastListings() {
		if l.Name == string(ep) {
			return slices.Contains(d.settings.FenceChecked, l.FabricDomain)
		}
	}
	return false
}
