// Package member implements the member subcommand, which adds and removes control hosts.
package member

import (
	"context"

	"github.com/urfave/cli/v3"

	"github.com/citronglade/citronglade/internal/base/fault"
	"github.com/citronglade/citronglade/internal/base/unit"
	"github.com/citronglade/citronglade/internal/command/client"
	"github.com/citronglade/citronglade/internal/command/output"
	"github.com/citronglade/citronglade/internal/host/operators"
)

const example = `Example: control host entry-3 has lost its disk. Start it again with an empty folder, then:

   citronglade member remove entry-3
   citronglade member add entry-3
   citronglade status

The host is a learner without a vote until it has caught up; status shows when it has become a voter.`

// New returns the member command.
func New() *cli.Command {
	flags := func() []cli.Flag { return append(client.Flags(), output.Flag()) }
	return &cli.Command{
		Name: "member", Usage: "add and remove control hosts, one at a time", Description: example,
		Commands: []*cli.Command{
			{Name: "add", Usage: "add a running control host", ArgsUsage: "HOST", Flags: flags(), Action: changeMember(func(name unit.HostName) operators.MemberChange {
				return operators.MemberChange{Add: name}
			})},
			{Name: "remove", Usage: "remove a lost control host", ArgsUsage: "HOST", Flags: flags(), Action: changeMember(func(name unit.HostName) operators.MemberChange {
				return operators.MemberChange{Remove: name}
			})},
		},
	}
}

func changeMember(body func(unit.HostName) operators.MemberChange) cli.ActionFunc {
	return func(ctx context.Context, c *cli.Command) error {
		if c.NArg() != 1 {
			return fault.BadSetting.New("name one host")
		}
		hosts, err := client.New(c)
		if err != nil {
			return err
		}
		name := c.Args().First()
		if err := hosts.Post(ctx, "/members", body(unit.HostName(name)), nil); err != nil {
			return err
		}
		output.New(c).Linef("%s %s accepted in every group", c.Name, name)
		return nil
	}
}
