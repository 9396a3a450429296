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

// instance is the slices of one entry instance.
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
	shares      *shares
	admin       http.Handler

	directory *directory
	fleet     *fleet
	records   *latest[[]grouper.Record]
	reports   *latest[[]grouper.Report]
}

// newInstance builds the slices and connects them. Nothing runs yet.
func newInstance(s *configurer.Settings, logger zerolog.Logger) (*instance, error) {
	i := &instance{settings: s, logger: logger}
	i.fleet = &fleet{i: i}
	var err error
	if i.meter, i.metrics, err = newMeter(); err != nil {
		return nil, err
	}
	i.platform = storeclient.New(storeclient.Config{
		Address: s.Platform.Address, Instance: s.Instance, CallTimeout: s.Platform.Timeout.Std(),
		ReadsPerSecond: s.Platform.ReadsPerSecond, WritesPerSecond: s.Platform.WritesPerSecond,
		Logger: logger, Meter: i.meter,
	})
	i.directory = &directory{settings: s, platform: i.platform, onList: i.listed}
	i.claimer = claimer.New(claimer.Config{Store: i.platform, Instance: s.Instance, Logger: logger, Meter: i.meter})
	if err := i.newBundles(); err != nil {
		return nil, err
	}
	if err := i.newLinker(); err != nil {
		return nil, err
	}
	i.newRequests()
	i.newGroups()
	i.bundles.OnChange(i.bundleChanged)
	return i, nil
}

// newBundles builds the bundle store and the administration API.
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

// recordRestore writes into the audit trail that the bundle in force replaced an older one
// that the platform had.
func (i *instance) recordRestore(ctx context.Context, trail *auditor.Trail, r bundler.Restore) {
	_, err := trail.Append(ctx, auditor.Record{
		Actor: string(i.settings.Instance), Action: auditor.ActionRestored, From: r.ReplacedVersion, To: r.Document.Bundle.Version,
	})
	if err != nil {
		i.logger.Error().Err(err).Msg("restored bundle is not in the audit trail")
	}
}

// newLinker builds the sessions with other instances.
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
		OnMessage: i.receive, OnPeersChanged: i.peersChanged, Bundle: i.bundles.EncodedDocument,
		Serve: func(ctx context.Context, q router.Request, w router.Writer) router.Outcome {
			return i.dispatcher.Serve(ctx, q, w)
		},
		Logger: i.logger, Meter: i.meter,
	})
	return err
}

// newRequests builds the path of a request.
func (i *instance) newRequests() {
	s := i.settings
	i.dispatcher = dispatcher.New(dispatcher.Config{
		Instance: s.Instance, Forwarder: i.linker, Claimer: claims{i.claimer}, Logger: i.logger, Meter: i.meter,
		OnSuspicion: func(s linker.Suspicion) { i.linker.Broadcast(s) },
	})
	i.shares = newShares(s.Instance, i.linker, i.dispatcher)
	i.server = server.New(server.Config{
		Bundle: i.bundles.Current, Dispatcher: observed{i.dispatcher, i.shares}, Ready: i.ready,
		NewRequest: func() identifier.Request { return identifier.Request(rand.Text()) },
		BodySize:   s.Limits.BodySize, Logger: i.logger,
	})
}

// newGroups builds the probing of endpoints and the repair of groups. Records and reports
// go between the two through latest values, because neither may call the other from
// within a decision.
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
		OnTargets: i.targetsChanged, OnReports: i.reports.put,
		OnDigest: func(d linker.ProbeDigest) { i.linker.Broadcast(d) },
	})
	i.grouper = grouper.New(grouper.Config{
		Platform: i.platform, Instance: s.Instance, Logger: i.logger, Meter: i.meter, OnRecords: i.records.put,
		Policy: grouper.Policy{FailureDomain: s.FailureDomain, FencingEndpoints: i.directory.isFenced},
		OnNote: i.logNote,
	})
}

func (i *instance) logNote(n grouper.Note) {
	i.logger.Info().Str("fabricDomain", string(n.FabricDomain)).Str("group", string(n.Group)).
		Str("endpoint", string(n.Endpoint)).Str("decision", string(n.Decision)).Msg("repair decided")
}

// ready returns why the instance should get no requests, or nil.
func (i *instance) ready() error {
	if i.bundles.Current() == nil {
		return errors.New("no bundle is in force: neither the platform nor a peer gave one")
	}
	return nil
}

func (i *instance) targetsChanged(t []router.Target) {
	i.fleet.setTargets(t)
	i.dispatcher.SetTargets(t)
}

func (i *instance) bundleChanged(b *bundler.Bundle) {
	i.logger.Info().Uint64("version", uint64(b.Version)).Str("author", b.Author).Msg("bundle in force")
	i.dispatcher.SetBundle(b)
	i.shares.setBundle(b)
	i.grouper.SetBundle(b)
	version, document := i.bundles.EncodedDocument()
	i.linker.Broadcast(linker.BundleOffer{Version: version, Document: document})
}

// listed takes the platform's list.
func (i *instance) listed(l []storeclient.Listing) {
	i.linker.SetPeers(i.directory.peers(l))
	i.prober.SetListings(l)
}

// peersChanged tells the slices which instances of the own failure domain are in reach,
// and how many instances share the client accounts' limits. An instance that is out of
// reach may still serve, so it keeps its share.
func (i *instance) peersChanged() {
	near := []identifier.Instance{i.settings.Instance}
	all := 1
	for _, p := range i.linker.Peers() {
		if p.Leaving {
			continue
		}
		all++
		if p.Reachable && p.FailureDomain == i.settings.FailureDomain {
			near = append(near, p.Instance)
		}
	}
	i.dispatcher.SetInstanceCounts(len(near), all)
	i.shares.setPeers(i.linker.Peers())
	i.prober.SetPeers(near)
	i.grouper.SetPeers(near)
}

// receive takes a message of a peer.
func (i *instance) receive(from linker.Peer, m linker.Message) {
	switch m := m.(type) {
	case linker.BundleOffer:
		if err := i.bundles.OfferFrom(from.Instance, m.Document); err != nil {
			i.logger.Warn().Err(err).Str("peer", string(from.Instance)).Msg("bundle of a peer refused")
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

// newHTTP returns a server with the limits that every listener of the instance has.
func newHTTP(address string, h http.Handler) *http.Server {
	return &http.Server{Addr: address, Handler: h, ReadHeaderTimeout: 10 * time.Second, IdleTimeout: 2 * time.Minute}
}
