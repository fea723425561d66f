// Package explain implements the explain subcommand, which prints the recorded decisions about one request.
package explain

import (
	"context"

	"github.com/urfave/cli/v3"

	"github.com/citronglade/citronglade/internal/base/fault"
	"github.com/citronglade/citronglade/internal/base/unit"
	"github.com/citronglade/citronglade/internal/command/client"
	"github.com/citronglade/citronglade/internal/command/output"
	"github.com/citronglade/citronglade/internal/record/audit"
)

const example = `Example: the id is in the Citronglade-Request-Id header of every answer.

   citronglade explain 5d1c0f1de7a94d9f8a0e8f2f3d1b7c6a

--operator-hosts must name control hosts, which keep the record.`

// New returns the explain command.
func New() *cli.Command {
	return &cli.Command{
		Name: "explain", Usage: "tell what was decided about one request, and why", ArgsUsage: "REQUEST-ID", Description: example,
		Flags: append(client.Flags(), output.Flag()), Action: run,
	}
}

func run(ctx context.Context, c *cli.Command) error {
	if c.NArg() != 1 {
		return fault.BadSetting.New("name one request id")
	}
	hosts, err := client.New(c)
	if err != nil {
		return err
	}
	id := unit.RequestID(c.Args().First())
	merged, err := hosts.Record(ctx, id)
	if err != nil {
		return err
	}
	explanation, err := audit.Explain(merged.Entries, id)
	if err != nil {
		return err
	}
	return output.New(c).Result(merged.Entries, func(p *output.Printer) { p.Linef("%s", explanation) })
}
