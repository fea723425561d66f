// Package load implements the load subcommand, which sends a deployment's workload to entry hosts and reports latencies,
// cache hit rates and failures as callers see them.
package load

import (
	"context"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/citronglade/citronglade/internal/base/fault"
	"github.com/citronglade/citronglade/internal/base/unit"
	"github.com/citronglade/citronglade/internal/command/output"
	"github.com/citronglade/citronglade/internal/emulator/engine"
	"github.com/citronglade/citronglade/internal/measure/load"
	"github.com/citronglade/citronglade/internal/measure/shape"
)

const (
	plotWindow = time.Second

	example = `Example: 30 requests/s of Taalmaatjes to two entry hosts for a minute, the first 10 s of which aren't reported.

   citronglade load --shape taalmaatjes --targets 127.0.0.1:7200,127.0.0.1:7201 --rate 30 --duration 60s --warm-up 10s

Requests are sent at random times of the given rate, whether earlier ones have been answered or not. Customers' tokens
are --token-prefix and the customer's name, as in test/sheets. With --weights the text of every answer is compared
with the one that emulated engines give on these weights, of any one of the versions in --software. The exit code is 1 if an answer was incomplete or wrong.`
)

// New returns the load command.
func New() *cli.Command {
	return &cli.Command{
		Name: "load", Usage: "send a deployment's workload to entry hosts", Description: example,
		Flags: []cli.Flag{
			output.Flag(),
			&cli.StringFlag{Name: "shape", Usage: "taalmaatjes or norrmark", Value: "taalmaatjes"},
			&cli.StringFlag{Name: "targets", Usage: "callers' addresses of entry hosts, separated by commas", Required: true},
			&cli.Uint64Flag{Name: "seed", Usage: "seed of the workload", Value: 1},
			&cli.FloatFlag{Name: "rate", Usage: "requests/s", Value: 20},
			&cli.DurationFlag{Name: "duration", Usage: "how long requests are sent", Value: 30 * time.Second},
			&cli.DurationFlag{Name: "warm-up", Usage: "first part that isn't reported", Value: 5 * time.Second},
			&cli.DurationFlag{Name: "hour", Usage: "time after which other prefixes become popular", Value: time.Hour},
			&cli.IntFlag{Name: "bytes-per-token", Usage: "as the entry hosts are set", Value: 4},
			&cli.IntFlag{Name: "piece-tokens", Usage: "as the entry hosts are set", Value: 2000},
			&cli.StringFlag{Name: "token-prefix", Usage: "beginning of customers' bearer tokens", Value: "token-"},
			&cli.StringFlag{Name: "weights", Usage: "weights version of emulated engines; checks the text of answers"},
			&cli.StringFlag{Name: "software", Usage: "software versions of the emulated engines, separated by commas, as --weights"},
			&cli.StringFlag{Name: "limited-engines", Usage: "addresses of emulated engines, separated by commas, that name --request-limit meanwhile"},
			&cli.FloatFlag{Name: "request-limit", Usage: "requests/s from all hosts together", Value: 1},
			&cli.FloatFlag{Name: "poison-share", Usage: "share of the chat requests that get a message with --poison-text"},
			&cli.StringFlag{Name: "poison-text", Usage: "contains the --poison text of emulated engines"},
			&cli.StringFlag{Name: "poison-engines", Usage: "addresses of emulated engines, separated by commas, whose crashes are reported"},
			&cli.StringFlag{Name: "plot", Usage: "file (.svg or .png) for a plot of the token hit rate over time"},
		},
		Action: run,
	}
}

func run(ctx context.Context, c *cli.Command) error {
	generator, err := newGenerator(c)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	var limited []string
	if addresses := c.String("limited-engines"); addresses != "" {
		limited = strings.Split(addresses, ",")
	}
	if err := load.SetRequestLimit(ctx, limited, c.Float("request-limit")); err != nil {
		return err
	}
	var poisoned []string
	if addresses := c.String("poison-engines"); addresses != "" {
		poisoned = strings.Split(addresses, ",")
	}
	crashed, err := load.Crashes(ctx, poisoned)
	if err != nil {
		return err
	}
	report, err := generator.Run(ctx)
	if err != nil {
		return err
	}
	if report.Poisoned.Crashes, err = load.Crashes(ctx, poisoned); err != nil {
		return err
	}
	report.Poisoned.Crashes -= crashed
	if report.LimitedEngines, err = load.RequestsUnderLimit(ctx, limited); err != nil {
		return err
	}
	if err := load.SetRequestLimit(ctx, limited, 0); err != nil {
		return err
	}
	if file := c.String("plot"); file != "" {
		series := []load.Series{{Name: c.String("shape"), Report: report}}
		if err := load.PlotHitRate(file, "Token hit rate", plotWindow, series); err != nil {
			return err
		}
	}
	if err := output.New(c).Result(report, func(*output.Printer) { report.Print(c.Root().Writer) }); err != nil {
		return err
	}
	if report.Wrong > 0 {
		return fault.Internal.New("%d answers were incomplete or wrong", report.Wrong)
	}
	return nil
}

func newGenerator(c *cli.Command) (*load.Generator, error) {
	s, err := shape.Find(c.String("shape"))
	if err != nil {
		return nil, err
	}
	if c.Float("rate") <= 0 || c.Duration("duration") <= c.Duration("warm-up") || c.Duration("hour") <= 0 {
		return nil, fault.BadSetting.New("--rate and --hour must be above 0, --duration longer than --warm-up")
	}
	if c.Int("bytes-per-token") < 1 || c.Int("piece-tokens") < 1 {
		return nil, fault.BadSetting.New("--bytes-per-token and --piece-tokens must be above 0")
	}
	if share := c.Float("poison-share"); share < 0 || share > 1 || share > 0 && c.String("poison-text") == "" {
		return nil, fault.BadSetting.New("--poison-share must be between 0 and 1, and above 0 it needs --poison-text")
	}
	s.Hour = c.Duration("hour")
	text := shape.Text{BytesPerToken: c.Int("bytes-per-token"), PieceTokens: unit.Tokens(c.Int("piece-tokens"))}
	o := load.Options{
		Workload: shape.New(s, c.Uint64("seed"), c.Float("rate"), text), Targets: strings.Split(c.String("targets"), ","),
		Seed: c.Uint64("seed"), Duration: c.Duration("duration"), WarmUp: c.Duration("warm-up"),
		Token: func(id unit.CustomerID) string { return c.String("token-prefix") + string(id) },
	}
	if weights := unit.WeightsVersion(c.String("weights")); weights != "" {
		var versions []unit.SoftwareVersion
		for version := range strings.SplitSeq(c.String("software"), ",") {
			versions = append(versions, unit.SoftwareVersion(version))
		}
		o.Expect = func(r shape.Request) []string { return EmulatedAnswers(r, weights, versions...) }
	}
	if share := c.Float("poison-share"); share > 0 {
		o.Workload.AddPoison(c.String("poison-text"), share)
	}
	return load.New(o), nil
}

// EmulatedAnswers returns the texts with which emulated engines with these weights answer the request, one for each software version.
func EmulatedAnswers(r shape.Request, weights unit.WeightsVersion, versions ...unit.SoftwareVersion) []string {
	prompt := r.Messages[0].Content
	if r.Call.Chat {
		var messages []engine.Message
		for _, m := range r.Messages {
			messages = append(messages, engine.Message(m))
		}
		prompt = engine.ChatPrompt(messages)
	}
	var texts []string
	for _, version := range versions {
		texts = append(texts, engine.OutputOf(prompt, weights, version, r.Seed, r.AnswerTokens))
	}
	return texts
}
