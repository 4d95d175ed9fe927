package peer

import (
	"crypto/tls"
	"crypto/x509"
	"slices"
	"sync/atomic"

	"github.com/ansel1/merry/v2"

	"github.com/cornelbay/cornelbay"
)

// Role is what the holder of a certificate may do.
type Role string

// The roles; a certificate carries its role as its organizational unit.
const (
	// RoleHost may call other hosts.
	RoleHost Role = "host"
	// RoleReader may read status.
	RoleReader Role = "reader"
	// RoleChanger may read status and change what hosts do.
	RoleChanger Role = "changer"
)

// The errors of a certificate.
var (
	ErrNoCertificate = merry.New("no certificate")
	ErrRole          = merry.New("certificate has not the role")
	ErrName          = merry.New("certificate names another host")
)

// RoleOf returns the role of a certificate, or "" when it has none that is known.
func RoleOf(c *x509.Certificate) Role {
	for _, r := range []Role{RoleHost, RoleReader, RoleChanger} {
		if c != nil && slices.Contains(c.Subject.OrganizationalUnit, string(r)) {
			return r
		}
	}
	return ""
}

// HostOf returns the host that a certificate names.
func HostOf(c *x509.Certificate) (cornelbay.HostName, error) {
	if RoleOf(c) != RoleHost {
		return "", ErrRole
	}
	return cornelbay.HostName(c.Subject.CommonName), nil
}

// KeyPair is a certificate with its key and the roots that it trusts.
type KeyPair struct {
	Certificate tls.Certificate
	Roots       *x509.CertPool
}

// Credentials hold a KeyPair that can be replaced while connections are served.
type Credentials struct {
	pair atomic.Pointer[KeyPair]
}

// Set makes new connections use p; those that are open go on.
func (c *Credentials) Set(p KeyPair) { c.pair.Store(&p) }

// ServerConfig returns a configuration that asks for a client's certificate
// and reads the key pair anew for each connection.
func (c *Credentials) ServerConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			p := c.pair.Load()
			if p == nil {
				return nil, ErrNoCertificate
			}
			return &tls.Config{
				MinVersion:   tls.VersionTLS13,
				Certificates: []tls.Certificate{p.Certificate},
				ClientAuth:   tls.RequireAndVerifyClientCert,
				ClientCAs:    p.Roots,
			}, nil
		},
	}
}

// ClientConfig returns a configuration for a connection to the named host; an
// empty name accepts any host that the roots vouch for.
func (c *Credentials) ClientConfig(to cornelbay.HostName) *tls.Config {
	p := c.pair.Load()
	if p == nil {
		p = &KeyPair{Roots: x509.NewCertPool()}
	}
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{p.Certificate},
		// The names of hosts are no DNS names: VerifyConnection checks the
		// chain and the name in place of the default verification.
		InsecureSkipVerify: true,
		VerifyConnection: func(s tls.ConnectionState) error {
			return verifyHost(s.PeerCertificates, p.Roots, to)
		},
	}
}

func verifyHost(chain []*x509.Certificate, roots *x509.CertPool, to cornelbay.HostName) error {
	if len(chain) == 0 {
		return ErrNoCertificate
	}
	o := x509.VerifyOptions{Roots: roots, Intermediates: x509.NewCertPool()}
	for _, c := range chain[1:] {
		o.Intermediates.AddCert(c)
	}
	if _, err := chain[0].Verify(o); err != nil {
		return merry.Prepend(err, "certificate")
	}
	name, err := HostOf(chain[0])
	if err != nil {
		return err
	}
	if to != "" && name != to {
		return ErrName
	}
	return nil
}
