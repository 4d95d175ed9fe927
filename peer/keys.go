package peer

import (
	"crypto"
	"crypto/ecdsa"
	"crypto/ed25519"
	"crypto/elliptic"
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/hex"
	"encoding/pem"
	"math/big"
	"os"
	"path/filepath"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/cornelbay/cornelbay"
)

// The file names of a key set. The files of a certificate's holder are its name with
// CertificateSuffix and KeySuffix.
const (
	CAFile            = "ca.pem"
	DatagramKeyFile   = "datagram.key"
	CertificateSuffix = ".pem"
	KeySuffix         = ".key"
)

const (
	datagramKeyBytes    = 32
	certificateLifetime = 90 * 24 * time.Hour
	maxClockSkew        = time.Hour
)

// Authority is the certificate authority of a key set.
type Authority struct {
	Certificate *x509.Certificate
	Key         crypto.Signer
}

// NewSharedAuthority returns an authority whose private key is derived from a shared
// key. Every holder of the shared key derives the same one, so hosts can verify each
// other's certificates without key files.
func NewSharedAuthority(now time.Time, shared []byte) (*Authority, error) {
	seed := hmac.New(sha256.New, shared)
	seed.Write([]byte("cornelbay authority"))
	return newAuthority(now, ed25519.NewKeyFromSeed(seed.Sum(nil)))
}

// NewAuthority returns an authority with a new private key and a self-signed
// certificate that is valid at now.
func NewAuthority(now time.Time) (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, merry.Prepend(err, "authority key")
	}
	return newAuthority(now, key)
}

func newAuthority(now time.Time, key crypto.Signer) (*Authority, error) {
	t, err := certificateTemplate(now, pkix.Name{CommonName: "cornelbay trial authority"})
	if err != nil {
		return nil, err
	}
	t.IsCA, t.BasicConstraintsValid = true, true
	t.KeyUsage = x509.KeyUsageCertSign
	b, err := x509.CreateCertificate(rand.Reader, t, t, key.Public(), key)
	if err != nil {
		return nil, merry.Prepend(err, "authority certificate")
	}
	c, err := x509.ParseCertificate(b)
	if err != nil {
		return nil, merry.Prepend(err, "authority certificate")
	}
	return &Authority{Certificate: c, Key: key}, nil
}

func certificateTemplate(now time.Time, subject pkix.Name) (*x509.Certificate, error) {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), 120)) // 120 random bits
	if err != nil {
		return nil, merry.Prepend(err, "serial number")
	}
	return &x509.Certificate{
		SerialNumber: serial, Subject: subject,
		NotBefore: now.Add(-maxClockSkew), NotAfter: now.Add(certificateLifetime),
	}, nil
}

// Issue returns a new key pair with a certificate for the named holder and role.
func (a *Authority) Issue(now time.Time, name string, role Role) (KeyPair, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return KeyPair{}, merry.Prepend(err, "key")
	}
	t, err := certificateTemplate(now, pkix.Name{CommonName: name, OrganizationalUnit: []string{string(role)}})
	if err != nil {
		return KeyPair{}, err
	}
	t.KeyUsage = x509.KeyUsageDigitalSignature
	t.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	t.DNSNames = []string{name}
	b, err := x509.CreateCertificate(rand.Reader, t, a.Certificate, &key.PublicKey, a.Key)
	if err != nil {
		return KeyPair{}, merry.Prepend(err, "certificate")
	}
	roots := x509.NewCertPool()
	roots.AddCert(a.Certificate)
	return KeyPair{tls.Certificate{Certificate: [][]byte{b}, PrivateKey: key}, roots}, nil
}

// LoadKeyPair reads the key pair of the named holder and the authority's certificate
// from a directory.
func LoadKeyPair(dir, name string) (KeyPair, error) {
	base := filepath.Join(dir, name)
	c, err := tls.LoadX509KeyPair(base+CertificateSuffix, base+KeySuffix)
	if err != nil {
		return KeyPair{}, merry.Prepend(err, "key pair")
	}
	b, err := os.ReadFile(filepath.Join(dir, CAFile))
	if err != nil {
		return KeyPair{}, merry.Prepend(err, "authority")
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(b) {
		return KeyPair{}, merry.Prepend(ErrNoCertificate, CAFile)
	}
	return KeyPair{c, roots}, nil
}

// WriteKeySet writes a key set for test deployments into a directory: the authority's
// certificate, a key pair for each host and for the operators "reader" and "changer",
// and a datagram key in hexadecimal digits.
func WriteKeySet(dir string, now time.Time, hosts []cornelbay.HostName) error {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return merry.Prepend(err, "key set")
	}
	a, err := NewAuthority(now)
	if err != nil {
		return err
	}
	if err := writePEM(filepath.Join(dir, CAFile), "CERTIFICATE", a.Certificate.Raw); err != nil {
		return err
	}
	for _, h := range hosts {
		if err := a.writeKeyPair(dir, now, string(h), RoleHost); err != nil {
			return err
		}
	}
	for _, r := range []Role{RoleReader, RoleChanger} {
		if err := a.writeKeyPair(dir, now, string(r), r); err != nil {
			return err
		}
	}
	key := make([]byte, datagramKeyBytes)
	if _, err := rand.Read(key); err != nil {
		return merry.Prepend(err, "datagram key")
	}
	b := []byte(hex.EncodeToString(key) + "\n")
	if err := os.WriteFile(filepath.Join(dir, DatagramKeyFile), b, 0o600); err != nil {
		return merry.Prepend(err, "datagram key")
	}
	return nil
}

// writeKeyPair issues a key pair and writes its certificate and its key to dir.
func (a *Authority) writeKeyPair(dir string, now time.Time, name string, role Role) error {
	p, err := a.Issue(now, name, role)
	if err != nil {
		return err
	}
	base := filepath.Join(dir, name)
	if err := writePEM(base+CertificateSuffix, "CERTIFICATE", p.Certificate.Certificate[0]); err != nil {
		return err
	}
	b, err := x509.MarshalPKCS8PrivateKey(p.Certificate.PrivateKey)
	if err != nil {
		return merry.Prepend(err, "key")
	}
	return writePEM(base+KeySuffix, "PRIVATE KEY", b)
}

func writePEM(path, kind string, b []byte) error {
	if err := os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: b}), 0o600); err != nil {
		return merry.Prepend(err, "key set")
	}
	return nil
}
