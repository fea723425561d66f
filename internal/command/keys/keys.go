// Package keys implements the keys subcommand, which creates the certificate authority, the certificates of hosts and
// operators, and the key that endpoints announce themselves with.
package keys

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"os"
	"path/filepath"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/citronglade/citronglade/internal/base/fault"
	"github.com/citronglade/citronglade/internal/command/output"
	"github.com/citronglade/citronglade/internal/network/keys"
)

const (
	folderFlag   = "keys-folder"
	lifetimeFlag = "lifetime"
	announceFile = "announce.key"
)

const example = `Example:

   citronglade keys authority --keys-folder keys
   citronglade keys host --keys-folder keys entry-1 entry-2 entry-3
   citronglade keys operator --keys-folder keys operator
   citronglade keys announce --keys-folder keys

Copy authority.pem and the host's own NAME.pem and NAME-key.pem to each host; authority-key.pem stays with you. To rotate,
make a new authority in the same folder, copy the new authority.pem to all hosts, then issue and copy new certificates.
Hosts read changed files again within seconds.`

// New returns the keys command.
func New() *cli.Command {
	return &cli.Command{
		Name: "keys", Usage: "make the authority and the keys of hosts, operators and endpoints", Description: example,
		Commands: []*cli.Command{
			{Name: "authority", Usage: "make an authority; an existing one stays trusted", Flags: flags(), Action: createAuthority},
			{Name: "host", Usage: "issue certificates for hosts", ArgsUsage: "NAME...", Flags: flags(), Action: issue(keys.RoleHost)},
			{Name: "operator", Usage: "issue certificates for operators", ArgsUsage: "NAME...", Flags: flags(), Action: issue(keys.RoleOperator)},
			{Name: "announce", Usage: "make the key that endpoints announce themselves with", Flags: flags(), Action: createAnnounceKey},
		},
	}
}

func flags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: folderFlag, Usage: "folder for the files", Value: "keys", Sources: cli.EnvVars("CITRONGLADE_KEYS_FOLDER")},
		&cli.DurationFlag{Name: lifetimeFlag, Usage: "how long a certificate is valid", Value: 365 * 24 * time.Hour},
	}
}

func createAuthority(_ context.Context, c *cli.Command) error {
	folder := c.String(folderFlag)
	if _, err := keys.New(folder, time.Now()); err != nil {
		return err
	}
	output.New(c).Linef("authority written to %s", filepath.Join(folder, keys.AuthorityFile))
	return nil
}

func issue(role keys.Role) cli.ActionFunc {
	return func(_ context.Context, c *cli.Command) error {
		if c.NArg() == 0 {
			return fault.BadSetting.New("name at least one %s", role)
		}
		folder := c.String(folderFlag)
		authority, err := keys.Open(folder)
		if err != nil {
			return err
		}
		for _, name := range c.Args().Slice() {
			if err := authority.Issue(folder, name, role, time.Now(), c.Duration(lifetimeFlag)); err != nil {
				return err
			}
			output.New(c).Linef("%s %s: %s and %s", role, name, keys.CertificateFile(name), keys.KeyFile(name))
		}
		return nil
	}
}

func createAnnounceKey(_ context.Context, c *cli.Command) error {
	folder := c.String(folderFlag)
	secret := make([]byte, 32)
	_, _ = rand.Read(secret)
	path := filepath.Join(folder, announceFile)
	if err := os.MkdirAll(folder, 0o700); err != nil {
		return fault.DiskFailed.Wrap(err, "cannot create folder %s", folder)
	}
	if err := os.WriteFile(path, []byte(hex.EncodeToString(secret)+"\n"), 0o600); err != nil {
		return fault.DiskFailed.Wrap(err, "cannot write %s", path)
	}
	output.New(c).Linef("announce key written to %s", path)
	return nil
}
