// Package weights implements the weights subcommand, which rolls out versions of models' weights.
package weights

import (
	"context"
	"maps"
	"strings"

	"github.com/urfave/cli/v3"

	"github.com/citronglade/citronglade/internal/base/fault"
	"github.com/citronglade/citronglade/internal/base/unit"
	"github.com/citronglade/citronglade/internal/command/client"
	"github.com/citronglade/citronglade/internal/command/output"
	"github.com/citronglade/citronglade/internal/command/sheet"
	"github.com/citronglade/citronglade/internal/control/rollout"
	"github.com/citronglade/citronglade/internal/host/operators"
)

const (
	orderFlag  = "order-id"
	reasonFlag = "reason"
)

const example = `Example: roll out version w2 of taalmodel, watch it, and stop it half-way.

   citronglade weights set taalmodel=w2
   citronglade status
   citronglade weights pause --reason "error rate went up" taalmodel
   citronglade weights resume taalmodel

At most --concurrent-loads replicas (a setting of the control hosts) load at the same time.`

// New returns the weights command.
func New() *cli.Command {
	flags := func(more ...cli.Flag) []cli.Flag { return append(append(client.Flags(), output.Flag()), more...) }
	reason := &cli.StringFlag{Name: reasonFlag, Usage: "why, for the record"}
	intervention := func(action, usage string) *cli.Command {
		return &cli.Command{Name: action, Usage: usage, ArgsUsage: "MODEL", Flags: flags(reason), Action: intervene(action)}
	}
	return &cli.Command{
		Name: "weights", Usage: "roll out a version of a model's weights", Description: example,
		Commands: []*cli.Command{
			{
				Name: "set", Usage: "set the version that all replicas of a model shall have", ArgsUsage: "MODEL=VERSION...", Action: set,
				Flags: flags(&cli.StringFlag{Name: orderFlag, Usage: "id of this order (default: random)"}),
			},
			intervention(rollout.ActionPause, "start no further replica"),
			intervention(rollout.ActionResume, "go on after a pause and try failed replicas again"),
			intervention(rollout.ActionAbort, "give the target up"),
		},
	}
}

func set(ctx context.Context, c *cli.Command) error {
	hosts, err := client.New(c)
	if err != nil {
		return err
	}
	var current operators.Configuration
	if err := hosts.Get(ctx, "/configuration", &current); err != nil {
		return err
	}
	targets := map[unit.ModelName]unit.WeightsVersion{}
	maps.Copy(targets, current.Weights)
	for _, pair := range c.Args().Slice() {
		model, version, ok := strings.Cut(pair, "=")
		if !ok || model == "" || version == "" {
			return fault.BadSetting.New("%q isn't MODEL=VERSION", pair)
		}
		targets[unit.ModelName(model)] = unit.WeightsVersion(version)
	}
	if c.NArg() == 0 {
		return fault.BadSetting.New("name at least one MODEL=VERSION")
	}
	order := operators.Order{ID: unit.OrderID(c.String(orderFlag)), Base: current.Version, Weights: targets}
	if order.ID == "" {
		order.ID = unit.NewOrderID()
	}
	return sheet.Submit(ctx, c, hosts, order)
}

func intervene(action string) cli.ActionFunc {
	return func(ctx context.Context, c *cli.Command) error {
		if c.NArg() != 1 {
			return fault.BadSetting.New("name one model")
		}
		hosts, err := client.New(c)
		if err != nil {
			return err
		}
		body := operators.Intervention{Action: action, Model: unit.ModelName(c.Args().First()), Reason: c.String(reasonFlag)}
		var answer operators.OrderAnswer
		if err := hosts.Post(ctx, "/rollout", body, &answer); err != nil {
			return err
		}
		if !answer.Accepted {
			return fault.Conflict.New("the rollout of %s can't %s: %s", body.Model, action, answer.Reason)
		}
		output.New(c).Linef("rollout of %s: %s accepted", body.Model, action)
		return nil
	}
}
