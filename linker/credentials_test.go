package linker_test

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"encoding/pem"
	"math/big"
	"net/url"
	"testing"
	"time"

	"amaranthmill/internal/identifier"
	"amaranthmill/linker"
)

// authority signs the certificates of the instances of a test.
type authority struct {
	t           *testing.T
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
	pem         string
}

func newAuthority(t *testing.T) *authority {
	t.Helper()
	a := &authority{t: t, key: newKey(t)}
	a.certificate = &x509.Certificate{
		SerialNumber:          big.NewInt(1),
		NotAfter:              time.Now().Add(time.Hour),
		IsCA:                  true,
		BasicConstraintsValid: true,
		KeyUsage:              x509.KeyUsageCertSign,
	}
	a.pem = a.sign(a.certificate, a.key)
	return a
}

func newKey(t *testing.T) *ecdsa.PrivateKey {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	return key
}

func (a *authority) sign(c *x509.Certificate, key *ecdsa.PrivateKey) string {
	a.t.Helper()
	der, err := x509.CreateCertificate(rand.Reader, c, a.certificate, &key.PublicKey, a.key)
	if err != nil {
		a.t.Fatal(err)
	}
	return string(pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}))
}

// issue returns the PEM data of an instance whose certificate is valid until notAfter.
func (a *authority) issue(domain identifier.FailureDomain, name identifier.Instance, notAfter time.Time) linker.CredentialsConfig {
	a.t.Helper()
	key := newKey(a.t)
	certificate := &x509.Certificate{
		SerialNumber: big.NewInt(time.Now().UnixNano()),
		NotAfter:     notAfter,
		URIs:         []*url.URL{{Scheme: "mill", Host: string(domain), Path: "/" + string(name)}},
		KeyUsage:     x509.KeyUsageDigitalSignature,
		ExtKeyUsage:  []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		a.t.Fatal(err)
	}
	return linker.CredentialsConfig{
		Certificate: a.sign(certificate, key),
		Key:         string(pem.EncodeToMemory(&pem.Block{Type: "EC PRIVATE KEY", Bytes: der})),
		Authorities: a.pem,
	}
}

// credentials returns valid credentials for an instance.
func (a *authority) credentials(domain identifier.FailureDomain, name identifier.Instance) *linker.Credentials {
	a.t.Helper()
	c, err := linker.NewCredentials(a.issue(domain, name, time.Now().Add(time.Hour)))
	if err != nil {
		a.t.Fatal(err)
	}
	return c
}
