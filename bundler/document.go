package bundler

import (
	"crypto/ed25519"
	"encoding/json"
	"fmt"
	"strings"
)

// MaxDocumentSize is the size limit of a signed document in bytes. The platform limits a
// value to one megabyte; the remainder is headroom for the platform's client.
const MaxDocumentSize = 990_000

// signingContext is signed before the digest, so that a signature that the same key made for
// another purpose is not valid for a bundle.
const signingContext = "amaranthmill bundle 1\x00"

// Document is a bundle with its sign-off, the form that the platform stores and instances
// exchange. It is immutable.
type Document struct {
	Bundle  *Bundle
	Content []byte // the bundle's exact bytes, the input of Digest
	Digest  Digest
	Signer  string
	Encoded []byte // the complete signed document
}

// signedDocument is a signed document in JSON.
type signedDocument struct {
	Bundle    []byte `json:"bundle"` // compressed
	Signer    string `json:"signer"`
	Signature []byte `json:"signature"`
}

// Signers holds the public key of each person who may sign bundles off, by name.
type Signers map[string]ed25519.PublicKey

// Sign returns the signature of key over a bundle's digest.
func Sign(key ed25519.PrivateKey, d Digest) []byte {
	return ed25519.Sign(key, signedMessage(d))
}

// EncodeDocument returns the signed document for a bundle's bytes. It checks only the size
// of the bytes, and returns a *DocumentError if they exceed MaxContentSize.
func EncodeDocument(content []byte, signer string, signature []byte) ([]byte, error) {
	compressed, err := compress(content)
	if err != nil {
		return nil, err
	}
	return json.Marshal(signedDocument{Bundle: compressed, Signer: signer, Signature: signature})
}

// Open decodes a signed document, verifies its sign-off and validates its bundle without an
// inventory. The error is a *DocumentError, *SignOffError or *InvalidError.
func (s Signers) Open(encoded []byte) (*Document, error) {
	wire, err := decodeWire(encoded)
	if err != nil {
		return nil, err
	}
	content, err := decompress(wire.Bundle)
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

func decodeWire(encoded []byte) (signedDocument, error) {
	var wire signedDocument
	if len(encoded) > MaxDocumentSize {
		return wire, &DocumentError{Reason: fmt.Sprintf("%d bytes exceed the limit of %d", len(encoded), MaxDocumentSize)}
	}
	if problems := checkForm(encoded, wire); len(problems) > 0 {
		return wire, &DocumentError{Reason: problems[0].String()}
	}
	if err := json.Unmarshal(encoded, &wire); err != nil {
		return wire, &DocumentError{Reason: err.Error()}
	}
	return wire, nil
}

func (s Signers) verify(wire signedDocument, digest Digest) error {
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
