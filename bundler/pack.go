package bundler

import (
	"bytes"
	"compress/gzip"
	"fmt"
	"io"
)

// MaxContentSize is the largest bundle in bytes, before it is compressed.
const MaxContentSize = 4_000_000

// pack compresses a bundle's bytes for the platform's service and the links.
func pack(content []byte) ([]byte, error) {
	if len(content) > MaxContentSize {
		return nil, &DocumentError{Reason: fmt.Sprintf("a bundle of %d bytes exceeds the limit of %d", len(content), MaxContentSize)}
	}
	var packed bytes.Buffer
	w := gzip.NewWriter(&packed)
	if _, err := w.Write(content); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	return packed.Bytes(), nil
}

// unpack returns the bytes that were packed. It reads no more than MaxContentSize, and
// returns a *DocumentError for what is no packed bundle.
func unpack(packed []byte) ([]byte, error) {
	r, err := gzip.NewReader(bytes.NewReader(packed))
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
