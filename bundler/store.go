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

const defaultSettleTime = time.Second

// Platform is the part of the platform's key-value store that a Store and a Registrar use.
// storeclient.Client implements it.
type Platform interface {
	Get(ctx context.Context, key string) (storeclient.Entry, error)
	Create(ctx context.Context, key string, value []byte, lease storeclient.LeaseID) (storeclient.Entry, error)
	Swap(ctx context.Context, key string, revision uint64, value []byte) (storeclient.Entry, error)
	Delete(ctx context.Context, key string, revision uint64) error
	List(ctx context.Context, prefix string) ([]storeclient.Entry, error)
	Watch(ctx context.Context, prefix string, after uint64) (storeclient.Changes, error)
}

// Config configures a Store. Signers and Platform are required; a zero value in another
// field selects its default.
type Config struct {
	Signers  Signers // public keys of the persons who may sign bundles off, by name
	Platform Platform

	// SettleTime is the time after the start during which an instance without a bundle applies
	// documents from peers only. If the platform's store holds an older backup, the instance
	// can thus receive the higher version first. Default 1 s; a negative value means none.
	SettleTime time.Duration

	// OnRestore is called after this instance wrote a bundle back to the platform. Default: none.
	OnRestore func(ctx context.Context, r Restore)

	Random rand.Source      // source of jitter; default: seeded by the runtime
	Now    func() time.Time // default time.Now
	Logger zerolog.Logger   // the zero value logs nothing
	Meter  metric.Meter     // default: none
}

// Store holds the bundle in force on one instance. It is safe for concurrent use.
type Store struct {
	cfg      Config
	meters   meters
	stepper  *stepper.Stepper[Event, Action]
	current  atomic.Pointer[Document]
	restores chan Restore
	jitter   *rand.Rand // varies the delay of retries; used only by follow

	stepMu  sync.Mutex // held during a step; guards refusal
	refusal error      // cause of a refusal in the current step; nil if there is none

	mu              sync.Mutex // guards the fields below and serializes notifications
	listeners       []func(*Bundle)
	notifiedVersion identifier.BundleVersion
}

// NewStore returns a Store without a bundle. It makes no call before Run.
func NewStore(cfg Config) *Store {
	if cfg.Random == nil {
		cfg.Random = rand.NewPCG(rand.Uint64(), rand.Uint64())
	}
	s := &Store{cfg: cfg, restores: make(chan Restore, 1)}
	s.jitter = rand.New(rand.NewPCG(cfg.Random.Uint64(), cfg.Random.Uint64()))
	s.meters = newMeters(cfg.Meter, s.version)
	if cfg.SettleTime == 0 {
		cfg.SettleTime = defaultSettleTime
	}
	core := NewCore(cfg.Signers, cfg.SettleTime, cfg.Random)
	s.stepper = stepper.New(stepper.Config[Event, Action]{Core: core, Handle: s.handle, Now: cfg.Now})
	return s
}

// Current returns the bundle in force, or nil if there is none yet. Callers must not modify it.
func (s *Store) Current() *Bundle {
	if d := s.current.Load(); d != nil {
		return d.Bundle
	}
	return nil
}

// CurrentDocument returns the document in force, or nil if there is none yet. Callers must
// not modify it.
func (s *Store) CurrentDocument() *Document { return s.current.Load() }

// EncodedDocument returns the version in force and its signed document in the form that
// peers exchange. It returns zero and nil if no document is in force.
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

// OnChange registers f. If a bundle is in force, OnChange calls f with it at once. Later, f
// is called with each bundle that comes into force, in ascending order of version; a version
// is skipped if a higher one comes into force before the notification. Calls do not overlap;
// f must not call OnChange, Offer or OfferFrom.
func (s *Store) OnChange(f func(*Bundle)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listeners = append(s.listeners, f)
	if b := s.Current(); b != nil {
		f(b)
	}
}

// Offer applies a signed document from a peer if its sign-off is valid and its version is
// higher than the one in force. The error is the reason why the document was not applied;
// it is nil for a document whose content is in force.
func (s *Store) Offer(document []byte) error {
	return s.OfferFrom("", document)
}

// OfferFrom is Offer with the name of the peer, which is logged with a refusal.
func (s *Store) OfferFrom(from identifier.Instance, document []byte) error {
	return s.submit(Offered{From: from, Document: document})
}

// submit steps the core with e, notifies the listeners of a new bundle and returns the cause
// of a refusal.
func (s *Store) submit(e Event) error {
	s.stepMu.Lock()
	s.refusal = nil
	s.stepper.Submit(e)
	err := s.refusal
	s.stepMu.Unlock()
	s.notify()
	return err
}

// handle carries out one action. The caller holds s.stepMu.
func (s *Store) handle(a Action) {
	switch a := a.(type) {
	case Apply:
		s.current.Store(a.Document)
		s.meters.countApplied()
		s.cfg.Logger.Info().Uint64("version", uint64(a.Document.Bundle.Version)).Str("digest", a.Document.Digest.String()).
			Str("author", a.Document.Bundle.Author).Str("signer", a.Document.Signer).Msg("bundler: bundle in force")
	case Refuse:
		s.reportRefusal(a)
	case Restore:
		select {
		case s.restores <- a:
		default: // a restore is pending already
		}
	}
}

func (s *Store) reportRefusal(a Refuse) {
	s.refusal = a.Err
	s.meters.countRefused(a)
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

// notify calls the listeners with the bundle in force unless they were notified of it.
func (s *Store) notify() {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := s.Current()
	if b == nil || b.Version <= s.notifiedVersion {
		return
	}
	s.notifiedVersion = b.Version
	for _, f := range s.listeners {
		f(b)
	}
}
