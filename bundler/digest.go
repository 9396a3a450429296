package bundler

import (
	"crypto/sha256"
	"encoding/hex"
)

// Digest is the SHA-256 digest of a bundle's exact bytes. It identifies the content,
// whereas the version defines the order of bundles.
type Digest [sha256.Size]byte

// DigestOf returns the digest of a bundle's bytes.
func DigestOf(bundle []byte) Digest { return sha256.Sum256(bundle) }

// String returns d in hexadecimal.
func (d Digest) String() string { return hex.EncodeToString(d[:]) }
