// Package keys creates the certificate authority of a deployment and issues the certificates of its hosts and operators.
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
	"slices"
	"time"

	"github.com/citronglade/citronglade/internal/base/durablefile"
	"github.com/citronglade/citronglade/internal/base/fault"
)

const (
	// AuthorityFile holds the authority's certificate in PEM. During a key rotation it holds the new and the old ones.
	AuthorityFile = "authority.pem"
	// AuthorityKeyFile holds the authority's private key. It is kept by the operator; hosts don't need it.
	AuthorityKeyFile = "authority-key.pem"

	authorityLifetime = 10 * 365 * 24 * time.Hour
	// clockTolerance dates the start of certificates back, so that hosts whose clocks are behind accept a new certificate.
	clockTolerance = 5 * time.Minute

	certificatePEMType = "CERTIFICATE"
	keyPEMType         = "EC PRIVATE KEY"
)

// Role is the kind of a certificate's holder, which determines its permissions. It is stored as the organisational unit of
// the certificate's subject.
type Role string

const (
	// RoleHost is an entry or control host.
	RoleHost Role = "host"
	// RoleOperator is a tool of an operator or a planner.
	RoleOperator Role = "operator"
)

// Authority signs certificates.
type Authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
}

// New makes an authority and writes its certificate and key to folder. An existing authority stays trusted: the new
// certificate is put in front of the old ones in AuthorityFile, so that hosts accept both until the certificates that the old
// authority signed have been replaced.
func New(folder string, now time.Time) (*Authority, error) {
	if err := os.MkdirAll(folder, 0o700); err != nil {
		return nil, fault.DiskFailed.Wrap(err, "cannot create folder %s", folder)
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
		return nil, fault.Internal.Wrap(err, "cannot parse the authority's new certificate")
	}
	authority := &Authority{certificate: certificate, key: key}
	return authority, authority.save(folder)
}

// Open reads the authority whose key is in folder. It fails with fault.NotFound if there is none and with fault.Corrupt if its files
// can't be parsed or the key belongs to none of the certificates.
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
	at := slices.IndexFunc(certificates, func(c *x509.Certificate) bool { return key.PublicKey.Equal(c.PublicKey) })
	if at < 0 {
		return nil, fault.Corrupt.New("the authority key in %s belongs to none of the authority's certificates", folder)
	}
	return &Authority{certificate: certificates[at], key: key}, nil
}

// Issue writes a certificate NAME.pem and a private key NAME-key.pem for one host or operator to folder. The certificate is
// valid until lifetime after now.
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
	return durablefile.New().Replace(filepath.Join(folder, CertificateFile(name)), encodePEM(certificatePEMType, raw), 0o644)
}

// sign returns a DER-encoded certificate for the key.
func (a *Authority) sign(name string, role Role, key *ecdsa.PrivateKey, notBefore, notAfter time.Time) ([]byte, error) {
	template := &x509.Certificate{
		SerialNumber: newSerial(),
		Subject:      pkix.Name{CommonName: name, OrganizationalUnit: []string{string(role)}},
		NotBefore:    notBefore,
		NotAfter:     notAfter,
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

// IssueInMemory returns a new certificate and key without writing files, for a host whose disk and clock can't be relied on.
// The certificate is valid for as long as the authority's.
func (a *Authority) IssueInMemory(name string, role Role) (*tls.Certificate, error) {
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

// RootCertificate returns the authority's own certificate.
func (a *Authority) RootCertificate() *x509.Certificate {
	return a.certificate
}

// DeriveSecret returns a secret that depends only on the authority's key and the purpose, so that every holder of the key can
// compute it.
func (a *Authority) DeriveSecret(purpose string) ([sha256.Size]byte, error) {
	raw, err := x509.MarshalECPrivateKey(a.key)
	if err != nil {
		return [sha256.Size]byte{}, fault.Internal.Wrap(err, "cannot encode the authority's key")
	}
	return sha256.Sum256(append([]byte("citronglade "+purpose+" "), raw...)), nil
}

// CertificateFile returns the file name of the certificate of name.
func CertificateFile(name string) string { return name + ".pem" }

// KeyFile returns the file name of the private key of name.
func KeyFile(name string) string { return name + "-key.pem" }

// ParseCertificates returns all certificates in a PEM bundle. It fails with fault.Corrupt if there is none or if one can't be
// parsed.
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
			return nil, fault.Corrupt.Wrap(err, "cannot parse a certificate in the PEM file")
		}
		certificates = append(certificates, certificate)
	}
	if len(certificates) == 0 {
		return nil, fault.Corrupt.New("the PEM file has no certificate")
	}
	return certificates, nil
}

// save puts the certificate in front of those that folder already has, and then replaces the key. If that breaks off in between, the old key
// is still there with its certificate.
func (a *Authority) save(folder string) error {
	bundlePath := filepath.Join(folder, AuthorityFile)
	bundle := encodePEM(certificatePEMType, a.certificate.Raw)
	old, err := os.ReadFile(filepath.Clean(bundlePath))
	if err == nil {
		bundle = append(bundle, old...)
	}
	if err := durablefile.New().Replace(bundlePath, bundle, 0o644); err != nil {
		return err
	}
	return writeKey(filepath.Join(folder, AuthorityKeyFile), a.key)
}

func newKey() (*ecdsa.PrivateKey, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, fault.Internal.Wrap(err, "cannot generate a private key")
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
		return fault.Internal.Wrap(err, "cannot encode a private key")
	}
	return durablefile.New().Replace(path, encodePEM(keyPEMType, raw), 0o600)
}

func encodePEM(blockType string, der []byte) []byte {
	return pem.EncodeToMemory(&pem.Block{Type: blockType, Bytes: der})
}
