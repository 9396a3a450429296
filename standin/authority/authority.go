package authority

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net/url"
	"os"
	"path/filepath"
	"time"
)

// certificateLifetime is the time from the issue of a certificate until it expires.
const certificateLifetime = 24 * time.Hour

// Authority signs certificates of instances.
type Authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
}

// Identity holds the attributes of an instance that its certificate states.
type Identity struct {
	Instance      string
	FailureDomain string
}

// New returns an Authority with a new key and a self-signed certificate.
func New() (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, err
	}
	t := newTemplate("amaranthmill stand-in authority")
	t.IsCA, t.BasicConstraintsValid = true, true
	t.KeyUsage = x509.KeyUsageCertSign
	der, err := x509.CreateCertificate(rand.Reader, t, t, &key.PublicKey, key)
	if err != nil {
		return nil, err
	}
	c, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, err
	}
	return &Authority{certificate: c, key: key}, nil
}

// newTemplate returns the fields that every certificate has. The certificate is valid from one
// hour ago.
func newTemplate(name string) *x509.Certificate {
	now := time.Now()
	return &x509.Certificate{
		SerialNumber: big.NewInt(now.UnixNano()), Subject: pkix.Name{CommonName: name},
		NotBefore: now.Add(-time.Hour), NotAfter: now.Add(certificateLifetime),
	}
}

// Write writes the authority's certificate to authorities.pem in dir, and for each identity a
// new certificate and its key to the files INSTANCE.pem and INSTANCE.key.
func (a *Authority) Write(dir string, identities []Identity) error {
	if err := writePEM(filepath.Join(dir, "authorities.pem"), "CERTIFICATE", a.certificate.Raw); err != nil {
		return err
	}
	for _, id := range identities {
		if err := a.writeCertificate(dir, id); err != nil {
			return err
		}
	}
	return nil
}

// writeCertificate issues a certificate for id and writes it and its key into dir.
func (a *Authority) writeCertificate(dir string, id Identity) error {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return err
	}
	t := newTemplate(id.Instance)
	t.URIs = []*url.URL{{Scheme: "mill", Host: id.FailureDomain, Path: "/" + id.Instance}}
	t.KeyUsage = x509.KeyUsageDigitalSignature
	t.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth}
	der, err := x509.CreateCertificate(rand.Reader, t, a.certificate, &key.PublicKey, a.key)
	if err != nil {
		return err
	}
	keyDER, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return err
	}
	if err := writePEM(filepath.Join(dir, id.Instance+".pem"), "CERTIFICATE", der); err != nil {
		return err
	}
	return writePEM(filepath.Join(dir, id.Instance+".key"), "PRIVATE KEY", keyDER)
}

func writePEM(path, kind string, der []byte) error {
	return os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600)
}
