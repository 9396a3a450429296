package differ

import (
	"fmt"
	"math/bits"
	"sync"

	"github.com/cespare/xxhash/v2"
	"github.com/klauspost/compress/zstd"
)

// MaxSize is the largest value that Decode returns, in bytes.
const MaxSize = 16 << 20

// Window sizes of the encoder in bytes. The window covers the dictionary and the value, because a match
// outside of it is not found.
const (
	minWindow = 1 << 20
	maxWindow = 8 << 20
)

// dictionaryID marks a frame that was compressed with a dictionary.
const dictionaryID = 1

// Sum returns the checksum by which a receiver checks a decoded value.
func Sum(value []byte) uint64 { return xxhash.Sum64(value) }

// SumError reports that a decoded value is not the one that was encoded, for example because the two sides
// hold different bases.
type SumError struct{ Want, Got uint64 }

func (e *SumError) Error() string {
	return fmt.Sprintf("differ: the checksum of the value is %016x, not %016x", e.Got, e.Want)
}

// Encoder compresses values. The zero value is ready for use. It is safe for concurrent use; calls run one
// after the other, so that several callers take no more than one core and one set of tables.
type Encoder struct {
	mu          sync.Mutex      // guards the fields below
	whole       windowedEncoder // without a base
	differences windowedEncoder // it holds on to its last base, because an encoder that gives its dictionary up allocates its tables anew, 3.7 MB
}

// windowedEncoder is an encoder with its window size; encoder is nil before the first use.
type windowedEncoder struct {
	window  int
	encoder *zstd.Encoder
}

// Encode returns value in compressed form. With a base that is not empty, the base is the dictionary.
func (e *Encoder) Encode(value, base []byte) ([]byte, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(base) == 0 {
		if err := e.whole.ensureWindow(len(value)); err != nil {
			return nil, err
		}
		return e.whole.encoder.EncodeAll(value, nil), nil
	}
	if err := e.differences.ensureWindow(len(value) + len(base)); err != nil {
		return nil, err
	}
	if err := e.differences.encoder.ResetWithOptions(nil, zstd.WithEncoderDictRaw(dictionaryID, base)); err != nil {
		return nil, err
	}
	return e.differences.encoder.EncodeAll(value, nil), nil
}

// ensureWindow replaces the encoder if its window does not cover size bytes. At the fastest level, encoding
// with a dictionary takes less than half of the time of the default level.
func (w *windowedEncoder) ensureWindow(size int) error {
	window := windowOf(size)
	if w.encoder != nil && w.window >= window {
		return nil
	}
	encoder, err := zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1), zstd.WithEncoderLevel(zstd.SpeedFastest),
		zstd.WithWindowSize(window), zstd.WithLowerEncoderMem(true), zstd.WithEncoderCRC(false))
	if err != nil {
		return err
	}
	w.encoder, w.window = encoder, window
	return nil
}

// windowOf returns the smallest window that covers n bytes.
func windowOf(n int) int {
	return min(max(1<<bits.Len(uint(max(n, 1)-1)), minWindow), maxWindow)
}

// Decoder decompresses values. The zero value is ready for use. It is safe for concurrent use; calls run one
// after the other.
type Decoder struct {
	mu      sync.Mutex // guards decoder
	decoder *zstd.Decoder
}

// Decode returns the value that Encode compressed with the same base. Its errors are *SumError and those
// of the decompression.
func (d *Decoder) Decode(compressed, base []byte, size int, sum uint64) ([]byte, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.decoder == nil {
		decoder, err := zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderLowmem(true), zstd.WithDecoderMaxMemory(MaxSize))
		if err != nil {
			return nil, err
		}
		d.decoder = decoder
	}
	options := []zstd.DOption{zstd.WithDecoderDictDelete()}
	if len(base) > 0 {
		options = append(options, zstd.WithDecoderDictRaw(dictionaryID, base))
	}
	if err := d.decoder.ResetWithOptions(nil, options...); err != nil {
		return nil, err
	}
	value, err := d.decoder.DecodeAll(compressed, make([]byte, 0, min(max(size, 0), MaxSize)))
	if resetErr := d.decoder.ResetWithOptions(nil, zstd.WithDecoderDictDelete()); err == nil {
		err = resetErr
	}
	if err != nil {
		return nil, err
	}
	if got := Sum(value); got != sum {
		return nil, &SumError{Want: sum, Got: got}
	}
	return value, nil
}
