package bundler

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"go.opentelemetry.io/otel/metric"

	"amaranthmill/internal/identifier"
	"amaranthmill/internal/stepper"
	"amaranthmill/storeclient"
)

// CurrentKey is the platform's key of the signed document in force.
const CurrentKey = "bundles/current"

const defaultSettle = time.Second

// Platform is the part of the platform's service that a Store and a Registrar use. storeclient.Client is one.
type Platform interface {
	Get(ctx context.Context, key string) (storeclient.Entry, error)
	Create(ctx context.Context, key string, value []byte, lease storeclient.LeaseID) (storeclient.Entry, error)
	Swap(ctx context.Context, key string, revision uint64, value []byte) (storeclient.Entry, error)
	Delete(ctx context.Context, key string, revision uint64) error
	List(ctx context.Context, prefix string) ([]storeclient.Entry, error)
	Watch(ctx context.Context, prefix string, after uint64) (storeclient.Changes, error)
}

// Config configures a Store. Signers and Platform are required; every other zero value
// means the default named.
type Config struct {
	Signers  Signers // the names and public keys of those who may sign bundles off
	Platform Platform

	// SettleTime is the time from the start in which a bundle comes into force from peers only,
	// so that an instance that starts while the platform's service is set back gets the
	// higher version first. Default 1 s; a negative value means none.
	SettleTime time.Duration

	// OnRestore is told of a bundle that this instance wrote back to the platform. Default: none.
	OnRestore func(ctx context.Context, r Restore)

	Random rand.Source      // of jitter; default: seeded by the runtime
	Now    func() time.Time // default time.Now
	Logger zerolog.Logger   // the zero value logs nothing
	Meter  metric.Meter     // default: none
}

// Store holds the bundle in force on one instance. It is safe for concurrent use.
type Store struct {
	cfg     Config
	meters  meters
	steps   *stepper.Stepper[Event, Action]
	current atomic.Pointer[Document]
	restore chan Restore
	jitter  *rand.Rand // of the reads of the platform

	stepping sync.Mutex // guards refused, and one step with it
	refused  error      // by the present step

	mu        sync.Mutex // guards the fields below, and the order of notifications
	listeners []func(*Bundle)
	notified  identifier.BundleVersion
}

// NewStore returns a Store without a bundle. It makes no call before Run.
func NewStore(cfg Config) *Store {
	if cfg.Random == nil {
		cfg.Random = rand.NewPCG(rand.Uint64(), rand.Uint64())
	}
	s := &Store{cfg: cfg, restore: make(chan Restore, 1)}
	s.jitter = rand.New(rand.NewPCG(cfg.Random.Uint64(), cfg.Random.Uint64()))
	s.meters = newMeters(cfg.Meter, s.version)
	if cfg.SettleTime == 0 {
		cfg.SettleTime = defaultSettle
	}
	core := NewCore(cfg.Signers, cfg.SettleTime, cfg.Random)
	s.steps = stepper.New(stepper.Config[Event, Action]{Core: core, Handle: s.handle, Now: cfg.Now})
	return s
}

// Current returns the bundle in force, or nil if there is none yet. It is not to be changed.
func (s *Store) Current() *Bundle {
	if d := s.current.Load(); d != nil {
		return d.Bundle
	}
	return nil
}

// CurrentDocument returns the document in force, or nil if there is none yet. It is not to be changed.
func (s *Store) CurrentDocument() *Document { return s.current.Load() }

// EncodedDocument returns the signed document in force and its version, for a peer; or zero and nil.
func (s *Store) EncodedDocument() (identifier.BundleVersion, []byte) {
	if d := s.current.Load(); d != nil {
		return d.Bundle.Version, d.Encoded
	}
	return 0, nil
}

func (s *Store) version() identifier.BundleVersion {
	v, _ := s.EncodedDocument()
	return v
}

// OnChange has f called with each bundle that comes into force, in rising versions, and
// at once with the one in force if there is one. A version may be left out if a higher
// one follows at once. Calls do not overlap; f must not call OnChange, Offer or OfferFrom.
func (s *Store) OnChange(f func(*Bundle)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listeners = append(s.listeners, f)
	if b := s.Current(); b != nil {
		f(b)
	}
}

// Offer takes a signed document from a peer and applies it if its sign-off counts and
// its version is above the one in force. The error says why it was not applied; it is
// nil for the document in force.
func (s *Store) Offer(document []byte) error {
	return s.OfferFrom("", document)
}

// OfferFrom is Offer with the peer's name for the log.
func (s *Store) OfferFrom(from identifier.Instance, document []byte) error {
	return s.submit(Offered{From: from, Document: document})
}

// submit steps the core with e, tells the listeners of a new bundle and returns the
// reason of a refusal.
func (s *Store) submit(e Event) error {
	s.stepping.Lock()
	s.refused = nil
	s.steps.Submit(e)
	err := s.refused
	s.stepping.Unlock()
	s.notify()
	return err
}

// handle carries out one action. It runs under s.stepping.
func (s *Store) handle(a Action) {
	switch a := a.(type) {
	case Apply:
		s.current.Store(a.Document)
		s.meters.applied()
		s.cfg.Logger.Info().Uint64("version", uint64(a.Document.Bundle.Version)).Str("digest", a.Document.Digest.String()).
			Str("author", a.Document.Bundle.Author).Str("signer", a.Document.Signer).Msg("bundler: bundle in force")
	case Refuse:
		s.refuse(a)
	case Restore:
		select {
		case s.restore <- a:
		default: // one is waiting already
		}
	}
}

func (s *Store) refuse(a Refuse) {
	s.refused = a.Err
	s.meters.refused(a)
	from := string(a.From)
	if from == "" {
		from = "platform"
	}
	level := zerolog.DebugLevel
	if a.Alarm {
		level = zerolog.ErrorLevel
	}
	s.cfg.Logger.WithLevel(level).Str("from", from).Err(a.Err).Msg("bundler: bundle refused")
}

// notify tells the listeners of the bundle in force if they have not been told.
func (s *Store) notify() {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := s.Current()
	if b == nil || b.Version <= s.notified {
		return
	}
	s.notified = b.Version
	for _, f := range s.listeners {
		f(b)
	}
}
