package bundler

import (
	"bytes"
	"compress/gzip"
	"fmt"
	"io"
)

// MaxContentSize is the size limit of an uncompressed bundle in bytes.
const MaxContentSize = 4_000_000

// compress returns a bundle's bytes in gzip form, in which the platform stores them and
// instances exchange them.
func compress(content []byte) ([]byte, error) {
	if len(content) > MaxContentSize {
		return nil, &DocumentError{Reason: fmt.Sprintf("a bundle of %d bytes exceeds the limit of %d", len(content), MaxContentSize)}
	}
	var compressed bytes.Buffer
	w := gzip.NewWriter(&compressed)
	if _, err := w.Write(content); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	return compressed.Bytes(), nil
}

// decompress returns the bundle's bytes. It reads at most one byte more than MaxContentSize
// and returns a *DocumentError for input that is damaged, too large or not compressed.
func decompress(compressed []byte) ([]byte, error) {
	r, err := gzip.NewReader(bytes.NewReader(compressed))
	if err != nil {
		return nil, &DocumentError{Reason: "the bundle is not compressed: " + err.Error()}
	}
	content, err := io.ReadAll(io.LimitReader(r, MaxContentSize+1))
	if err != nil {
		return nil, &DocumentError{Reason: "the compressed bundle is damaged: " + err.Error()}
	}
	if len(content) > MaxContentSize {
		return nil, &DocumentError{Reason: fmt.Sprintf("the bundle exceeds the limit of %d bytes", MaxContentSize)}
	}
	return content, nil
}
