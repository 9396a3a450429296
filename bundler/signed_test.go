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

// testSigners are those who may sign off in tests.
func testSigners() Signers {
	signers := Signers{}
	for _, name := range []string{"ada", "grace", "hedy"} {
		signers[name] = signerKey(name).Public().(ed25519.PublicKey)
	}
	return signers
}

// content returns a small valid bundle's bytes.
func content(version, previous identifier.BundleVersion, author, note string) []byte {
	return fmt.Appendf(nil, `{"version":%d,"previous":%d,"author":%q,"note":%q,"pools":[],"models":[],"services":[],"accounts":[],"repair":{"groupDowntime":1,"strandedAccelerators":1}}`,
		version, previous, author, note)
}

// signedBy returns a signed document, with the signature of key's owner under the name of signer.
func signedBy(bundle []byte, signer, key string) []byte {
	document, err := EncodeDocument(bundle, signer, Sign(signerKey(key), DigestOf(bundle)))
	if err != nil {
		panic(err)
	}
	return document
}

// encode returns b as an author may write it.
func encode(t testing.TB, b *Bundle) []byte {
	t.Helper()
	text, err := json.Marshal(b)
	if err != nil {
		t.Fatal(err)
	}
	return text
}
