// Package identity holds the certificate that a process presents to its peers and the certificate authorities that it trusts.
// The files are read again when they change, so that keys can be rotated without a restart.
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
	// reloadInterval is the minimum time between two checks for changed files. New connections use a replaced certificate
	// after this time at the latest.
	reloadInterval = 2 * time.Second
	// groupAndOtherBits are the permission bits that a private key file must not have.
	groupAndOtherBits = 0o077
)

// Identity is the certificate, private key and trusted authorities of one process. It is safe for concurrent use.
type Identity struct {
	folder string
	name   string
	now    func() time.Time

	mu          sync.Mutex
	checkedAt   time.Time    // when the files were last checked for changes
	modified    [3]time.Time // modification times of the loaded files, in the order of paths
	certificate *tls.Certificate
	roots       *x509.CertPool
	resetKey    [sha256.Size]byte // result of ResetKey, only of an identity without files
	inMemory    bool              // made by Issue, without files
}

// New loads the certificate and key of name and the authorities from folder. It fails with fault.BadSetting if a file is
// missing, if the certificate and the key don't match, or if other users can access the private key.
func New(folder, name string, now func() time.Time) (*Identity, error) {
	identity := &Identity{folder: folder, name: name, now: now}
	if err := identity.load(); err != nil {
		return nil, err
	}
	identity.checkedAt = now()
	return identity, nil
}

// Issue makes an identity in memory, without files, with a certificate signed by the authority. It checks peers'
// certificates at a fixed time within the validity of the authority, so that a host whose clock is wrong can join.
func Issue(authority *keys.Authority, name string) (*Identity, error) {
	certificate, err := authority.IssueInMemory(name, keys.RoleHost)
	if err != nil {
		return nil, err
	}
	resetKey, err := authority.DeriveSecret("stateless reset of " + name)
	if err != nil {
		return nil, err
	}
	roots := x509.NewCertPool()
	roots.AddCert(authority.RootCertificate())
	verifyAt := authority.RootCertificate().NotBefore.Add(time.Hour)
	return &Identity{
		name: name, now: func() time.Time { return verifyAt }, certificate: certificate, roots: roots, resetKey: resetKey,
		inMemory: true,
	}, nil
}

// Server returns a TLS configuration for a server that requires a certificate of a trusted authority from every client.
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

// Client returns a TLS configuration for connections to the host named expected. An empty name accepts any host.
func (i *Identity) Client(protocol string, expected unit.HostName) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		NextProtos: []string{protocol},
		// Hosts are addressed by IP address and identified by the name in their certificate. VerifyConnection checks the chain
		// and that name instead of the standard verification, which compares the certificate with the address.
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

// Peer returns the name and role in the peer's certificate, empty ones if it presented none.
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

// ResetKey returns the key for QUIC stateless resets. It stays the same over restarts, so that a restarted host can reset the
// connections that its peers still have open to the previous process.
func (i *Identity) ResetKey() ([sha256.Size]byte, error) {
	if i.inMemory {
		return i.resetKey, nil
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	raw, err := x509.MarshalPKCS8PrivateKey(i.certificate.PrivateKey)
	if err != nil {
		return [sha256.Size]byte{}, fault.Internal.Wrap(err, "cannot encode the private key")
	}
	return sha256.Sum256(append([]byte("citronglade stateless reset "), raw...)), nil
}

// verify checks that the peer's certificate is signed by a trusted authority, allowed for the usage and valid now.
func (i *Identity) verify(state tls.ConnectionState, usage x509.ExtKeyUsage) error {
	if len(state.PeerCertificates) == 0 {
		return fault.Unauthenticated.New("the peer presented no certificate")
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

// current returns the certificate to use, reloaded if the files have changed since the last check. If the reload fails, the
// old certificate and authorities stay in use, so that an incomplete key rotation doesn't stop a working host.
func (i *Identity) current() (*tls.Certificate, error) {
	i.mu.Lock()
	due := !i.inMemory && i.now().Sub(i.checkedAt) >= reloadInterval
	if due {
		i.checkedAt = i.now()
	}
	i.mu.Unlock()
	if due && i.changed() {
		if err := i.load(); err != nil {
			klog.Warningf("identity: cannot reload the certificate of %s, still using the old one: %v", i.name, err)
		}
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.certificate, nil
}

// paths returns the files of the authorities, of the certificate and of its private key.
func (i *Identity) paths() [3]string {
	return [3]string{
		filepath.Join(i.folder, keys.AuthorityFile),
		filepath.Join(i.folder, keys.CertificateFile(i.name)),
		filepath.Join(i.folder, keys.KeyFile(i.name)),
	}
}

// changed reports whether the files were modified since the last successful load.
func (i *Identity) changed() bool {
	modified := i.modificationTimes()
	i.mu.Lock()
	defer i.mu.Unlock()
	return modified != i.modified
}

// modificationTimes returns the times in the order of paths, zero for a file that can't be read.
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

// checkPrivate fails if a private key file is missing or accessible to other users.
func checkPrivate(path string) error {
	info, err := os.Stat(path)
	if err != nil {
		return fault.BadSetting.Wrap(err, "cannot find the private key")
	}
	if info.Mode().Perm()&groupAndOtherBits != 0 {
		return fault.BadSetting.New("private key %s has mode %o, want 600", path, info.Mode().Perm())
	}
	return nil
}
