package bundler

import (
	"crypto/ed25519"
	"crypto/x509"
	"encoding/base64"
	"encoding/pem"
	"fmt"
)

// privateKeyType is the PEM type of a signer's private key.
const privateKeyType = "PRIVATE KEY"

// KeyError reports a text that is not an encoded Ed25519 key.
type KeyError struct{ Reason string }

// Error returns the reason.
func (e *KeyError) Error() string { return "bundler: not an Ed25519 key: " + e.Reason }

// EncodePublicKey returns a signer's public key in base64, the form used in the settings.
func EncodePublicKey(key ed25519.PublicKey) string {
	return base64.StdEncoding.EncodeToString(key)
}

// ParsePublicKey parses a signer's public key in base64, the form used in the settings. The
// error is a *KeyError.
func ParsePublicKey(text string) (ed25519.PublicKey, error) {
	key, err := base64.StdEncoding.DecodeString(text)
	if err != nil || len(key) != ed25519.PublicKeySize {
		return nil, &KeyError{Reason: fmt.Sprintf("want %d bytes in base64; make one with \"millctl keys signer\"", ed25519.PublicKeySize)}
	}
	return key, nil
}

// EncodePrivateKey returns a signer's private key in PEM.
func EncodePrivateKey(key ed25519.PrivateKey) ([]byte, error) {
	der, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return nil, err
	}
	return pem.EncodeToMemory(&pem.Block{Type: privateKeyType, Bytes: der}), nil
}

// ParsePrivateKey parses a signer's private key in PEM. The error is a *KeyError, which
// reveals nothing of the key's content.
func ParsePrivateKey(text []byte) (ed25519.PrivateKey, error) {
	block, _ := pem.Decode(text)
	if block == nil || block.Type != privateKeyType {
		return nil, &KeyError{Reason: "want a PEM block \"PRIVATE KEY\"; make one with \"millctl keys signer\""}
	}
	parsed, err := x509.ParsePKCS8PrivateKey(block.Bytes)
	if err != nil {
		return nil, &KeyError{Reason: "the PEM block is damaged"}
	}
	key, ok := parsed.(ed25519.PrivateKey)
	if !ok {
		return nil, &KeyError{Reason: "it is a key of another kind"}
	}
	return key, nil
}
