package messenger

import (
	"context"
	"math"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"time"

	"amaranthmill/internal/formatter"
	"amaranthmill/internal/identifier"
	"amaranthmill/scheduler"
)

// limitBoardTTL is the age from which what this instance last knew about a limit is not passed on.
const limitBoardTTL = 30 * time.Second

// limitBoard holds what this instance last knew about the limits of endpoints.
type limitBoard struct {
	mu   sync.Mutex
	news []scheduler.LimitNews
	at   time.Time // when news was current
}

// set replaces what is known.
func (b *limitBoard) set(now time.Time, news []scheduler.LimitNews) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.news, b.at = news, now
}

// current returns what is known, with its age at now.
func (b *limitBoard) current(now time.Time) []scheduler.LimitNews {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []scheduler.LimitNews
	for _, n := range b.news {
		passed := now.Sub(b.at)
		n.Age += passed
		if n.Source != scheduler.LimitNamed {
			n.ColdFor -= passed
		}
		if n.Age < limitBoardTTL && n.ColdFor >= 0 {
			out = append(out, n)
		}
	}
	return out
}

// limitWire is the wire form of scheduler.LimitNews.
type limitWire struct {
	Endpoint     identifier.Endpoint     `json:"endpoint"`
	ProcessStart identifier.ProcessStart `json:"processStart"`
	PerSecond    float64                 `json:"perSecond"` // coldWire if the limit is that of a cold process
	Age          formatter.Duration      `json:"age"`
	Cold         *coldLimitWire          `json:"cold,omitempty"`
}

// coldWire is the number of requests per second in the element of a cold process. Instances that do not know the field
// cold leave out elements with such a number, instead of taking them for the end of a named limit.
const coldWire = -1

// coldLimitWire is the limit of a cold process.
type coldLimitWire struct {
	PerSecond float64            `json:"perSecond"`
	Left      formatter.Duration `json:"left"` // remaining cold time
	FromEntry bool               `json:"fromEntry,omitempty"`
	Restored  bool               `json:"restored,omitempty"` // an evacuation has ended
}

func encodeLimits(news []scheduler.LimitNews) []limitWire {
	out := make([]limitWire, len(news))
	for i, n := range news {
		out[i] = limitWire{Endpoint: n.Process.Endpoint, ProcessStart: n.Process.Start, PerSecond: n.PerSecond, Age: formatter.Duration(n.Age)}
		if n.Source != scheduler.LimitNamed {
			out[i].PerSecond = coldWire
			out[i].Cold = &coldLimitWire{PerSecond: n.PerSecond, Left: formatter.Duration(n.ColdFor), FromEntry: n.Source == scheduler.LimitColdEntry, Restored: n.Source == scheduler.LimitColdRestored}
		}
	}
	return out
}

// decodeLimits decodes what a peer knows about limits. It leaves out what is malformed: a limit that is no
// number from zero, or an age below zero.
func decodeLimits(limits []limitWire) []scheduler.LimitNews {
	var out []scheduler.LimitNews
	for _, l := range limits {
		n := scheduler.LimitNews{Process: identifier.Process{Endpoint: l.Endpoint, Start: l.ProcessStart}, PerSecond: l.PerSecond, Age: l.Age.Std()}
		if c := l.Cold; c != nil {
			n.PerSecond, n.ColdFor, n.Source = c.PerSecond, c.Left.Std(), scheduler.LimitColdAnswer
			switch {
			case c.FromEntry:
				n.Source = scheduler.LimitColdEntry
			case c.Restored:
				n.Source = scheduler.LimitColdRestored
			}
		}
		if n.PerSecond < 0 || math.IsNaN(n.PerSecond) || n.Age < 0 || n.ColdFor < 0 {
			continue
		}
		out = append(out, n)
	}
	return out
}

// ExchangeLimits replaces what peers are told about the limits of endpoints, and exchanges it with one peer
// chosen at random, so that news reaches n instances within about log2(n) calls of each of them.
func (m *Messenger) ExchangeLimits(ctx context.Context, news []scheduler.LimitNews) {
	m.limits.set(time.Now(), news)
	peers := m.cfg.Peers.All()
	news = withoutEntries(news)
	if len(peers) == 0 || len(news) == 0 {
		return
	}
	m.exchangeLimits(ctx, peers[rand.IntN(len(peers))], news)
}

// queriedPeers is the number of peers that QueryLimits asks. One of them may be gone, or have started a moment ago too.
const queriedPeers = 3

// QueryLimits asks a few peers, chosen at random, at the same time what they know about the limits of endpoints. It returns when all have
// answered or failed.
func (m *Messenger) QueryLimits(ctx context.Context) {
	peers := slices.Clone(m.cfg.Peers.All())
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	var calls sync.WaitGroup
	for _, p := range peers[:min(len(peers), queriedPeers)] {
		calls.Go(func() { m.exchangeLimits(ctx, p, nil) })
	}
	calls.Wait()
}

// exchangeLimits tells a peer news of limits, and passes on what it answers.
func (m *Messenger) exchangeLimits(ctx context.Context, p Peer, news []scheduler.LimitNews) {
	ctx, cancel := context.WithTimeout(ctx, m.cfg.Timeout)
	defer cancel()
	var answer []limitWire
	if err := m.exchange(ctx, p, http.MethodPost, pathLimits, encodeLimits(news), &answer); err != nil {
		m.cfg.Logger.Debug().Err(err).Str("peer", string(p.Instance)).Msg("limits not exchanged with a peer; exchanging them with another one next")
		return
	}
	m.cfg.OnLimits(decodeLimits(answer))
}

func (m *Messenger) serveLimits(w http.ResponseWriter, r *http.Request) {
	var limits []limitWire
	if !readBody(w, r, &limits) {
		return
	}
	m.cfg.OnLimits(decodeLimits(limits))
	m.writeJSON(w, encodeLimits(withoutEntries(m.limits.current(time.Now()))))
}

// withoutEntries leaves out what each instance reads in the entries of endpoints.
func withoutEntries(news []scheduler.LimitNews) []scheduler.LimitNews {
	return slices.DeleteFunc(slices.Clone(news), func(n scheduler.LimitNews) bool { return n.Source == scheduler.LimitColdEntry })
}

// serveLimitList answers the operator with what this instance knows about limits.
func (m *Messenger) serveLimitList(w http.ResponseWriter, _ *http.Request) {
	m.writeJSON(w, encodeLimits(m.limits.current(time.Now())))
}

// Limits returns the limits that endpoints name, those of cold endpoints, and those that ended less than half a minute ago with
// zero requests per second, as the instance that answers peers at an address knows them. Its error
// is *StatusError or an error of the HTTP exchange.
func (o Operator) Limits(ctx context.Context, address netip.AddrPort) ([]scheduler.LimitNews, error) {
	var list []limitWire
	if err := o.exchange(ctx, address, http.MethodGet, pathLimits, &list); err != nil {
		return nil, err
	}
	return decodeLimits(list), nil
}
