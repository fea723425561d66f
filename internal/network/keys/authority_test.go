package keys

import (
	"crypto/x509"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/joomcode/errorx"
	"gotest.tools/v3/assert"

	"github.com/citronglade/citronglade/internal/base/fault"
)

// Guards against an authority that signs with a key that isn't its own, after a rotation of the keys broke off or a loss of power undid a part of
// it: hosts refuse such certificates.
func TestAnAuthorityHasTheCertificateOfItsKey(t *testing.T) {
	folder := t.TempDir()
	read := func(name string) []byte {
		data, err := os.ReadFile(filepath.Join(folder, name))
		assert.NilError(t, err)
		return data
	}
	first, err := New(folder, time.Now())
	assert.NilError(t, err)
	oldKey, oldBundle := read(AuthorityKeyFile), read(AuthorityFile)
	second, err := New(folder, time.Now())
	assert.NilError(t, err)
	newKey, newBundle := read(AuthorityKeyFile), read(AuthorityFile)
	cases := []struct {
		name        string
		key, bundle []byte
		want        *Authority // nil if the files don't fit
	}{
		{name: "before the rotation", key: oldKey, bundle: oldBundle, want: first},
		{name: "after the rotation", key: newKey, bundle: newBundle, want: second},
		{name: "the key isn't replaced yet", key: oldKey, bundle: newBundle, want: first},
		{name: "the key is newer than all certificates", key: newKey, bundle: oldBundle},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			assert.NilError(t, os.WriteFile(filepath.Join(folder, AuthorityKeyFile), c.key, 0o600))
			assert.NilError(t, os.WriteFile(filepath.Join(folder, AuthorityFile), c.bundle, 0o600))
			opened, err := Open(folder)
			if c.want == nil {
				assert.Assert(t, errorx.IsOfType(err, fault.Corrupt), "%v", err)
				return
			}
			assert.NilError(t, err)
			assert.Assert(t, opened.RootCertificate().Equal(c.want.RootCertificate()))
			issued, err := opened.IssueInMemory("h", RoleHost)
			assert.NilError(t, err)
			certificate, err := x509.ParseCertificate(issued.Certificate[0])
			assert.NilError(t, err)
			assert.NilError(t, certificate.CheckSignatureFrom(opened.RootCertificate()))
		})
	}
}
