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

// listEvery is the time between two looks at the platform's list.
const listEvery = time.Second

// directory keeps what the platform's list said last.
type directory struct {
	settings *configurer.Settings
	platform *storeclient.Client
	onList   func([]storeclient.Listing)

	mu       sync.Mutex
	listings []storeclient.Listing
}

// run looks at the list until ctx ends. While the platform cannot be reached the last
// list stands.
func (d *directory) run(ctx context.Context) error { return every(ctx, listEvery, d.look) }

func (d *directory) look(ctx context.Context) {
	listings, err := d.platform.ListInstances(ctx)
	if err != nil {
		return
	}
	d.mu.Lock()
	d.listings = listings
	d.mu.Unlock()
	d.onList(listings)
}

func (d *directory) last() []storeclient.Listing {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.listings
}

// peers returns the other instances that the settings and the list name.
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

// inventory counts the engines of each fabric domain.
func (d *directory) inventory(context.Context) (*bundler.Inventory, error) {
	inv := &bundler.Inventory{}
	for _, l := range d.last() {
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

// isFenced reports whether an endpoint lies in a fabric domain whose engines refuse old
// fencing numbers.
func (d *directory) isFenced(ep identifier.Endpoint) bool {
	for _, l := range d.last() {
		if l.Name == string(ep) {
			return slices.Contains(d.settings.FenceChecked, l.FabricDomain)
		}
	}
	return false
}
