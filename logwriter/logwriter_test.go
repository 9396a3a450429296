package logwriter_test

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"amaranthmill/logwriter"
)

// TestFullQueue checks that ordinary lines are sampled and then dropped as the queue fills, that
// severe lines are dropped last, and that a log line reports the numbers of dropped lines.
func TestFullQueue(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	r := logwriter.New(logwriter.Config{Out: &out, Capacity: 8000, SampleEvery: 4})
	line := func(n int) []byte { return fmt.Appendf(nil, "%099d\n", n) }
	for n := range 100 {
		_, err := r.WriteLevel(zerolog.InfoLevel, line(n))
		is.NoErr(err)
	}
	is.Equal(r.Dropped(), logwriter.Dropped{Ordinary: 100 - 20 - 20}) // 20 lines fill a quarter of the queue; of the next 80 lines, one in four is kept until half is full
	for n := range 100 {
		_, _ = r.WriteLevel(zerolog.WarnLevel, line(n))
	}
	is.Equal(r.Dropped(), logwriter.Dropped{Ordinary: 60, Severe: 60})
	r.Flush()
	is.True(strings.Contains(out.String(), `"ordinary":60,"severe":60,"message":"log lines dropped"`))
	out.Reset()
	_, _ = r.WriteLevel(zerolog.InfoLevel, line(1))
	r.Flush()
	is.Equal(out.String(), string(line(1)))
}

// blocked is an output whose writes block until release is closed.
type blocked struct{ release chan struct{} }

func (b blocked) Write(p []byte) (int, error) {
	<-b.release
	return len(p), nil
}

// TestNeverBlocks checks that writing a line does not block while the output does.
func TestNeverBlocks(t *testing.T) {
	is := is.New(t)
	b := blocked{make(chan struct{})}
	r := logwriter.New(logwriter.Config{Out: b, Capacity: 1000})
	_, _ = r.WriteLevel(zerolog.WarnLevel, []byte("first\n"))
	done := make(chan struct{})
	go func() {
		defer close(done)
		r.Flush()
	}()
	for range 1000 {
		_, err := r.WriteLevel(zerolog.WarnLevel, []byte("more\n"))
		is.NoErr(err)
	}
	close(b.release)
	<-done
	is.True(r.Dropped().Severe > 0)
}

// BenchmarkWriteLevel measures the cost of a log line to the request that writes it.
func BenchmarkWriteLevel(b *testing.B) {
	r := logwriter.New(logwriter.Config{Out: &bytes.Buffer{}})
	logger := zerolog.New(r)
	b.ReportAllocs()
	for b.Loop() {
		logger.Info().Str("request", "9c41d07be2a35f68").Str("route", "r-1").Int("attempt", 1).Msg("placed")
	}
}
