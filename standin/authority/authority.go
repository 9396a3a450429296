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

// lifetime of each certificate.
const lifetime = 24 * time.Hour

// Authority signs certificates of instances.
type Authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
}

// Identity is what a certificate says of its instance.
type Identity struct {
	Instance      string
	FailureDomain string
}

// New returns an Authority with a key of its own.
func New() (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, err
	}
	t := template("amaranthmill stand-in authority")
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

func template(name string) *x509.Certificate {
	now := time.Now()
	return &x509.Certificate{
		SerialNumber: big.NewInt(now.UnixNano()), Subject: pkix.Name{CommonName: name},
		NotBefore: now.Add(-time.Hour), NotAfter: now.Add(lifetime),
	}
}

// Write writes authorities.pem into dir, and the certificate and key of each member in
// files named for its instance.
func (a *Authority) Write(dir string, members []Identity) error {
	if err := writePEM(filepath.Join(dir, "authorities.pem"), "CERTIFICATE", a.certificate.Raw); err != nil {
		return err
	}
	for _, m := range members {
		if err := a.issue(dir, m); err != nil {
			return err
		}
	}
	return nil
}

func (a *Authority) issue(dir string, m Identity) error {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return err
	}
	t := template(m.Instance)
	t.URIs = []*url.URL{{Scheme: "mill", Host: m.FailureDomain, Path: "/" + m.Instance}}
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
	if err := writePEM(filepath.Join(dir, m.Instance+".pem"), "CERTIFICATE", der); err != nil {
		return err
	}
	return writePEM(filepath.Join(dir, m.Instance+".key"), "PRIVATE KEY", keyDER)
}

func writePEM(path, kind string, der []byte) error {
	return os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600)
}
