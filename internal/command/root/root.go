// Package root assembles the root command of the citronglade binary from its subcommands and runs it.
package root

import (
	"context"
	"flag"
	"fmt"
	"io"
	"slices"
	"strings"

	"github.com/joomcode/errorx"
	"github.com/urfave/cli/v3"
	"k8s.io/klog/v2"

	"github.com/citronglade/citronglade/internal/base/fault"
	"github.com/citronglade/citronglade/internal/command/claim"
	"github.com/citronglade/citronglade/internal/command/emulate"
	"github.com/citronglade/citronglade/internal/command/endpoint"
	"github.com/citronglade/citronglade/internal/command/explain"
	"github.com/citronglade/citronglade/internal/command/host"
	"github.com/citronglade/citronglade/internal/command/keys"
	"github.com/citronglade/citronglade/internal/command/load"
	"github.com/citronglade/citronglade/internal/command/member"
	"github.com/citronglade/citronglade/internal/command/record"
	"github.com/citronglade/citronglade/internal/command/settings"
	"github.com/citronglade/citronglade/internal/command/sheet"
	"github.com/citronglade/citronglade/internal/command/status"
	"github.com/citronglade/citronglade/internal/command/weights"
)

// Exit codes of the binary.
const (
	ExitDone   = 0
	ExitFailed = 1
	ExitUsage  = 2
)

// subcommands lists the constructors of all subcommands in the order of the help page.
var subcommands = []func() *cli.Command{
	host.New, settings.New, keys.New, sheet.New, status.New, endpoint.New, weights.New, claim.New, member.New, record.New,
	explain.New, emulate.New, load.New,
}

// Run parses and runs the command line and returns the exit code. The additional constructors add subcommands after those
// of this package.
func Run(arguments []string, stdout, stderr io.Writer, additional ...func() *cli.Command) int {
	root := &cli.Command{
		Name:  "citronglade",
		Usage: "route language-model traffic with long shared prompts",
		Description: "Exit codes: 0 done, 1 refused or failed, 2 wrong usage or settings.\n" +
			"Each verb's --help has an example.",
		Writer: stdout, ErrWriter: stderr,
		Flags:          []cli.Flag{&cli.IntFlag{Name: "verbosity", Usage: "log detail, 0 to 2", Sources: cli.EnvVars("CITRONGLADE_VERBOSITY")}},
		Before:         setVerbosity,
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
		OnUsageError:   onUsageError,
		Action:         showHelp,
	}
	for _, newCommand := range slices.Concat(subcommands, additional) {
		root.Commands = append(root.Commands, withUsageErrors(newCommand()))
	}
	err := root.Run(context.Background(), arguments)
	klog.Flush()
	if err == nil {
		return ExitDone
	}
	_, _ = fmt.Fprintf(stderr, "citronglade: %s\n", strings.ReplaceAll(err.Error(), "citronglade.", ""))
	if errorx.IsOfType(err, fault.BadSetting) {
		return ExitUsage
	}
	return ExitFailed
}

// showHelp is the action of the root command: it prints the help page, or fails with fault.BadSetting if the first argument
// isn't a subcommand.
func showHelp(_ context.Context, c *cli.Command) error {
	if c.NArg() > 0 {
		return fault.BadSetting.New("%q is not a verb, see citronglade --help", c.Args().First())
	}
	return cli.ShowRootCommandHelp(c)
}

func onUsageError(_ context.Context, _ *cli.Command, err error, _ bool) error {
	return fault.BadSetting.Wrap(err, "wrong usage")
}

// withUsageErrors makes a command and its subcommands at all levels report wrong flags and missing or unknown subcommands
// as fault.BadSetting.
func withUsageErrors(c *cli.Command) *cli.Command {
	c.OnUsageError = onUsageError
	for _, sub := range c.Commands {
		withUsageErrors(sub)
	}
	if len(c.Commands) > 0 && c.Action == nil {
		c.Action = func(_ context.Context, c *cli.Command) error {
			return fault.BadSetting.New("%s needs a subcommand, see citronglade %s --help", c.Name, c.Name)
		}
	}
	return c
}

func setVerbosity(ctx context.Context, c *cli.Command) (context.Context, error) {
	var flags flag.FlagSet
	klog.InitFlags(&flags)
	if err := flags.Set("v", fmt.Sprint(c.Int("verbosity"))); err != nil {
		return ctx, fault.BadSetting.Wrap(err, "cannot set the verbosity")
	}
	return ctx, nil
}
