package logwriter

import (
	"context"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"amaranthmill/internal/defaulter"
)

// Defaults of Config.
const (
	defaultCapacity = 512 << 10
	defaultEvery    = 100 * time.Millisecond
	defaultSample   = 8
)

// Config configures a Writer. Out is required; the zero value of each other field takes the default named.
type Config struct {
	Out         io.Writer
	Capacity    int           // bytes that wait to be written; 512 KiB. Ordinary lines use half of it.
	Interval    time.Duration // between two writes; 100 ms
	SampleEvery int           // one ordinary line in so many is kept while the queue is over a quarter full; 8
}

// Writer is a zerolog.LevelWriter that never blocks. It is safe for concurrent use.
type Writer struct {
	cfg Config

	mu      sync.Mutex // guards the fields below
	queue   []byte
	spare   []byte // the buffer that was written last
	skipped int    // ordinary lines left out since the last one kept
	dropped Dropped
	told    Dropped
}

// Dropped counts lines that were left out.
type Dropped struct {
	Ordinary uint64 // at info level or below
	Severe   uint64 // at warn level or above
}

// New returns a Writer for cfg. Lines are written while Run runs, and by Flush.
func New(cfg Config) *Writer {
	defaulter.Set(&cfg.Capacity, defaultCapacity)
	defaulter.Set(&cfg.Interval, defaultEvery)
	defaulter.Set(&cfg.SampleEvery, defaultSample)
	return &Writer{cfg: cfg}
}

var _ zerolog.LevelWriter = (*Writer)(nil)

// Write queues a line without a level. It returns no error.
func (r *Writer) Write(line []byte) (int, error) { return r.WriteLevel(zerolog.NoLevel, line) }

// WriteLevel queues a line or leaves it out. It returns no error.
func (r *Writer) WriteLevel(level zerolog.Level, line []byte) (int, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.keeps(level, len(line)) {
		r.queue = append(r.queue, line...)
	}
	return len(line), nil
}

// keeps decides whether a line is queued, and counts it if it is not.
func (r *Writer) keeps(level zerolog.Level, size int) bool {
	after := len(r.queue) + size
	if level >= zerolog.WarnLevel && level != zerolog.NoLevel {
		if after <= r.cfg.Capacity {
			return true
		}
		r.dropped.Severe++
		return false
	}
	if after <= r.cfg.Capacity/4 {
		return true
	}
	r.skipped++
	if after <= r.cfg.Capacity/2 && r.skipped >= r.cfg.SampleEvery {
		r.skipped = 0
		return true
	}
	r.dropped.Ordinary++
	return false
}

// Dropped returns how many lines were left out so far.
func (r *Writer) Dropped() Dropped {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.dropped
}

// Run writes the queue out at intervals until ctx ends, and once more then. It returns nil.
func (r *Writer) Run(ctx context.Context) error {
	t := time.NewTicker(r.cfg.Interval)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			r.Flush()
		case <-ctx.Done():
			r.Flush()
			return nil
		}
	}
}

// Flush writes the queue out. An error of the output is not returned, since there is nowhere to tell it.
func (r *Writer) Flush() {
	r.mu.Lock()
	out := r.queue
	if now := r.dropped; now != r.told {
		out = fmt.Appendf(out, `{"level":"warn","ordinary":%d,"severe":%d,"message":"log lines dropped"}`+"\n", now.Ordinary-r.told.Ordinary, now.Severe-r.told.Severe)
		r.told = now
	}
	r.queue, r.spare = r.spare[:0], nil
	r.mu.Unlock()
	if len(out) > 0 {
		_, _ = r.cfg.Out.Write(out)
	}
	r.mu.Lock()
	r.spare = out[:0]
	r.mu.Unlock()
}
