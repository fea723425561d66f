package main

import (
	"context"
	"fmt"
	"syscall"
	"time"

	"github.com/citronglade/citronglade/internal/measure/load"
	"github.com/citronglade/citronglade/internal/measure/shape"
)

const (
	// changeLoad is the offered load during a restart or a shift, as a fraction of the capacity.
	changeLoad = 0.6
	// steadyDuration is the time before a change whose hit rate is compared with the hit rate after it.
	steadyDuration = 10 * time.Second
	// restartDuration and shiftDuration are the times after a restart or a shift in which the hit rate is measured.
	restartDuration = 60 * time.Second
	shiftDuration   = 30 * time.Second
	// changeWindow is the interval over which one value of the hit rate is computed after a shift and in plots.
	changeWindow = 2 * time.Second
)

// restart kills all entry hosts, starts them again and compares the hit rate of the following 60 s with the hit rate before.
func (p *plan) restart() error {
	return p.eachShape(func(s shape.Shape, capacity float64) error {
		f, err := startFleet(setup{shape: s, binary: p.binary, placement: "warm"})
		if err != nil {
			return err
		}
		defer f.close()
		rate := changeLoad * capacity
		before, err := f.generateFrom(f.workload(1, rate), p.warmUp+steadyDuration, p.warmUp)
		if err != nil {
			return err
		}
		for _, host := range f.cluster.Hosts {
			_ = f.cluster.Stop(host.Name, syscall.SIGKILL) // the exit error only says that the process was killed
		}
		began := time.Now()
		if err := f.cluster.StartHosts(); err != nil {
			return err
		}
		if err := f.waitReady(); err != nil {
			return err
		}
		down := time.Since(began)
		after, err := f.generateFrom(f.workload(1, rate), restartDuration, 0)
		if err != nil {
			return err
		}
		first := after.Between(0, steadyDuration)
		fmt.Printf("%s, seed 1, %.0f requests/s (%.0f%%): all entry hosts were killed and ready after %.1f s; hit rate before %.4f, in the first 10 s after %.4f (%+.1f points), in 60 s %.4f (%+.1f points)\n",
			s.Name, rate, 100*changeLoad, down.Seconds(), before.HitRate, first.HitRate, 100*(first.HitRate-before.HitRate),
			after.HitRate, 100*(after.HitRate-before.HitRate))
		return p.plotChange("restart-"+s.Name, after)
	})
}

// shift changes the popular prefixes in the middle of a run and measures the time until the hit rate has recovered.
func (p *plan) shift() error {
	return p.eachShape(func(s shape.Shape, capacity float64) error {
		s.Hour = p.warmUp + steadyDuration
		f, err := startFleet(setup{shape: s, binary: p.binary, placement: "warm"})
		if err != nil {
			return err
		}
		defer f.close()
		rate := changeLoad * capacity
		report, err := f.generateFrom(f.workload(1, rate), s.Hour+shiftDuration, 0)
		if err != nil {
			return err
		}
		// Each hit rate has its own upper bound, because the first use of a new prefix is an unavoidable miss.
		before := report.Between(p.warmUp, s.Hour)
		fmt.Printf("%s, seed 1, %.0f requests/s (%.0f%%): hit rate before the shift %.4f of at most %.4f; after it", s.Name, rate,
			100*changeLoad, before.HitRate, before.BestHitRate)
		back := time.Duration(-1)
		for at := s.Hour; at < s.Hour+shiftDuration; at += changeWindow {
			part := report.Between(at, at+changeWindow)
			fmt.Printf(" %.3f", part.HitRate)
			if back < 0 && part.HitRate >= before.HitRate-0.02 {
				back = at + changeWindow - s.Hour
			}
		}
		fmt.Printf(" (each %s); back within 2 points after %s\n", changeWindow, back)
		return p.plotChange("shift-"+s.Name, report)
	})
}

// plotChange writes a plot of the hit rate over time.
func (p *plan) plotChange(name string, r *load.Report) error {
	return load.PlotHitRate(p.outputPath(name+".svg"), name, changeWindow, []load.Series{{Name: "warm", Report: r}})
}

// workload returns the fleet's workload at a rate in requests/s.
func (f *fleet) workload(seed uint64, rate float64) *shape.Workload {
	return shape.New(f.shape, seed, rate, shape.Text{BytesPerToken: bytesPerToken, PieceTokens: pieceTokens})
}

// generateFrom sends a workload to all hosts and reports on the requests after the warm-up.
func (f *fleet) generateFrom(w *shape.Workload, duration, warmUp time.Duration) (*load.Report, error) {
	return f.generator(w, 1, duration, warmUp).Run(context.Background())
}
