// Package host implements the host subcommand, which runs a host.
package host

import (
	"context"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"

	"github.com/citronglade/citronglade/internal/host/process"
	"github.com/citronglade/citronglade/internal/host/settings"
)

const example = `Example: one host with both roles.

   citronglade keys authority --keys-folder keys
   citronglade keys host --keys-folder keys entry-1
   citronglade keys announce --keys-folder keys
   citronglade host --name entry-1 --data-centre nlw-a --roles entry,control \
      --entry-hosts entry-1 --control-hosts entry-1 --data-folder data

SIGTERM and SIGINT stop the host gracefully: running requests are finished.`

// New returns the host command.
func New() *cli.Command {
	return &cli.Command{
		Name: "host", Usage: "run a host with the entry role, the control role or both", Description: example,
		Flags: Flags(), Action: run,
	}
}

// Flags returns one flag for each setting. The flags have no default values and read no environment variables: package
// settings resolves both, so that it knows the origin of each value.
func Flags() []cli.Flag {
	flags := make([]cli.Flag, 0, len(settings.Table))
	for _, definition := range settings.Table {
		usage := definition.Usage + "; " + definition.Allowed + " [$" + definition.Variable() + "]"
		flags = append(flags, &cli.StringFlag{Name: definition.Name, Usage: usage, DefaultText: definition.Default})
	}
	return flags
}

// FlagLookup returns a function that looks up a flag by name and reports whether it was given on the command line.
func FlagLookup(c *cli.Command) func(name string) (string, bool) {
	return func(name string) (string, bool) {
		return c.String(name), c.IsSet(name)
	}
}

func run(ctx context.Context, c *cli.Command) error {
	checked, _, err := settings.New(FlagLookup(c))
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	p, err := process.New(checked)
	if err != nil {
		return err
	}
	return p.Run(ctx)
}
