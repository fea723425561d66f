// Package identity holds the certificate that a process shows to others and the authorities it trusts. The files are
// read again when they change, so that keys are rotated without a restart.
package identity

import (
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"os"
	"path/filepath"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/citronglade/citronglade/internal/base/fault"
	"github.com/citronglade/citronglade/internal/base/unit"
	"github.com/citronglade/citronglade/internal/network/keys"
)

const (
	// reloadInterval bounds how long a replaced certificate stays in use.
	reloadInterval = 2 * time.Second
	// publicMode is the part of a file's mode that a private key must not have.
	publicMode = 0o077
)

// Identity is one process's certificate, key and trusted authorities. It is safe for concurrent use.
type Identity struct {
	folder string
	name   string
	now    func() time.Time

	mu          sync.Mutex
	checkedAt   time.Time
	modified    [3]time.Time
	certificate *tls.Certificate
	roots       *x509.CertPool
	reset       [sha256.Size]byte // of an identity without files
	issued      bool              // made in memory, without files
}

// New loads the certificate of name and the authorities from folder. It fails with fault.BadSetting if a file is missing,
// doesn't fit the others, or if the private key can be read by other users.
func New(folder, name string, now func() time.Time) (*Identity, error) {
	identity := &Identity{folder: folder, name: name, now: now}
	if err := identity.load(); err != nil {
		return nil, err
	}
	identity.checkedAt = now()
	return identity, nil
}

// Issue makes an identity in memory that the authority signs. Other hosts check its key and name and not its dates, so that
// a host whose clock is wrong can join.
func Issue(authority *keys.Authority, name string) (*Identity, error) {
	certificate, err := authority.Certificate(name, keys.RoleHost)
	if err != nil {
		return nil, err
	}
	reset, err := authority.Derive("stateless reset of " + name)
	if err != nil {
		return nil, err
	}
	roots := x509.NewCertPool()
	roots.AddCert(authority.Root())
	valid := authority.Root().NotBefore.Add(time.Hour)
	return &Identity{
		name: name, now: func() time.Time { return valid }, certificate: certificate, roots: roots, reset: reset, issued: true,
	}, nil
}

// Server returns a configuration that demands a certificate of a trusted authority from every client.
func (i *Identity) Server(protocol string) *tls.Config {
	return &tls.Config{
		MinVersion:             tls.VersionTLS13,
		NextProtos:             []string{protocol},
		ClientAuth:             tls.RequireAnyClientCert,
		GetCertificate:         func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return i.current() },
		VerifyConnection:       func(state tls.ConnectionState) error { return i.verify(state, x509.ExtKeyUsageClientAuth) },
		SessionTicketsDisabled: true, // a resumed session would skip the check against a replaced authority
	}
}

// Client returns a configuration for a connection to the host named expected. An empty name accepts any host.
func (i *Identity) Client(protocol string, expected unit.HostName) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		NextProtos: []string{protocol},
		// Hosts are addressed by IP number and identified by the name in their certificate, so the standard check of the
		// address is replaced by VerifyConnection, which checks the chain and the name.
		InsecureSkipVerify:   true, //nolint:gosec // see above
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return i.current() },
		VerifyConnection: func(state tls.ConnectionState) error {
			if err := i.verify(state, x509.ExtKeyUsageServerAuth); err != nil {
				return err
			}
			name, role := Peer(state)
			if role != keys.RoleHost || (expected != "" && name != string(expected)) {
				return fault.Unauthenticated.New("connected to %s %q, want host %q", role, name, expected)
			}
			return nil
		},
	}
}

// Peer returns the name and role in the certificate of the other side.
func Peer(state tls.ConnectionState) (name string, role keys.Role) {
	if len(state.PeerCertificates) == 0 {
		return "", ""
	}
	subject := state.PeerCertificates[0].Subject
	if len(subject.OrganizationalUnit) == 1 {
		role = keys.Role(subject.OrganizationalUnit[0])
	}
	return subject.CommonName, role
}

// ResetKey returns a secret that stays the same when the process is restarted. With it a host tells its peers at once that it
// doesn't know the connections of its former life.
func (i *Identity) ResetKey() ([sha256.Size]byte, error) {
	if i.issued {
		return i.reset, nil
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	raw, err := x509.MarshalPKCS8PrivateKey(i.certificate.PrivateKey)
	if err != nil {
		return [sha256.Size]byte{}, fault.Internal.Wrap(err, "cannot encode the private key")
	}
	return sha256.Sum256(append([]byte("citronglade stateless reset "), raw...)), nil
}

func (i *Identity) verify(state tls.ConnectionState, usage x509.ExtKeyUsage) error {
	if len(state.PeerCertificates) == 0 {
		return fault.Unauthenticated.New("the peer showed no certificate")
	}
	if _, err := i.current(); err != nil {
		return err
	}
	i.mu.Lock()
	roots := i.roots
	i.mu.Unlock()
	_, err := state.PeerCertificates[0].Verify(x509.VerifyOptions{
		Roots:       roots,
		CurrentTime: i.now(),
		KeyUsages:   []x509.ExtKeyUsage{usage},
	})
	if err != nil {
		return fault.Unauthenticated.Wrap(err, "the peer's certificate isn't valid")
	}
	return nil
}

// current returns the certificate in use, after a reload if the files have changed. A failed reload keeps the old one:
// a half-finished rotation must not take a working host down.
func (i *Identity) current() (*tls.Certificate, error) {
	i.mu.Lock()
	due := !i.issued && i.now().Sub(i.checkedAt) >= reloadInterval
	if due {
		i.checkedAt = i.now()
	}
	i.mu.Unlock()
	if due && i.changed() {
		if err := i.load(); err != nil {
			klog.Warningf("identity: kept the old certificate of %s, the new one can't be loaded: %v", i.name, err)
		}
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.certificate, nil
}

func (i *Identity) paths() [3]string {
	return [3]string{
		filepath.Join(i.folder, keys.AuthorityFile),
		filepath.Join(i.folder, keys.CertificateFile(i.name)),
		filepath.Join(i.folder, keys.KeyFile(i.name)),
	}
}

func (i *Identity) changed() bool {
	modified := i.modificationTimes()
	i.mu.Lock()
	defer i.mu.Unlock()
	return modified != i.modified
}

func (i *Identity) modificationTimes() (modified [3]time.Time) {
	for index, path := range i.paths() {
		if info, err := os.Stat(path); err == nil {
			modified[index] = info.ModTime()
		}
	}
	return modified
}

func (i *Identity) load() error {
	modified := i.modificationTimes()
	paths := i.paths()
	bundle, err := os.ReadFile(filepath.Clean(paths[0]))
	if err != nil {
		return fault.BadSetting.Wrap(err, "cannot read the authority")
	}
	authorities, err := keys.ParseCertificates(bundle)
	if err != nil {
		return err
	}
	if err := checkPrivate(paths[2]); err != nil {
		return err
	}
	certificate, err := tls.LoadX509KeyPair(paths[1], paths[2])
	if err != nil {
		return fault.BadSetting.Wrap(err, "cannot load the certificate of %s", i.name)
	}
	roots := x509.NewCertPool()
	for _, authority := range authorities {
		roots.AddCert(authority)
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	i.modified, i.certificate, i.roots = modified, &certificate, roots
	return nil
}

func checkPrivate(path string) error {
	info, err := os.Stat(path)
	if err != nil {
		return fault.BadSetting.Wrap(err, "cannot find the private key")
	}
	if info.Mode().Perm()&publicMode != 0 {
		return fault.BadSetting.New("private key %s has mode %o, want 600", path, info.Mode().Perm())
	}
	return nil
}
