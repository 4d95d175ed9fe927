package peer

import (
	"crypto/tls"
	"crypto/x509"
	"slices"
	"sync/atomic"

	"github.com/ansel1/merry/v2"

	"github.com/cornelbay/cornelbay"
)

// Role determines what the holder of a certificate is allowed to do.
type Role string

// The roles. The organizational unit of a certificate's subject is its role.
const (
	// RoleHost may call other hosts and read the status of hosts.
	RoleHost Role = "host"
	// RoleReader may read the status of hosts.
	RoleReader Role = "reader"
	// RoleChanger may read the status of hosts and send them commands.
	RoleChanger Role = "changer"
)

// Errors of certificate verification.
var (
	ErrNoCertificate = merry.New("no certificate")
	ErrWrongRole     = merry.New("certificate has not the role")
	ErrWrongHost     = merry.New("certificate is for another host")
)

// RoleOf returns the role of a certificate, or "" if it has no known role.
func RoleOf(c *x509.Certificate) Role {
	for _, r := range []Role{RoleHost, RoleReader, RoleChanger} {
		if c != nil && slices.Contains(c.Subject.OrganizationalUnit, string(r)) {
			return r
		}
	}
	return ""
}

// HostOf returns the host name in a certificate whose role is RoleHost.
func HostOf(c *x509.Certificate) (cornelbay.HostName, error) {
	if RoleOf(c) != RoleHost {
		return "", ErrWrongRole
	}
	return cornelbay.HostName(c.Subject.CommonName), nil
}

// KeyPair is a certificate with its private key and the trusted root certificates.
type KeyPair struct {
	Certificate tls.Certificate
	Roots       *x509.CertPool
}

// Credentials holds a KeyPair that can be replaced at runtime.
type Credentials struct {
	pair atomic.Pointer[KeyPair]
}

// Set makes new connections use p. Open connections are not affected.
func (c *Credentials) Set(p KeyPair) { c.pair.Store(&p) }

// ServerConfig returns a configuration that requires client certificates and uses the
// current key pair for each new connection.
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

// ClientConfig returns a configuration for a connection to the named host. If the name
// is empty, any host with a certificate issued by a trusted root is accepted.
func (c *Credentials) ClientConfig(to cornelbay.HostName) *tls.Config {
	p := c.pair.Load()
	if p == nil {
		p = &KeyPair{Roots: x509.NewCertPool()}
	}
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{p.Certificate},
		// Host names are not DNS names, so VerifyConnection verifies the chain
		// and the name instead of the default verification.
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
		return ErrWrongHost
	}
	return nil
}
