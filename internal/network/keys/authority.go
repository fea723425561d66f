// Package keys makes the authority that signs the certificates of hosts and operators, and the certificates themselves.
package keys

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"os"
	"path/filepath"
	"time"

	"github.com/citronglade/citronglade/internal/base/fault"
)

const (
	// AuthorityFile holds the authority's certificate in PEM. During a rotation it holds the old and the new one.
	AuthorityFile = "authority.pem"
	// AuthorityKeyFile holds the authority's private key. It stays with the operator.
	AuthorityKeyFile = "authority-key.pem"

	authorityLifetime = 10 * 365 * 24 * time.Hour
	// clockTolerance lets a new certificate be used on a host whose clock is a little behind.
	clockTolerance = 5 * time.Minute

	certificateBlock = "CERTIFICATE"
	keyBlock         = "EC PRIVATE KEY"
)

// Role is what a certificate entitles its holder to. It is the organisational unit of the certificate's subject.
type Role string

const (
	// RoleHost is an entry or control host.
	RoleHost Role = "host"
	// RoleOperator is a person's or a planner's tool.
	RoleOperator Role = "operator"
)

// Authority signs certificates.
type Authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
}

// New makes an authority and writes it to folder. An existing authority stays trusted: the new certificate is put in
// front of the old ones, so that hosts accept both until the old certificates have been replaced.
func New(folder string, now time.Time) (*Authority, error) {
	if err := os.MkdirAll(folder, 0o700); err != nil {
		return nil, fault.DiskFailed.Wrap(err, "cannot make folder %s", folder)
	}
	key, err := newKey()
	if err != nil {
		return nil, err
	}
	template := &x509.Certificate{
		SerialNumber:          newSerial(),
		Subject:               pkix.Name{CommonName: "citronglade authority"},
		NotBefore:             now.Add(-clockTolerance),
		NotAfter:              now.Add(authorityLifetime),
		KeyUsage:              x509.KeyUsageCertSign,
		BasicConstraintsValid: true,
		IsCA:                  true,
		MaxPathLenZero:        true,
	}
	raw, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return nil, fault.Internal.Wrap(err, "cannot sign the authority's certificate")
	}
	certificate, err := x509.ParseCertificate(raw)
	if err != nil {
		return nil, fault.Internal.Wrap(err, "cannot read the authority's certificate back")
	}
	authority := &Authority{certificate: certificate, key: key}
	return authority, authority.save(folder)
}

// Open reads the authority of folder. It fails with fault.NotFound if there is none.
func Open(folder string) (*Authority, error) {
	bundle, err := os.ReadFile(filepath.Clean(filepath.Join(folder, AuthorityFile)))
	if err != nil {
		return nil, fault.NotFound.Wrap(err, "no authority in %s", folder)
	}
	certificates, err := ParseCertificates(bundle)
	if err != nil {
		return nil, err
	}
	raw, err := os.ReadFile(filepath.Clean(filepath.Join(folder, AuthorityKeyFile)))
	if err != nil {
		return nil, fault.NotFound.Wrap(err, "no authority key in %s", folder)
	}
	block, _ := pem.Decode(raw)
	if block == nil {
		return nil, fault.Corrupt.New("the authority key in %s is not PEM", folder)
	}
	key, err := x509.ParseECPrivateKey(block.Bytes)
	if err != nil {
		return nil, fault.Corrupt.Wrap(err, "cannot read the authority key in %s", folder)
	}
	return &Authority{certificate: certificates[0], key: key}, nil
}

// Issue writes a certificate NAME.pem and a key NAME-key.pem for one host or operator to folder.
func (a *Authority) Issue(folder, name string, role Role, now time.Time, lifetime time.Duration) error {
	key, err := newKey()
	if err != nil {
		return err
	}
	raw, err := a.sign(name, role, key, now.Add(-clockTolerance), now.Add(lifetime))
	if err != nil {
		return err
	}
	if err := writeKey(filepath.Join(folder, KeyFile(name)), key); err != nil {
		return err
	}
	return writeFile(filepath.Join(folder, CertificateFile(name)), encode(certificateBlock, raw), 0o644)
}

func (a *Authority) sign(name string, role Role, key *ecdsa.PrivateKey, from, until time.Time) ([]byte, error) {
	template := &x509.Certificate{
		SerialNumber: newSerial(),
		Subject:      pkix.Name{CommonName: name, OrganizationalUnit: []string{string(role)}},
		NotBefore:    from,
		NotAfter:     until,
		KeyUsage:     x509.KeyUsageDigitalSignature,
		ExtKeyUsage:  []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
		DNSNames:     []string{name},
	}
	raw, err := x509.CreateCertificate(rand.Reader, template, a.certificate, &key.PublicKey, a.key)
	if err != nil {
		return nil, fault.Internal.Wrap(err, "cannot sign the certificate of %s", name)
	}
	return raw, nil
}

// Certificate makes a certificate in memory, for a host whose disk and clock can't be relied on. It is valid for as long as
// the authority.
func (a *Authority) Certificate(name string, role Role) (*tls.Certificate, error) {
	key, err := newKey()
	if err != nil {
		return nil, err
	}
	raw, err := a.sign(name, role, key, a.certificate.NotBefore, a.certificate.NotAfter)
	if err != nil {
		return nil, err
	}
	return &tls.Certificate{Certificate: [][]byte{raw}, PrivateKey: key}, nil
}

// Root returns the authority's certificate.
func (a *Authority) Root() *x509.Certificate {
	return a.certificate
}

// Derive returns a secret that every holder of the authority's key can make, different for each purpose.
func (a *Authority) Derive(purpose string) ([sha256.Size]byte, error) {
	raw, err := x509.MarshalECPrivateKey(a.key)
	if err != nil {
		return [sha256.Size]byte{}, fault.Internal.Wrap(err, "cannot encode the authority's key")
	}
	return sha256.Sum256(append([]byte("citronglade "+purpose+" "), raw...)), nil
}

// CertificateFile is the name of the file with the certificate of name.
func CertificateFile(name string) string { return name + ".pem" }

// KeyFile is the name of the file with the private key of name.
func KeyFile(name string) string { return name + "-key.pem" }

// ParseCertificates reads every certificate of a PEM bundle, at least one.
func ParseCertificates(bundle []byte) ([]*x509.Certificate, error) {
	var certificates []*x509.Certificate
	for {
		block, rest := pem.Decode(bundle)
		if block == nil {
			break
		}
		bundle = rest
		certificate, err := x509.ParseCertificate(block.Bytes)
		if err != nil {
			return nil, fault.Corrupt.Wrap(err, "cannot read a certificate")
		}
		certificates = append(certificates, certificate)
	}
	if len(certificates) == 0 {
		return nil, fault.Corrupt.New("the file holds no certificate")
	}
	return certificates, nil
}

func (a *Authority) save(folder string) error {
	bundlePath := filepath.Join(folder, AuthorityFile)
	bundle := encode(certificateBlock, a.certificate.Raw)
	old, err := os.ReadFile(filepath.Clean(bundlePath))
	if err == nil {
		bundle = append(bundle, old...)
	}
	if err := writeKey(filepath.Join(folder, AuthorityKeyFile), a.key); err != nil {
		return err
	}
	return writeFile(bundlePath, bundle, 0o644)
}

func newKey() (*ecdsa.PrivateKey, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, fault.Internal.Wrap(err, "cannot make a key")
	}
	return key, nil
}

func newSerial() *big.Int {
	bytes := make([]byte, 16)
	_, _ = rand.Read(bytes)
	return new(big.Int).SetBytes(bytes)
}

func writeKey(path string, key *ecdsa.PrivateKey) error {
	raw, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		return fault.Internal.Wrap(err, "cannot encode a key")
	}
	return writeFile(path, encode(keyBlock, raw), 0o600)
}

// writeFile replaces path in one step, so that a host that reloads its keys never sees half a file.
func writeFile(path string, data []byte, mode os.FileMode) error {
	temporary := path + ".new"
	if err := os.WriteFile(temporary, data, mode); err != nil {
		return fault.DiskFailed.Wrap(err, "cannot write %s", temporary)
	}
	if err := os.Rename(temporary, path); err != nil {
		return fault.DiskFailed.Wrap(err, "cannot put %s in place", path)
	}
	return nil
}

func encode(kind string, raw []byte) []byte {
	return pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: raw})
}
