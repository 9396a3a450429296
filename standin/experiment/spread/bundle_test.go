package main

import (
	"crypto/ed25519"
	"fmt"
	"testing"

	"amaranthmill/bundler"
)

// BenchmarkOpen decodes, verifies and validates a signed document.
func BenchmarkOpen(b *testing.B) {
	for _, s := range bundleSizes {
		b.Run(fmt.Sprintf("accounts=%d", s.accounts), func(b *testing.B) {
			signers, key := makeSigner()
			content, err := sampleBundle(s, 1, 0)
			if err != nil {
				b.Fatal(err)
			}
			document, err := bundler.EncodeDocument(content, signerName, bundler.Sign(key, bundler.DigestOf(content)))
			if err != nil {
				b.Fatal(err)
			}
			b.ReportAllocs()
			for b.Loop() {
				if _, err := signers.Open(document); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(document)), "documentBytes")
		})
	}
}

// BenchmarkVerify verifies only a signature, for comparison with BenchmarkOpen.
func BenchmarkVerify(b *testing.B) {
	signers, key := makeSigner()
	message := make([]byte, len(bundler.Digest{}))
	signature := ed25519.Sign(key, message)
	for b.Loop() {
		ed25519.Verify(signers[signerName], message, signature)
	}
}
