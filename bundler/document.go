package bundler

import (
	"crypto/ed25519"
	"encoding/json"
	"fmt"
	"strings"
)

// MaxDocumentSize is the largest signed document in bytes. It leaves the platform's client
// some room within the platform's value size of a megabyte.
const MaxDocumentSize = 990_000

// signingContext separates the signatures of bundles from others by the same key.
const signingContext = "amaranthmill bundle 1\x00"

// Document is a bundle with its sign-off, as the platform keeps it and instances pass it
// on. It never changes.
type Document struct {
	Bundle  *Bundle
	Content []byte // the bundle's exact bytes, which the digest is of
	Digest  Digest
	Signer  string
	Encoded []byte // the whole signed document
}

// documentWire is a signed document in JSON.
type documentWire struct {
	Bundle    []byte `json:"bundle"` // compressed
	Signer    string `json:"signer"`
	Signature []byte `json:"signature"`
}

// Signers holds the public keys of those who may sign bundles off, by name.
type Signers map[string]ed25519.PublicKey

// Sign returns the signature of key over a bundle's digest.
func Sign(key ed25519.PrivateKey, d Digest) []byte {
	return ed25519.Sign(key, signedMessage(d))
}

// EncodeDocument returns the signed document of a bundle's bytes. It checks only the size,
// and returns a *DocumentError if that is over its limit.
func EncodeDocument(content []byte, signer string, signature []byte) ([]byte, error) {
	packed, err := pack(content)
	if err != nil {
		return nil, err
	}
	return json.Marshal(documentWire{Bundle: packed, Signer: signer, Signature: signature})
}

// Open decodes a signed document and checks its sign-off and its bundle as far as the
// bundle alone shows. It returns a *DocumentError, *SignOffError or *InvalidError.
func (s Signers) Open(encoded []byte) (*Document, error) {
	wire, err := decodeWire(encoded)
	if err != nil {
		return nil, err
	}
	content, err := unpack(wire.Bundle)
	if err != nil {
		return nil, err
	}
	digest := DigestOf(content)
	if err := s.verify(wire, digest); err != nil {
		return nil, err
	}
	b, err := Parse(content)
	if err != nil {
		return nil, err
	}
	if strings.EqualFold(b.Author, wire.Signer) {
		return nil, &SignOffError{Signer: wire.Signer, Reason: "the author may not sign off their own bundle; ask another signer"}
	}
	if problems := Validate(b, nil); len(problems) > 0 {
		return nil, &InvalidError{Problems: problems}
	}
	return &Document{Bundle: b, Content: content, Digest: digest, Signer: wire.Signer, Encoded: encoded}, nil
}

func decodeWire(encoded []byte) (documentWire, error) {
	var wire documentWire
	if len(encoded) > MaxDocumentSize {
		return wire, &DocumentError{Reason: fmt.Sprintf("%d bytes exceed the limit of %d", len(encoded), MaxDocumentSize)}
	}
	if problems := checkShape(encoded, wire); len(problems) > 0 {
		return wire, &DocumentError{Reason: problems[0].String()}
	}
	if err := json.Unmarshal(encoded, &wire); err != nil {
		return wire, &DocumentError{Reason: err.Error()}
	}
	return wire, nil
}

func (s Signers) verify(wire documentWire, digest Digest) error {
	key, ok := s[wire.Signer]
	if !ok || len(key) != ed25519.PublicKeySize {
		return &SignOffError{Signer: wire.Signer, Reason: "no public key of that name is in the settings"}
	}
	if !ed25519.Verify(key, signedMessage(digest), wire.Signature) {
		return &SignOffError{Signer: wire.Signer, Reason: "the signature does not match the bundle"}
	}
	return nil
}

func signedMessage(d Digest) []byte {
	return append([]byte(signingContext), d[:]...)
}
