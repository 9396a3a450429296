package load

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Config configures a run. Targets and Model are required; the run ends after Requests
// requests or after Duration, whichever is set and comes first.
type Config struct {
	Targets      []netip.AddrPort
	Key          string // the bearer key
	Model        string
	Adapter      string // that the model's answers are made with
	Prompt       string // prefix of each prompt
	Concurrency  int
	Requests     int
	Duration     time.Duration
	AnswerTokens int
	Timeout      time.Duration
	Epoch        string // sent as Mill-Epoch, when the target is an engine
	Progress     io.Writer
}

// Report is the result of a run. Latencies are in microseconds in Histogram's percentiles.
type Report struct {
	Sent        int            `json:"sent"`
	Answered    int            `json:"answered"`
	NotRun      int            `json:"notRun"`
	Unknown     int            `json:"unknown"`
	Cut         int            `json:"cut"`   // ended without an end mark and without an outcome
	Wrong       int            `json:"wrong"` // with an end mark, but not the whole own answer
	Refused     map[string]int `json:"refused,omitempty"`
	FirstByte   Percentiles    `json:"firstByte"`
	BetweenEach Percentiles    `json:"betweenTokens"`
	Elapsed     string         `json:"elapsed"`
}

// Percentiles of a latency, as text with units.
type Percentiles struct {
	P50 string `json:"p50"`
	P95 string `json:"p95"`
	P99 string `json:"p99"`
}

// Run sends the load and returns what came of it.
func Run(ctx context.Context, cfg Config) *Report {
	r := &runner{cfg: cfg, first: newHistogram(), between: newHistogram()}
	r.report.Refused = map[string]int{}
	transport := &http.Transport{MaxIdleConnsPerHost: max(cfg.Concurrency, 2)}
	r.client = &http.Client{Transport: transport}
	if cfg.Duration > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, cfg.Duration)
		defer cancel()
	}
	start := time.Now()
	r.choose(ctx)
	go r.balance(ctx)
	var wg sync.WaitGroup
	for range max(cfg.Concurrency, 1) {
		wg.Go(func() { r.work(ctx) })
	}
	wg.Wait()
	r.report.Elapsed = time.Since(start).Round(time.Millisecond).String()
	r.report.FirstByte, r.report.BetweenEach = percentiles(r.first), percentiles(r.between)
	return &r.report
}

func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, 60_000_000, 3) }

func percentiles(h *hdrhistogram.Histogram) Percentiles {
	at := func(q float64) string {
		return (time.Duration(h.ValueAtQuantile(q)) * time.Microsecond).String()
	}
	return Percentiles{P50: at(50), P95: at(95), P99: at(99)}
}

type runner struct {
	cfg     Config
	client  *http.Client
	next    atomic.Int64
	ready   atomic.Pointer[[]netip.AddrPort]
	mu      sync.Mutex
	report  Report
	first   *hdrhistogram.Histogram
	between *hdrhistogram.Histogram
}

// balance asks the targets for their readiness as the platform's balancer does.
func (r *runner) balance(ctx context.Context) {
	t := time.NewTicker(200 * time.Millisecond)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			r.choose(ctx)
		}
	}
}

func (r *runner) choose(ctx context.Context) {
	var ready []netip.AddrPort
	for _, a := range r.cfg.Targets {
		if r.cfg.Epoch != "" || r.isReady(ctx, a) {
			ready = append(ready, a)
		}
	}
	if ctx.Err() == nil {
		r.ready.Store(&ready)
	}
}

func (r *runner) isReady(ctx context.Context, a netip.AddrPort) bool {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("http://%s/readyz", a), nil)
	if err != nil {
		return false
	}
	res, err := r.client.Do(req)
	if err != nil {
		return false
	}
	res.Body.Close()
	return res.StatusCode == http.StatusOK
}

func (r *runner) work(ctx context.Context) {
	for ctx.Err() == nil {
		i := int(r.next.Add(1))
		if r.cfg.Requests > 0 && i > r.cfg.Requests {
			return
		}
		ready := *r.ready.Load()
		if len(ready) == 0 {
			time.Sleep(50 * time.Millisecond)
			continue
		}
		o := r.send(ready[i%len(ready)], i)
		r.record(o)
		if o.retryAfter > 0 {
			time.Sleep(o.retryAfter)
		}
	}
}

func (r *runner) record(o outcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.report.Sent++
	switch o.kind {
	case "answered":
		r.report.Answered++
		_ = r.first.RecordValue(max(o.first.Microseconds(), 1))
		for _, d := range o.between {
			_ = r.between.RecordValue(max(d.Microseconds(), 1))
		}
	case "notRun":
		r.report.NotRun++
	case "unknown":
		r.report.Unknown++
	case "wrong":
		r.report.Wrong++
	default:
		r.report.Cut++
	}
	if o.reason != "" {
		r.report.Refused[o.reason]++
	}
	if r.cfg.Progress != nil && r.report.Sent%500 == 0 {
		fmt.Fprintf(r.cfg.Progress, "load: %d sent, %d answered\n", r.report.Sent, r.report.Answered)
	}
}
