// Package claim implements the claim subcommand, which resolves once-only requests whose outcome is unknown.
package claim

import (
	"context"

	"github.com/urfave/cli/v3"

	"github.com/citronglade/citronglade/internal/base/fault"
	"github.com/citronglade/citronglade/internal/base/unit"
	"github.com/citronglade/citronglade/internal/command/client"
	"github.com/citronglade/citronglade/internal/command/output"
	"github.com/citronglade/citronglade/internal/host/operators"
)

const (
	customerFlag = "customer"
	keyFlag      = "idempotency-key"
	outcomeFlag  = "outcome"
	reasonFlag   = "reason"
)

const example = `Example: the service's own books show that a confirmation was never made.

   citronglade claim resolve --customer utrecht --idempotency-key 81f3 --outcome not-run \
      --reason "koppel-app has no pairing 81f3"

Only an unknown outcome can be resolved. With not-run the key is free again, and a resend runs.`

// New returns the claim command.
func New() *cli.Command {
	return &cli.Command{
		Name: "claim", Usage: "resolve once-only requests whose outcome is unknown", Description: example,
		Commands: []*cli.Command{{
			Name: "resolve", Usage: "record what became of a request", Action: resolve,
			Flags: append(client.Flags(), output.Flag(),
				&cli.StringFlag{Name: customerFlag, Usage: "the customer", Required: true},
				&cli.StringFlag{Name: keyFlag, Usage: "the request's Idempotency-Key", Required: true},
				&cli.StringFlag{Name: outcomeFlag, Usage: "done or not-run", Required: true},
				&cli.StringFlag{Name: reasonFlag, Usage: "how you know, for the record", Required: true},
			),
		}},
	}
}

func resolve(ctx context.Context, c *cli.Command) error {
	hosts, err := client.New(c)
	if err != nil {
		return err
	}
	outcome := unit.Outcome(c.String(outcomeFlag))
	if outcome != unit.OutcomeDone && outcome != unit.OutcomeNotRun {
		return fault.BadSetting.New("--%s is %q, allowed are done and not-run", outcomeFlag, outcome)
	}
	var answer operators.ResolveAnswer
	err = hosts.Post(ctx, "/claims/resolve", operators.Resolve{
		Customer: unit.CustomerID(c.String(customerFlag)), Key: c.String(keyFlag), Outcome: outcome, Reason: c.String(reasonFlag),
	}, &answer)
	if err != nil {
		return err
	}
	if answer.State != string(outcome) {
		return fault.Conflict.New("the request's state is %s, it can't be resolved as %s", answer.State, outcome)
	}
	return output.New(c).Result(answer, func(p *output.Printer) { p.Linef("the request is recorded as %s", outcome) })
}
