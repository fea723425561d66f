// Package endpoint implements the endpoint subcommand, which lists and drains endpoints.
package endpoint

import (
	"context"
	"fmt"

	"github.com/urfave/cli/v3"

	"github.com/citronglade/citronglade/internal/base/fault"
	"github.com/citronglade/citronglade/internal/command/client"
	"github.com/citronglade/citronglade/internal/command/output"
	"github.com/citronglade/citronglade/internal/host/operators"
)

const example = `Example:

   citronglade endpoint list
   citronglade endpoint drain taalmodel-7

A drained endpoint gets no new work from any entry host within 2 s. The drain ends when the endpoint restarts.`

// New returns the endpoint command.
func New() *cli.Command {
	flags := func() []cli.Flag { return append(client.Flags(), output.Flag()) }
	return &cli.Command{
		Name: "endpoint", Usage: "list and drain engines, services and cache stores", Description: example,
		Commands: []*cli.Command{
			{Name: "list", Usage: "list the endpoints that the first reachable host knows", Flags: flags(), Action: list},
			{Name: "drain", Usage: "give an endpoint no new work", ArgsUsage: "ENDPOINT-ID", Flags: flags(), Action: drain},
		},
	}
}

func list(ctx context.Context, c *cli.Command) error {
	hosts, err := client.New(c)
	if err != nil {
		return err
	}
	var endpoints []operators.EndpointStatus
	if err := hosts.Get(ctx, "/endpoints", &endpoints); err != nil {
		return err
	}
	return output.New(c).Result(endpoints, func(p *output.Printer) {
		var rows [][]string
		for _, e := range endpoints {
			rows = append(rows, []string{
				string(e.Endpoint), e.Kind, e.Name, e.Address, string(e.DataCentre), string(e.Weights), e.State,
				fmt.Sprint(e.Running), fmt.Sprint(e.Queued),
			})
		}
		p.Table([]string{"ENDPOINT", "KIND", "NAME", "ADDRESS", "DATA CENTRE", "WEIGHTS", "STATE", "RUNNING", "QUEUED"}, rows)
	})
}

// drain sends the drain request to every host, so that a lost message between hosts doesn't delay the drain. It
// succeeds if at least one host accepts the request.
func drain(ctx context.Context, c *cli.Command) error {
	if c.NArg() != 1 {
		return fault.BadSetting.New("name one endpoint")
	}
	hosts, err := client.New(c)
	if err != nil {
		return err
	}
	accepted := 0
	for _, host := range hosts.Hosts() {
		if callErr := hosts.PostTo(ctx, host, "/endpoints/"+c.Args().First()+"/drain", nil, nil); callErr != nil {
			err = callErr
			continue
		}
		accepted++
	}
	if accepted == 0 {
		return err
	}
	output.New(c).Linef("%s drains, %d hosts were told", c.Args().First(), accepted)
	return nil
}
