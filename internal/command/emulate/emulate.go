// Package emulate implements the emulate subcommand, which runs emulators of endpoints for tests and measurements.
package emulate

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"

	"github.com/urfave/cli/v3"
	"k8s.io/klog/v2"

	"github.com/citronglade/citronglade/internal/base/fault"
	"github.com/citronglade/citronglade/internal/base/unit"
	"github.com/citronglade/citronglade/internal/emulator/engine"
	"github.com/citronglade/citronglade/internal/emulator/service"
	"github.com/citronglade/citronglade/internal/emulator/store"
)

const example = `Example: two engines, a service and a cache store that announce themselves to one host.

   citronglade emulate engine --count 2 --listen 127.0.0.1:8000 --name taalmodel --entries 127.0.0.1:7300
   citronglade emulate service --count 1 --listen 127.0.0.1:8100 --name koppel-app --entries 127.0.0.1:7300
   citronglade emulate store --count 1 --listen 127.0.0.1:8200 --name prompt-geheugen --entries 127.0.0.1:7300

Several stand-ins of one command listen on consecutive ports and are numbered NAME-1, NAME-2 and so on.`

// New returns the emulate command.
func New() *cli.Command {
	return &cli.Command{
		Name: "emulate", Usage: "run stand-ins of engines, services or cache stores", Description: example,
		Commands: []*cli.Command{
			{Name: "engine", Usage: "emulate engines", Flags: append(flags(), engineFlags()...), Action: runAll(newEngines)},
			{Name: "service", Usage: "emulate service replicas", Flags: flags(), Action: runAll(newServices)},
			{Name: "store", Usage: "emulate cache stores", Flags: flags(), Action: runAll(newStores)},
		},
	}
}

func flags() []cli.Flag {
	return []cli.Flag{
		&cli.IntFlag{Name: "count", Usage: "number of stand-ins", Value: 1},
		&cli.IntFlag{Name: "first", Usage: "number of the first stand-in", Value: 1},
		&cli.StringFlag{Name: "listen", Usage: "address of the first", Value: "127.0.0.1:8000"},
		&cli.StringFlag{Name: "name", Usage: "model, service or store", Value: "taalmodel"},
		&cli.StringFlag{Name: "entries", Usage: "endpoint addresses of entry hosts, separated by commas"},
		&cli.StringFlag{Name: "announce-key-file", Usage: "file with the announce key", Value: "keys/announce.key"},
		&cli.StringFlag{Name: "data-centres", Usage: "data centres that the stand-ins are spread over", Value: "nlw-a"},
		&cli.IntFlag{Name: "slots", Usage: "requests that one stand-in runs at a time", Value: 16},
		&cli.FloatFlag{Name: "time-scale", Usage: "factor on all emulated times", Value: 1},
		&cli.FloatFlag{Name: "request-limit", Usage: "requests/s from all hosts that engines and services name in their answers; 0 names none"},
	}
}

func engineFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: "weights", Usage: "weights version at the start", Value: "w1"},
		&cli.FloatFlag{Name: "brittle", Usage: "rejections/s that engines name in their answers and beyond which they crash; 0 names none"},
		&cli.StringFlag{Name: "software", Usage: "software version to announce; engines of different versions write different texts"},
		&cli.IntFlag{Name: "cache-pieces", Usage: "pieces that one engine's cache holds", Value: 64},
		&cli.IntFlag{Name: "piece-tokens", Usage: "tokens of one piece", Value: 2000},
		&cli.FloatFlag{Name: "prefill-rate", Usage: "prefill in tokens/s", Value: 8000},
		&cli.IntFlag{Name: "concurrent-loads", Usage: "engines that may load weights at once without slowing down", Value: 3},
		&cli.BoolFlag{Name: "ignore-fencing", Usage: "obey orders with an old fencing number"},
		&cli.StringFlag{Name: "store", Usage: "address of the cache store to export pieces to"},
		&cli.StringFlag{Name: "poison", Usage: "a prompt with this text crashes the engine when it begins to write the answer"},
	}
}

// emulator is an emulated engine, service replica or cache store.
type emulator interface {
	Run(ctx context.Context) error
}

// commonOptions are the values of the flags that all kinds of emulators share. ids, addresses and dataCentres have one
// element for each emulator.
type commonOptions struct {
	ids         []unit.EndpointID
	addresses   []string
	dataCentres []unit.DataCentre
	entries     []string
	key         string
}

func runAll(build func(c *cli.Command, o commonOptions) []emulator) cli.ActionFunc {
	return func(ctx context.Context, c *cli.Command) error {
		o, err := readCommonOptions(c)
		if err != nil {
			return err
		}
		ctx, stop := signal.NotifyContext(ctx, syscall.SIGINT, syscall.SIGTERM)
		defer stop()
		var group sync.WaitGroup
		var mu sync.Mutex
		var first error
		for _, e := range build(c, o) {
			group.Go(func() {
				if err := e.Run(ctx); err != nil && ctx.Err() == nil {
					mu.Lock()
					defer mu.Unlock()
					first = err
					stop()
				}
			})
		}
		klog.Infof("emulate: started %d emulators of %s, the first listens on %s", len(o.ids), c.String("name"), o.addresses[0])
		group.Wait()
		return first
	}
}

func readCommonOptions(c *cli.Command) (commonOptions, error) {
	var o commonOptions
	key, err := os.ReadFile(filepath.Clean(c.String("announce-key-file")))
	if err != nil {
		return o, fault.BadSetting.Wrap(err, "cannot read the announce key")
	}
	o.key = strings.TrimSpace(string(key))
	for entry := range strings.SplitSeq(c.String("entries"), ",") {
		if entry != "" {
			o.entries = append(o.entries, "http://"+entry)
		}
	}
	centres := strings.Split(c.String("data-centres"), ",")
	var port int
	host, portText, ok := strings.Cut(c.String("listen"), ":")
	if _, err := fmt.Sscanf(portText, "%d", &port); !ok || err != nil || c.Int("count") < 1 {
		return o, fault.BadSetting.New("--listen is %q and --count is %d, expected IP:port and a number above 0", c.String("listen"), c.Int("count"))
	}
	for i := range c.Int("count") {
		o.ids = append(o.ids, unit.EndpointID(fmt.Sprintf("%s-%d", c.String("name"), c.Int("first")+i)))
		o.addresses = append(o.addresses, fmt.Sprintf("%s:%d", host, port+i))
		o.dataCentres = append(o.dataCentres, unit.DataCentre(centres[i%len(centres)]))
	}
	return o, nil
}

func newEngines(c *cli.Command, o commonOptions) []emulator {
	weightStore := engine.NewWeightStore(c.Int("concurrent-loads"))
	var list []emulator
	for i, id := range o.ids {
		list = append(list, engine.New(engine.Options{
			Listen: o.addresses[i], Endpoint: id, DataCentre: o.dataCentres[i], Entries: o.entries, AnnounceKey: o.key,
			Model: unit.ModelName(c.String("name")), Weights: unit.WeightsVersion(c.String("weights")), Software: unit.SoftwareVersion(c.String("software")),
			Slots: c.Int("slots"), CachePieces: c.Int("cache-pieces"), PieceTokens: unit.Tokens(c.Int("piece-tokens")),
			PrefillRate: c.Float("prefill-rate"), WeightStore: weightStore, HonoursFencing: !c.Bool("ignore-fencing"),
			Store: c.String("store"), PoisonMarker: c.String("poison"), TimeScale: c.Float("time-scale"), Seed: uint64(i),
			Settings: engine.Settings{RequestLimit: c.Float("request-limit"), Brittle: c.Float("brittle")},
		}))
	}
	return list
}

func newServices(c *cli.Command, o commonOptions) []emulator {
	var list []emulator
	for i, id := range o.ids {
		list = append(list, service.New(service.Options{
			Listen: o.addresses[i], Endpoint: id, DataCentre: o.dataCentres[i], Service: c.String("name"), Slots: c.Int("slots"),
			Entries: o.entries, AnnounceKey: o.key, TimeScale: c.Float("time-scale"),
			Settings: service.Settings{RequestLimit: c.Float("request-limit")},
		}))
	}
	return list
}

func newStores(c *cli.Command, o commonOptions) []emulator {
	var list []emulator
	for i, id := range o.ids {
		list = append(list, store.New(store.Options{
			Listen: o.addresses[i], Endpoint: id, DataCentre: o.dataCentres[i], Entries: o.entries, AnnounceKey: o.key,
			TimeScale: c.Float("time-scale"),
		}))
	}
	return list
}
