// Package settings implements the settings subcommand, which prints the settings of a host.
package settings

import (
	"context"

	"github.com/urfave/cli/v3"

	"github.com/citronglade/citronglade/internal/command/host"
	"github.com/citronglade/citronglade/internal/command/output"
	"github.com/citronglade/citronglade/internal/host/settings"
)

const example = `Example:

   CITRONGLADE_FRESHNESS=3s citronglade settings --name entry-1 --data-centre nlw-a \
      --entry-hosts entry-1 --control-hosts entry-1

The exit code is 2 when a setting can't be used.`

// New returns the settings command.
func New() *cli.Command {
	return &cli.Command{
		Name: "settings", Usage: "print each setting of a host, its value and where it came from", Description: example,
		Flags: append(host.Flags(), output.Flag()), Action: run,
	}
}

func run(_ context.Context, c *cli.Command) error {
	_, values, problems := settings.New(host.FlagLookup(c))
	err := output.New(c).Result(values, func(p *output.Printer) {
		rows := make([][]string, 0, len(values))
		for _, value := range values {
			rows = append(rows, []string{value.Name, value.Value, string(value.Origin)})
		}
		p.Table([]string{"SETTING", "VALUE", "ORIGIN"}, rows)
	})
	if problems != nil {
		return problems
	}
	return err
}
