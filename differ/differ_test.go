package differ_test

import (
	"bytes"
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"

	"amaranthmill/differ"
)

// routes returns a value of about 235 bytes per route, which names its version.
func routes(n, version int) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, `{"version":%d,"routes":[`, version)
	for i := range n {
		if i > 0 {
			b.WriteByte(',')
		}
		fmt.Fprintf(&b, `{"name":"route-%04d","host":"h%d.example.org","prefix":"/svc-%d/","kind":"stream","timeoutMs":%d,"latencyGoalMs":300,"gapTargetMs":200,"priority":%d,"service":"guides","trafficSplit":[],"maxAttempts":2,"public":false,"sticky":true,"resumable":true}`,
			i, (i*7919+13)%997, i, 6000+(i*31)%2000, i%3)
	}
	b.WriteString(`]}`)
	return b.Bytes()
}

// TestRoundTrip checks values with and without a base, of sizes on both sides of the smallest window, from
// one encoder and one decoder: state that a call leaves behind must not change the result of the next one.
func TestRoundTrip(t *testing.T) {
	is := is.New(t)
	var e differ.Encoder
	var d differ.Decoder
	random := rand.New(rand.NewPCG(1, 2))
	noise := make([]byte, 3<<20)
	for i := range noise {
		noise[i] = byte(random.Uint32())
	}
	values := [][]byte{routes(1640, 1), routes(1641, 2), nil, []byte("x"), noise, append(bytes.Clone(noise), 'x'), routes(10, 3)}
	for _, value := range values {
		for _, base := range values {
			compressed, err := e.Encode(value, base)
			is.NoErr(err)
			got, err := d.Decode(compressed, base, len(value), differ.Sum(value))
			is.NoErr(err)
			is.True(bytes.Equal(got, value))
		}
	}
	whole, err := e.Encode(values[1], nil)
	is.NoErr(err)
	difference, err := e.Encode(values[1], values[0])
	is.NoErr(err)
	is.True(len(difference)*10 < len(whole)) // a difference is much smaller than a whole value
}

// TestWrongBase checks that a value that is decoded with another base than it was encoded with is
// never taken for the value.
func TestWrongBase(t *testing.T) {
	is := is.New(t)
	var e differ.Encoder
	var d differ.Decoder
	value, base := routes(1640, 9), routes(1639, 8)
	other := bytes.ReplaceAll(base, []byte("guides"), []byte("holds!"))
	compressed, err := e.Encode(value, base)
	is.NoErr(err)
	_, err = d.Decode(compressed, other, len(value), differ.Sum(value))
	var sum *differ.SumError
	is.True(errors.As(err, &sum))
	_, err = d.Decode(compressed, nil, len(value), differ.Sum(value))
	is.True(err != nil)
	_, err = d.Decode(compressed[:len(compressed)/2], base, len(value), differ.Sum(value))
	is.True(err != nil)
	got, err := d.Decode(compressed, base, len(value), differ.Sum(value))
	is.NoErr(err)
	is.True(bytes.Equal(got, value)) // the failures before leave no trace
}

// BenchmarkVersion measures what one new version of 1,640 routes costs the sender and the receiver.
func BenchmarkVersion(b *testing.B) {
	base, value := routes(1640, 10), routes(1641, 11)
	for _, c := range []struct {
		name string
		base []byte
	}{{"whole", nil}, {"difference", base}} {
		b.Run("encode/"+c.name, func(b *testing.B) {
			var e differ.Encoder
			var out []byte
			b.ReportAllocs()
			for b.Loop() {
				out, _ = e.Encode(value, c.base)
			}
			b.ReportMetric(float64(len(out)), "B/version")
		})
		b.Run("decode/"+c.name, func(b *testing.B) {
			var e differ.Encoder
			var d differ.Decoder
			compressed, _ := e.Encode(value, c.base)
			sum := differ.Sum(value)
			b.ReportAllocs()
			for b.Loop() {
				if _, err := d.Decode(compressed, c.base, len(value), sum); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
