package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/citronglade/citronglade/internal/base/fault"
	"github.com/citronglade/citronglade/internal/base/unit"
	commandload "github.com/citronglade/citronglade/internal/command/load"
	"github.com/citronglade/citronglade/internal/measure/load"
	"github.com/citronglade/citronglade/internal/measure/shape"
	"github.com/citronglade/citronglade/internal/routing/placement"
)

const (
	upperBound = "upper-bound"
	previous   = "previous"
	// rampLoad is the fraction of the rate that is offered in the first half of the warm-up.
	rampLoad = 0.5
	// grace is how long answers are awaited after the last request was sent. It exceeds the deadlines of all urgent requests;
	// deferrable requests may wait for up to a minute in an overloaded system, which is not awaited.
	grace = 4 * time.Second
)

// placement runs all placement variants at the same load and with the same seeds. The upper bound is the variant warm with
// practically unlimited caches.
func (p *plan) placement() error {
	return p.eachShape(func(s shape.Shape, rate float64) error {
		rate *= p.load
		fmt.Printf("offered %.0f requests/s (%.0f%%), seeds %v, %s each with %s warm-up\n", rate, p.load*100, p.seeds, p.duration, p.warmUp)
		var series []load.Series
		for _, variant := range p.variantNames() {
			report, err := p.runVariant(s, variant, rate)
			if err != nil {
				return err
			}
			series = append(series, load.Series{Name: variant, Report: report})
			if report.Wrong > 0 {
				report.Print(os.Stdout)
			}
		}
		printVariants(s, series)
		if err := p.save("placement-"+s.Name, series); err != nil {
			return err
		}
		return load.PlotFirstToken(p.outputPath("placement-"+s.Name+".svg"), s.Name, s.Calls[0].Name, series)
	})
}

// variantNames returns the variants to run: the selected ones, or all with the baselines.
func (p *plan) variantNames() []string {
	if len(p.variants) > 0 {
		return p.variants
	}
	var names []string
	for _, v := range placement.Variants {
		names = append(names, v.Name)
	}
	if p.previous != "" {
		names = append(names, previous)
	}
	return append(names, upperBound)
}

// runVariant runs a variant with every seed and returns the merged report.
func (p *plan) runVariant(s shape.Shape, variant string, rate float64) (*load.Report, error) {
	set := setup{shape: s, binary: p.binary, placement: variant}
	switch variant {
	case upperBound:
		set.placement, set.cachePieces = placement.Variants[0].Name, unlimitedPieces
	case previous:
		set.placement, set.binary = placement.Variants[0].Name, p.previous
	}
	f, err := startFleet(set)
	if err != nil {
		return nil, err
	}
	defer f.close()
	var reports []*load.Report
	for _, seed := range p.seeds {
		report, err := f.generate(seed, rate, p.duration, p.warmUp)
		if err != nil {
			return nil, err
		}
		reports = append(reports, report)
	}
	return load.Merge(reports...), nil
}

// generate sends the shape's workload to all hosts. In the first half of the warm-up, the rate is reduced to rampLoad of it.
func (f *fleet) generate(seed uint64, rate float64, duration, warmUp time.Duration) (*load.Report, error) {
	workload := f.workload(seed, rate)
	workload.Ramp(rampLoad, warmUp/2)
	return f.generator(workload, seed, duration, warmUp).Run(context.Background())
}

func (f *fleet) generator(w *shape.Workload, seed uint64, duration, warmUp time.Duration) *load.Generator {
	return load.New(load.Options{
		Workload: w, Targets: f.callerAddresses(), Seed: seed, Duration: duration, WarmUp: warmUp, Grace: grace,
		Token:  func(id unit.CustomerID) string { return "token-" + string(id) },
		Expect: func(r shape.Request) []string { return commandload.EmulatedAnswers(r, weights, "") },
	})
}

// printVariants prints a table that compares the variants' reports.
func printVariants(s shape.Shape, series []load.Series) {
	urgent, deferrable := s.Calls[0].Name, s.Calls[1].Name
	bound := 0.0
	if at := slices.IndexFunc(series, func(one load.Series) bool { return one.Name == upperBound }); at >= 0 {
		bound = series[at].Report.HitRate
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintf(w, "variant\tsent\trefused\tfailed\twrong\thit rate\tof bound\trecomputed/unavoidable\t%s p50\tp95\tp99 (ms)\t%s p50\tp99 (ms)\n", urgent, deferrable)
	for _, one := range series {
		r, u, d := one.Report, one.Report.Group(urgent).FirstToken, one.Report.Group(deferrable).FirstToken
		ofBound := "-"
		if bound > 0 {
			ofBound = fmt.Sprintf("%.1f%%", 100*r.HitRate/bound)
		}
		_, _ = fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%.4f\t%s\t%.2f\t%.0f\t%.0f\t%.0f\t%.0f\t%.0f\n", one.Name, r.Sent, r.Refused, r.Failed, r.Wrong,
			r.HitRate, ofBound, r.Recomputed, u.P50, u.P95, u.P99, d.P50, d.P99)
	}
	_ = w.Flush()
}

// save writes reports as a JSON file to the output folder.
func (p *plan) save(name string, series []load.Series) error {
	data, err := json.MarshalIndent(series, "", "  ")
	if err != nil {
		return fault.Internal.Wrap(err, "cannot encode the reports")
	}
	if err := os.WriteFile(p.outputPath(name+".json"), data, 0o600); err != nil {
		return fault.DiskFailed.Wrap(err, "cannot write the reports")
	}
	return nil
}
