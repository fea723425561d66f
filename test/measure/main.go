// Command measure runs the workloads of both deployments on real entry host processes and emulated engines, and prints the
// results next to the targets of the design page. All measurements of a section run one after the other on the same machine.
// Run it with make measure.
package main

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/citronglade/citronglade/internal/base/fault"
)

// plan holds the command-line options.
type plan struct {
	binary, previous, output string
	shapes, variants         []string
	seeds                    []uint64
	warmUp, duration         time.Duration
	load                     float64 // fraction of the capacity that the placement section offers
}

// section is a group of measurements, which can be selected by name.
type section struct {
	name, title string
	run         func(*plan) error
}

var sections = []section{
	{"placement", "Placement variants and the upper bound at one load", (*plan).placement},
	{"overload", "Admission at 150% of the capacity", (*plan).overload},
	{"restart", "Token hit rate after all entry hosts restart together", (*plan).restart},
	{"latency", "Latency that the router adds without queueing", (*plan).latency},
	{"outage", "Retries while half of the replicas are gone", (*plan).outage},
	{"limits", "Requests admitted over a customer's limit with a partitioned host", (*plan).limits},
	{"shift", "Token hit rate after a shift of the popular prefixes", (*plan).shift},
}

func main() {
	if err := run(); err != nil {
		fmt.Fprintf(os.Stderr, "measure: %v\n", err)
		os.Exit(1)
	}
}

func run() error {
	p := &plan{}
	var names []string
	for _, s := range sections {
		names = append(names, s.name)
	}
	chosen := flag.String("sections", strings.Join(names, ","), "sections to run")
	shapes := flag.String("shapes", "taalmaatjes,norrmark", "shapes to run")
	variants := flag.String("variants", "", "placement variants to run; empty runs all of them and the upper bound")
	seeds := flag.Int("seeds", 2, "number of seeds, which are 1, 2 and so on")
	flag.StringVar(&p.binary, "binary", "bin/citronglade", "binary under test")
	flag.StringVar(&p.previous, "previous", "", "binary of the previous version, which is run as an additional baseline")
	flag.StringVar(&p.output, "output", "out/measure", "folder for reports and plots")
	flag.DurationVar(&p.warmUp, "warm-up", 4*time.Second, "time at the start of each run that isn't reported")
	flag.DurationVar(&p.duration, "duration", 10*time.Second, "length of each run, including its warm-up")
	flag.Float64Var(&p.load, "load", 0.8, "fraction of the capacity that is offered in the placement section")
	flag.Parse()
	p.shapes = strings.Split(*shapes, ",")
	if *variants != "" {
		p.variants = strings.Split(*variants, ",")
	}
	for seed := range *seeds {
		p.seeds = append(p.seeds, uint64(seed)+1)
	}
	if err := os.MkdirAll(p.output, 0o750); err != nil {
		return fault.DiskFailed.Wrap(err, "cannot create the folder for reports")
	}
	for _, s := range sections {
		if !slices.Contains(strings.Split(*chosen, ","), s.name) {
			continue
		}
		began := time.Now()
		fmt.Printf("\n== %s (%s), load average %s\n", s.title, s.name, loadAverage())
		if err := s.run(p); err != nil {
			return err
		}
		fmt.Printf("   took %s, load average %s\n", time.Since(began).Round(time.Second), loadAverage())
	}
	return nil
}

// loadAverage returns the machine's load average of the last minute. It is printed with the results, because other load on the
// machine affects measured times.
func loadAverage() string {
	data, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return "unknown"
	}
	first, _, _ := strings.Cut(string(data), " ")
	return first
}

// outputPath returns the path of a file in the output folder.
func (p *plan) outputPath(name string) string {
	return filepath.Join(p.output, name)
}
