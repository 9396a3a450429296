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
	defaultCapacity    = 512 << 10
	defaultInterval    = 100 * time.Millisecond
	defaultSampleEvery = 8
)

// Config configures a Writer. Out is required; the zero value of each other field means the default given.
type Config struct {
	Out         io.Writer
	Capacity    int           // maximum size of the queue in bytes, of which ordinary lines use up to half; default 512 KiB
	Interval    time.Duration // time between two writes; default 100 ms
	SampleEvery int           // while the queue is over a quarter full, one of SampleEvery ordinary lines is kept; default 8
}

// Writer is a zerolog.LevelWriter that never blocks. It is safe for concurrent use.
type Writer struct {
	cfg Config

	mu          sync.Mutex // guards the fields below
	queue       []byte     // lines to be written
	spareBuffer []byte     // buffer of the last write, reused for the next queue
	skipped     int        // ordinary lines dropped since the last sampled line
	dropped     Dropped    // lines dropped so far
	reported    Dropped    // value of dropped in the last report
}

// Dropped counts dropped lines.
type Dropped struct {
	Ordinary uint64 // at info level or below
	Severe   uint64 // at warn level or above
}

// New returns a Writer for cfg. Run and Flush write the lines to the output.
func New(cfg Config) *Writer {
	defaulter.Set(&cfg.Capacity, defaultCapacity)
	defaulter.Set(&cfg.Interval, defaultInterval)
	defaulter.Set(&cfg.SampleEvery, defaultSampleEvery)
	return &Writer{cfg: cfg}
}

var _ zerolog.LevelWriter = (*Writer)(nil)

// Write queues a line without a level. It returns no error.
func (w *Writer) Write(line []byte) (int, error) { return w.WriteLevel(zerolog.NoLevel, line) }

// WriteLevel queues a line or drops it. It returns no error.
func (w *Writer) WriteLevel(level zerolog.Level, line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.admit(level, len(line)) {
		w.queue = append(w.queue, line...)
	}
	return len(line), nil
}

// admit reports whether a line is to be queued, and counts the line as dropped otherwise.
func (w *Writer) admit(level zerolog.Level, length int) bool {
	queuedBytes := len(w.queue) + length
	if level >= zerolog.WarnLevel && level != zerolog.NoLevel {
		if queuedBytes <= w.cfg.Capacity {
			return true
		}
		w.dropped.Severe++
		return false
	}
	if queuedBytes <= w.cfg.Capacity/4 {
		return true
	}
	w.skipped++
	if queuedBytes <= w.cfg.Capacity/2 && w.skipped >= w.cfg.SampleEvery {
		w.skipped = 0
		return true
	}
	w.dropped.Ordinary++
	return false
}

// Dropped returns the number of lines dropped so far.
func (w *Writer) Dropped() Dropped {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.dropped
}

// Run writes the queue to the output every Interval until ctx ends, and once at the end. It returns nil.
func (w *Writer) Run(ctx context.Context) error {
	ticker := time.NewTicker(w.cfg.Interval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			w.Flush()
		case <-ctx.Done():
			w.Flush()
			return nil
		}
	}
}

// Flush writes the queue to the output. It ignores write errors, because there is no other place to report them.
func (w *Writer) Flush() {
	w.mu.Lock()
	out := w.queue
	if now := w.dropped; now != w.reported {
		out = fmt.Appendf(out, `{"level":"warn","ordinary":%d,"severe":%d,"message":"log lines dropped"}`+"\n", now.Ordinary-w.reported.Ordinary, now.Severe-w.reported.Severe)
		w.reported = now
	}
	w.queue, w.spareBuffer = w.spareBuffer[:0], nil
	w.mu.Unlock()
	if len(out) > 0 {
		_, _ = w.cfg.Out.Write(out)
	}
	w.mu.Lock()
	w.spareBuffer = out[:0]
	w.mu.Unlock()
}
