package linker

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"net/url"
	"os"
	"strings"
	"sync/atomic"

	"github.com/rotisserie/eris"

	"amaranthmill/internal/identifier"
)

// uriScheme is the scheme of the URI in a certificate that identifies an instance:
// mill://failure-domain/instance.
const uriScheme = "mill"

// CredentialsConfig gives the PEM data of an instance. Each field is either the path of a
// file or the PEM data itself, which begins with "-----BEGIN".
type CredentialsConfig struct {
	Certificate string
	Key         string
	Authorities string // certificates of the authorities that sign the peers' certificates
}

// Credentials holds the certificate of an instance and the authorities that it trusts.
// Reload applies renewed PEM data to sessions that open afterwards. Credentials is safe for
// concurrent use.
type Credentials struct {
	cfg     CredentialsConfig
	current atomic.Pointer[keyMaterial]
}

type keyMaterial struct {
	certificate tls.Certificate
	authorities *x509.CertPool
}

// NewCredentials reads the PEM data that cfg gives.
func NewCredentials(cfg CredentialsConfig) (*Credentials, error) {
	c := &Credentials{cfg: cfg}
	return c, c.Reload()
}

// Reload reads the PEM data again. If any of it is invalid, the previous data stays in use.
func (c *Credentials) Reload() error {
	certificate, err := readPEM(c.cfg.Certificate)
	if err != nil {
		return eris.Wrap(err, "linker: certificate")
	}
	key, err := readPEM(c.cfg.Key)
	if err != nil {
		return eris.Wrap(err, "linker: key")
	}
	authorities, err := readPEM(c.cfg.Authorities)
	if err != nil {
		return eris.Wrap(err, "linker: authorities")
	}
	pair, err := tls.X509KeyPair(certificate, key)
	if err != nil {
		return eris.Wrap(err, "linker: certificate and key")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(authorities) {
		return &CertificateError{Problem: "the authorities contain no certificate"}
	}
	c.current.Store(&keyMaterial{certificate: pair, authorities: pool})
	return nil
}

// readPEM returns text itself if it is PEM data, and otherwise the content of the file text.
func readPEM(text string) ([]byte, error) {
	if strings.HasPrefix(strings.TrimSpace(text), "-----BEGIN") {
		return []byte(text), nil
	}
	return os.ReadFile(text)
}

// A CertificateError reports why a certificate does not identify an instance.
type CertificateError struct {
	Problem string
}

// Error implements error.
func (e *CertificateError) Error() string { return "linker: certificate: " + e.Problem }

// listenConfig returns the TLS configuration of a listener. Each handshake uses the current
// PEM data.
func (c *Credentials) listenConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			m := c.current.Load()
			return &tls.Config{
				MinVersion:             tls.VersionTLS13,
				Certificates:           []tls.Certificate{m.certificate},
				ClientAuth:             tls.RequireAndVerifyClientCert,
				ClientCAs:              m.authorities,
				SessionTicketsDisabled: true,
			}, nil
		},
	}
}

// dialConfig returns the TLS configuration of one dialed connection. An instance has no DNS
// name, so VerifyConnection verifies the chain and the caller checks the instance.
func (c *Credentials) dialConfig() *tls.Config {
	m := c.current.Load()
	return &tls.Config{
		MinVersion:         tls.VersionTLS13,
		Certificates:       []tls.Certificate{m.certificate},
		InsecureSkipVerify: true, // VerifyConnection verifies the chain without a DNS name.
		VerifyConnection: func(state tls.ConnectionState) error {
			return verifyChain(state, m.authorities)
		},
	}
}

func verifyChain(state tls.ConnectionState, authorities *x509.CertPool) error {
	if len(state.PeerCertificates) == 0 {
		return &CertificateError{Problem: "the peer sent no certificate"}
	}
	intermediates := x509.NewCertPool()
	for _, c := range state.PeerCertificates[1:] {
		intermediates.AddCert(c)
	}
	_, err := state.PeerCertificates[0].Verify(x509.VerifyOptions{
		Roots:         authorities,
		Intermediates: intermediates,
		KeyUsages:     []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth},
	})
	if err != nil {
		return eris.Wrap(err, "linker: verify peer")
	}
	return nil
}

// identity identifies the instance that a certificate or a Hello names.
type identity struct {
	instance      identifier.Instance
	failureDomain identifier.FailureDomain
}

// certifiedIdentity returns the instance that the peer's certificate names.
func certifiedIdentity(state tls.ConnectionState) (identity, error) {
	for _, uri := range state.PeerCertificates[0].URIs {
		if uri.Scheme == uriScheme {
			return identityFromURI(uri)
		}
	}
	return identity{}, &CertificateError{Problem: "no " + uriScheme + " URI"}
}

func identityFromURI(uri *url.URL) (identity, error) {
	name, found := strings.CutPrefix(uri.Path, "/")
	if !found || name == "" || uri.Host == "" {
		return identity{}, &CertificateError{Problem: "expected " + uriScheme + "://failure-domain/instance"}
	}
	return identity{
		instance:      identifier.Instance(name),
		failureDomain: identifier.FailureDomain(uri.Host),
	}, nil
}

// isCertificateError reports whether err is a certificate error, as opposed to a network error.
func isCertificateError(err error) bool {
	var certificate *CertificateError
	var unknown x509.UnknownAuthorityError
	var invalid x509.CertificateInvalidError
	return errors.As(err, &certificate) || errors.As(err, &unknown) || errors.As(err, &invalid)
}
