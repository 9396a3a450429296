package main

import (
	"context"
	"crypto/ed25519"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"sync/atomic"

	"amaranthmill/auditor"
	"amaranthmill/bundler"
	"amaranthmill/internal/identifier"
	"amaranthmill/linker"
	"amaranthmill/storeclient"
)

const signerName = "grace"

// makeSigner returns the signers that all instances accept, and the private key of the only
// signer, signerName.
func makeSigner() (bundler.Signers, ed25519.PrivateKey) {
	key := ed25519.NewKeyFromSeed(make([]byte, ed25519.SeedSize))
	return bundler.Signers{signerName: key.Public().(ed25519.PublicKey)}, key
}

// instance holds the components of an entry instance that handle bundles.
type instance struct {
	peer              linker.Peer
	store             *bundler.Store
	registrar         *bundler.Registrar
	trail             *auditor.Trail
	linker            *linker.Linker
	receivedDocuments *atomic.Int64 // bundle documents from peers, summed over all instances
}

// newInstance starts an instance that uses the platform at the given address.
func newInstance(ctx context.Context, number int, platform netip.AddrPort, seed uint64, received *atomic.Int64) (*instance, error) {
	name := identifier.Instance(fmt.Sprintf("entry-%d", number))
	source := func(salt uint64) rand.Source { return rand.NewPCG(seed, uint64(number)<<8|salt) }
	client := storeclient.New(storeclient.Config{Address: platform, Instance: name, Random: source(1)})
	signers, _ := makeSigner()
	i := &instance{receivedDocuments: received, trail: auditor.New(auditor.Config{Platform: client, Instance: name})}
	i.store = bundler.NewStore(bundler.Config{Signers: signers, Platform: client, Random: source(2)})
	i.registrar = bundler.NewRegistrar(bundler.RegistrarConfig{
		Signers: signers, Platform: client, Store: i.store, Trail: i.trail,
		Inventory: func(context.Context) (*bundler.Inventory, error) { return nil, nil },
	})
	if err := i.startLinker(name, number, source(3)); err != nil {
		return nil, err
	}
	i.store.OnChange(func(*bundler.Bundle) {
		version, document := i.store.EncodedDocument()
		i.linker.Broadcast(linker.BundleOffer{Version: version, Document: document})
	})
	go func() { _ = i.store.Run(ctx) }()  // ends with the measurement
	go func() { _ = i.linker.Run(ctx) }() // ends with the measurement
	return i, nil
}

// startLinker creates the linker, which listens on a free port of the loopback interface.
func (i *instance) startLinker(name identifier.Instance, number int, source rand.Source) error {
	domain := identifier.FailureDomain(fmt.Sprintf("domain-%d", number%failureDomains))
	l, err := linker.New(linker.Config{
		Instance: name, FailureDomain: domain, Listen: netip.MustParseAddrPort("127.0.0.1:0"), Plaintext: true,
		Bundle: i.store.EncodedDocument, OnMessage: i.receive, Rand: source,
	})
	if err != nil {
		return err
	}
	i.linker = l
	i.peer = linker.Peer{Instance: name, FailureDomain: domain, Address: l.Address()}
	return nil
}

func (i *instance) receive(from linker.Peer, m linker.Message) {
	if offer, ok := m.(linker.BundleOffer); ok {
		i.receivedDocuments.Add(1)
		_ = i.store.OfferFrom(from.Instance, offer.Document) // an outdated document is refused
	}
}
