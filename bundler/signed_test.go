package bundler

import (
	"crypto/ed25519"
	"encoding/json"
	"fmt"
	"testing"

	"amaranthmill/internal/identifier"
)

// signerKey returns the private key of a signer in tests, the same for each name.
func signerKey(name string) ed25519.PrivateKey {
	seed := DigestOf([]byte(name))
	return ed25519.NewKeyFromSeed(seed[:])
}

// testSigners returns the public keys of the signers in tests.
func testSigners() Signers {
	signers := Signers{}
	for _, name := range []string{"ada", "grace", "hedy"} {
		signers[name] = signerKey(name).Public().(ed25519.PublicKey)
	}
	return signers
}

// content returns the bytes of a small valid bundle.
func content(version, previous identifier.BundleVersion, author, note string) []byte {
	return fmt.Appendf(nil, `{"version":%d,"previous":%d,"author":%q,"note":%q,"pools":[],"models":[],"services":[],"accounts":[],"repair":{"groupDowntime":1,"strandedAccelerators":1}}`,
		version, previous, author, note)
}

// signedBy returns a document in the name of signer, signed with the key of the person key.
func signedBy(bundle []byte, signer, key string) []byte {
	document, err := EncodeDocument(bundle, signer, Sign(signerKey(key), DigestOf(bundle)))
	if err != nil {
		panic(err)
	}
	return document
}

// encode returns b in JSON.
func encode(t testing.TB, b *Bundle) []byte {
	t.Helper()
	text, err := json.Marshal(b)
	if err != nil {
		t.Fatal(err)
	}
	return text
}
