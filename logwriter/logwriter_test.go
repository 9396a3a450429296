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

// TestPressure holds that under pressure ordinary lines are sampled and then left out, that
// lines on what went wrong go last, and that a line says how many were dropped.
func TestPressure(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	r := logwriter.New(logwriter.Config{Out: &out, Capacity: 8000, SampleEvery: 4})
	line := func(n int) []byte { return fmt.Appendf(nil, "%099d\n", n) }
	for n := range 100 {
		_, err := r.WriteLevel(zerolog.InfoLevel, line(n))
		is.NoErr(err)
	}
	is.Equal(r.Dropped(), logwriter.Dropped{Ordinary: 100 - 20 - 20}) // a quarter in full, then one in four up to a half
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

// blocked is an output that does not take anything until it is told to.
type blocked struct{ release chan struct{} }

func (b blocked) Write(p []byte) (int, error) {
	<-b.release
	return len(p), nil
}

// TestNeverBlocks holds that a writer goes on while the output is stuck.
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

// BenchmarkWriteLevel measures what a line costs the request that writes it.
func BenchmarkWriteLevel(b *testing.B) {
	r := logwriter.New(logwriter.Config{Out: &bytes.Buffer{}})
	logger := zerolog.New(r)
	b.ReportAllocs()
	for b.Loop() {
		logger.Info().Str("request", "9c41d07be2a35f68").Str("route", "r-1").Int("attempt", 1).Msg("placed")
	}
}
