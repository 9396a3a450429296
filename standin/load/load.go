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

// Config configures a run. Targets and Model are required. The run ends after Requests
// requests or after Duration. If both are set, the one reached first ends the run.
type Config struct {
	Targets      []netip.AddrPort
	Key          string // sent as the bearer token
	Model        string
	Adapter      string // adapter with which the model answers
	Prompt       string // prefix of each prompt
	Concurrency  int
	Requests     int
	Duration     time.Duration
	AnswerTokens int           // max_tokens of each request
	Timeout      time.Duration // sent as Mill-Timeout; 0 sends none
	Epoch        string        // sent as Mill-Epoch if the targets are engines; empty otherwise
	Progress     io.Writer
}

// Report is the result of a run: the number of requests by outcome, the reasons of those that
// were not answered, and the latencies of those that were.
type Report struct {
	Sent        int            `json:"sent"`
	Answered    int            `json:"answered"`
	NotRun      int            `json:"notRun"`
	Unknown     int            `json:"unknown"`
	Cut         int            `json:"cut"`   // ended without an end mark and without a known outcome
	Wrong       int            `json:"wrong"` // malformed, or ended with an end mark but with a text other than expected
	Refused     map[string]int `json:"refused,omitempty"`
	FirstByte   Percentiles    `json:"firstByte"`
	BetweenEach Percentiles    `json:"betweenTokens"`
	Elapsed     string         `json:"elapsed"`
}

// Percentiles holds percentiles of a latency, written with their units.
type Percentiles struct {
	P50 string `json:"p50"`
	P95 string `json:"p95"`
	P99 string `json:"p99"`
}

// Run sends the load and returns the report.
func Run(ctx context.Context, cfg Config) *Report {
	r := &runner{cfg: cfg, firstByte: newHistogram(), betweenTokens: newHistogram()}
	r.report.Refused = map[string]int{}
	transport := &http.Transport{MaxIdleConnsPerHost: max(cfg.Concurrency, 2)}
	r.client = &http.Client{Transport: transport}
	if cfg.Duration > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, cfg.Duration)
		defer cancel()
	}
	start := time.Now()
	r.updateReady(ctx)
	go r.pollReadiness(ctx)
	var wg sync.WaitGroup
	for range max(cfg.Concurrency, 1) {
		wg.Go(func() { r.sendUntilDone(ctx) })
	}
	wg.Wait()
	r.report.Elapsed = time.Since(start).Round(time.Millisecond).String()
	r.report.FirstByte, r.report.BetweenEach = percentiles(r.firstByte), percentiles(r.betweenTokens)
	return &r.report
}

// newHistogram returns a histogram of latencies from 1 µs to 60 s, in microseconds.
func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, 60_000_000, 3) }

func percentiles(h *hdrhistogram.Histogram) Percentiles {
	quantile := func(q float64) string {
		return (time.Duration(h.ValueAtQuantile(q)) * time.Microsecond).String()
	}
	return Percentiles{P50: quantile(50), P95: quantile(95), P99: quantile(99)}
}

type runner struct {
	cfg           Config
	client        *http.Client
	lastRequest   atomic.Int64                     // number of the latest request
	ready         atomic.Pointer[[]netip.AddrPort] // targets that were ready at the latest poll
	mu            sync.Mutex
	report        Report
	firstByte     *hdrhistogram.Histogram
	betweenTokens *hdrhistogram.Histogram
}

// pollReadiness updates the ready targets every 200 ms, as the platform's load balancer does.
func (r *runner) pollReadiness(ctx context.Context) {
	t := time.NewTicker(200 * time.Millisecond)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			r.updateReady(ctx)
		}
	}
}

// updateReady stores the targets that are ready. An engine has no readiness check and always
// counts as ready.
func (r *runner) updateReady(ctx context.Context) {
	var ready []netip.AddrPort
	for _, target := range r.cfg.Targets {
		if r.cfg.Epoch != "" || r.isReady(ctx, target) {
			ready = append(ready, target)
		}
	}
	if ctx.Err() == nil {
		r.ready.Store(&ready)
	}
}

func (r *runner) isReady(ctx context.Context, target netip.AddrPort) bool {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("http://%s/readyz", target), nil)
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

// sendUntilDone sends one request after another to the ready targets in turn, until the run
// ends. After a refusal it waits for the time that the response gives in Retry-After.
func (r *runner) sendUntilDone(ctx context.Context) {
	for ctx.Err() == nil {
		i := int(r.lastRequest.Add(1))
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

// record adds the outcome of a request to the report. A kind without a counter counts as cut.
func (r *runner) record(o outcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.report.Sent++
	switch o.kind {
	case "answered":
		r.report.Answered++
		_ = r.firstByte.RecordValue(max(o.firstByte.Microseconds(), 1))
		for _, d := range o.betweenTokens {
			_ = r.betweenTokens.RecordValue(max(d.Microseconds(), 1))
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
