package runner

import (
	"context"
	"crypto/rand"
	"errors"
	"net/http"
	"time"

	"amaranthmill/administrator"
	"amaranthmill/auditor"
	"amaranthmill/bundler"
	"amaranthmill/claimer"
	"amaranthmill/configurer"
	"amaranthmill/dispatcher"
	"amaranthmill/evictor"
	"amaranthmill/grouper"
	"amaranthmill/internal/identifier"
	"amaranthmill/linker"
	"amaranthmill/prober"
	"amaranthmill/router"
	"amaranthmill/server"
	"amaranthmill/storeclient"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"
	"go.opentelemetry.io/otel/metric"
)

// instance holds the components of one entry instance, an instance of this system that callers
// connect to. See hosted for an instance on a platform with its own store of configuration and
// endpoints.
type instance struct {
	settings *configurer.Settings
	logger   zerolog.Logger
	meter    metric.Meter
	metrics  http.Handler

	platform    *storeclient.Client
	bundles     *bundler.Store
	linker      *linker.Linker
	credentials *linker.Credentials
	claimer     *claimer.Claimer
	dispatcher  *dispatcher.Dispatcher
	prober      *prober.Prober
	grouper     *grouper.Grouper
	server      *server.Server
	memory      *evictor.Memory // for callers' requests
	shares      *limitShares
	admin       http.Handler

	directory *directory
	fleet     *fleet
	records   *latest[[]grouper.Record]
	reports   *latest[[]grouper.Report]
}

// newInstance creates the components and connects them. It does not start them.
func newInstance(s *configurer.Settings, logger zerolog.Logger) (*instance, error) {
	i := &instance{settings: s, logger: logger}
	i.fleet = &fleet{instance: i}
	var err error
	if i.meter, i.metrics, err = newMeter(); err != nil {
		return nil, err
	}
	i.platform = storeclient.New(storeclient.Config{
		Address: s.Platform.Address, Instance: s.Instance, CallTimeout: s.Platform.Timeout.Std(),
		ReadsPerSecond: s.Platform.ReadsPerSecond, WritesPerSecond: s.Platform.WritesPerSecond,
		Logger: logger, Meter: i.meter,
	})
	i.directory = &directory{settings: s, platform: i.platform, onList: i.setListings}
	i.claimer = claimer.New(claimer.Config{Store: i.platform, Instance: s.Instance, Logger: logger, Meter: i.meter})
	if err := i.newBundles(); err != nil {
		return nil, err
	}
	if err := i.newLinker(); err != nil {
		return nil, err
	}
	i.newRequestPath()
	i.newGroups()
	i.bundles.OnChange(i.applyBundle)
	return i, nil
}

// newBundles creates the bundle store and the administration API.
func (i *instance) newBundles() error {
	signers := bundler.Signers{}
	for _, s := range i.settings.Signers {
		key, err := bundler.ParsePublicKey(s.PublicKey)
		if err != nil {
			return eris.Wrapf(err, "settings: signer %s", s.Name)
		}
		signers[s.Name] = key
	}
	trail := auditor.New(auditor.Config{Platform: i.platform, Instance: i.settings.Instance})
	i.bundles = bundler.NewStore(bundler.Config{
		Signers: signers, Platform: i.platform, Logger: i.logger, Meter: i.meter,
		OnRestore: func(ctx context.Context, r bundler.Restore) { i.recordRestore(ctx, trail, r) },
	})
	registrar := bundler.NewRegistrar(bundler.RegistrarConfig{
		Signers: signers, Platform: i.platform, Store: i.bundles, Trail: trail, Inventory: i.directory.inventory, Logger: i.logger,
	})
	operators := make([]administrator.Operator, 0, len(i.settings.Operators))
	for _, o := range i.settings.Operators {
		op := administrator.Operator{Name: o.Name, TokenDigest: o.TokenDigest}
		for _, r := range o.Roles {
			op.Roles = append(op.Roles, administrator.Role(r))
		}
		operators = append(operators, op)
	}
	i.admin = administrator.Handler(administrator.Config{
		Operators: operators, Store: i.bundles, Registrar: registrar, Trail: trail, Fleet: i.fleet, Logger: i.logger,
	})
	return nil
}

// recordRestore writes an audit entry stating that the bundle in force replaced an older one
// at the platform.
func (i *instance) recordRestore(ctx context.Context, trail *auditor.Trail, r bundler.Restore) {
	_, err := trail.Append(ctx, auditor.Record{
		Actor: string(i.settings.Instance), Action: auditor.ActionRestored, From: r.ReplacedVersion, To: r.Document.Bundle.Version,
	})
	if err != nil {
		i.logger.Error().Err(err).Msg("restore of the bundle is not recorded in the audit trail")
	}
}

// newLinker creates the linker, which holds the sessions with other instances.
func (i *instance) newLinker() error {
	s := i.settings
	var err error
	i.credentials, err = linker.NewCredentials(linker.CredentialsConfig{
		Certificate: s.TLS.Certificate, Key: s.TLS.Key, Authorities: s.TLS.Authorities,
	})
	if err != nil {
		return eris.Wrap(err, "settings: tls")
	}
	i.linker, err = linker.New(linker.Config{
		Instance: s.Instance, FailureDomain: s.FailureDomain, Listen: s.Listen.Peers, Credentials: i.credentials,
		OnMessage: i.handleMessage, OnPeersChanged: i.updatePeers, Bundle: i.bundles.EncodedDocument,
		Serve: func(ctx context.Context, q router.Request, w router.Writer) router.Outcome {
			return i.dispatcher.Serve(ctx, q, w)
		},
		Logger: i.logger, Meter: i.meter,
	})
	return err
}

// newRequestPath creates the components that serve requests: dispatcher, limit shares and
// server.
func (i *instance) newRequestPath() {
	s := i.settings
	i.dispatcher = dispatcher.New(dispatcher.Config{
		Instance: s.Instance, Forwarder: i.linker, Claimer: claimerAdapter{i.claimer}, Logger: i.logger, Meter: i.meter,
		OnSuspicion: func(s linker.Suspicion) { i.linker.Broadcast(s) },
	})
	i.shares = newLimitShares(s.Instance, i.linker, i.dispatcher)
	i.memory = evictor.NewMemory(evictor.MemoryConfig{Config: evictor.Config{Limit: int64(s.Callers.MemoryMB) << 20}, Logger: i.logger, Meter: i.meter})
	i.server = server.New(server.Config{
		Bundle: i.bundles.Current, Dispatcher: countingDispatcher{i.dispatcher, i.shares}, Ready: i.checkReady,
		NewRequest: func() identifier.Request { return identifier.Request(rand.Text()) },
		BodySize:   s.Limits.BodySize, Memory: i.memory, Logger: i.logger,
	})
}

// newGroups creates the prober of endpoints and the grouper, which repairs groups. They
// exchange records and reports through latest values, because neither may call the other
// within a step of its core.
func (i *instance) newGroups() {
	s := i.settings
	i.reports = newLatest(func(r []grouper.Report) {
		i.fleet.setReports(r)
		i.grouper.SetReports(r)
	})
	i.records = newLatest(func(r []grouper.Record) {
		i.fleet.setRecords(r)
		i.prober.SetRecords(r)
	})
	i.prober = prober.New(prober.Config{
		Instance: s.Instance, FailureDomain: s.FailureDomain, Logger: i.logger, Meter: i.meter,
		OnTargets: i.setTargets, OnReports: i.reports.put,
		OnDigest: func(d linker.ProbeDigest) { i.linker.Broadcast(d) },
	})
	i.grouper = grouper.New(grouper.Config{
		Platform: i.platform, Instance: s.Instance, Logger: i.logger, Meter: i.meter, OnRecords: i.records.put,
		Policy: grouper.Policy{FailureDomain: s.FailureDomain, FencingEndpoints: i.directory.checksFence},
		OnNote: i.logNote,
	})
}

func (i *instance) logNote(n grouper.Note) {
	i.logger.Info().Str("fabricDomain", string(n.FabricDomain)).Str("group", string(n.Group)).
		Str("endpoint", string(n.Endpoint)).Str("decision", string(n.Decision)).Msg("repair decided")
}

// checkReady returns the reason why the instance should get no requests, or nil if it is ready.
func (i *instance) checkReady() error {
	if i.bundles.Current() == nil {
		return errors.New("no bundle is in force: neither the platform nor a peer gave one")
	}
	return nil
}

func (i *instance) setTargets(t []router.Target) {
	i.fleet.setTargets(t)
	i.dispatcher.SetTargets(t)
}

func (i *instance) applyBundle(b *bundler.Bundle) {
	i.logger.Info().Uint64("version", uint64(b.Version)).Str("author", b.Author).Msg("bundle in force")
	i.dispatcher.SetBundle(b)
	i.shares.setBundle(b)
	i.grouper.SetBundle(b)
	version, document := i.bundles.EncodedDocument()
	i.linker.Broadcast(linker.BundleOffer{Version: version, Document: document})
}

// setListings passes the platform's list on to the linker and the prober.
func (i *instance) setListings(listings []storeclient.Listing) {
	i.linker.SetPeers(i.directory.peers(listings))
	i.prober.SetListings(listings)
}

// updatePeers passes on which instances of the local failure domain are reachable, and how
// many instances share the limits of the client accounts. An unreachable instance may still
// serve requests, so it keeps its share.
func (i *instance) updatePeers() {
	localReachable := []identifier.Instance{i.settings.Instance}
	total := 1
	for _, p := range i.linker.Peers() {
		if p.Leaving {
			continue
		}
		total++
		if p.Reachable && p.FailureDomain == i.settings.FailureDomain {
			localReachable = append(localReachable, p.Instance)
		}
	}
	i.dispatcher.SetInstanceCounts(len(localReachable), total)
	i.shares.setPeers(i.linker.Peers())
	i.prober.SetPeers(localReachable)
	i.grouper.SetPeers(localReachable)
}

// handleMessage passes a peer's message on to the component that it concerns.
func (i *instance) handleMessage(from linker.Peer, m linker.Message) {
	switch m := m.(type) {
	case linker.BundleOffer:
		if err := i.bundles.OfferFrom(from.Instance, m.Document); err != nil {
			i.logger.Warn().Err(err).Str("peer", string(from.Instance)).Msg("bundle offered by a peer was refused")
		}
	case linker.ProbeDigest:
		i.prober.AddDigest(from.Instance, m)
	case linker.DemandAnnouncement:
		i.shares.receive(from.Instance, m)
	case linker.LoadSummary:
		i.dispatcher.SetRemote(from, m)
	case linker.Suspicion:
		i.dispatcher.AddSuspicion(m)
	}
}

// newHTTPServer returns a server with the timeouts that all listeners of the instance share.
func newHTTPServer(address string, h http.Handler) *http.Server {
	return &http.Server{Addr: address, Handler: h, ReadHeaderTimeout: 10 * time.Second, IdleTimeout: 2 * time.Minute}
}
