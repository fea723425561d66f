package main

import (
	"context"
	"fmt"
	"os"
	"slices"
	"time"

	"github.com/citronglade/citronglade/internal/emulator/engine"
	"github.com/citronglade/citronglade/internal/measure/load"
	"github.com/citronglade/citronglade/internal/measure/shape"
	"github.com/citronglade/citronglade/test/driver"
)

const (
	// overloadLoad is the offered load as a fraction of the capacity.
	overloadLoad = 1.5
	// samplePeriod is the interval at which the engines' queue lengths are sampled.
	samplePeriod = 500 * time.Millisecond
)

// overload offers 150% of the capacity and prints the fraction of urgent requests that meet their deadline, the latency of
// refusals, the engines' queue lengths and the used fraction of their prefill capacity.
func (p *plan) overload() error {
	return p.eachShape(func(s shape.Shape, rate float64) error {
		rate *= overloadLoad
		f, err := startFleet(setup{shape: s, binary: p.binary, placement: "warm"})
		if err != nil {
			return err
		}
		defer f.close()
		for _, seed := range p.seeds {
			watch := f.watchEngines()
			report, err := f.generate(seed, rate, 2*p.duration-p.warmUp, p.warmUp)
			queued, busy := watch()
			if err != nil {
				return err
			}
			urgent := s.Calls[0].Name
			ofSent, ofAdmitted := report.InTime(urgent, s.Deadline)
			fmt.Printf("%s, seed %d, offered %.0f requests/s (150%%): of %d urgent requests %.1f%% met their deadline, of the admitted ones %.1f%%; refused %d, refusal p99 %.1f ms; engines' queues mean %.1f, most %d; prefill %.0f%% used\n",
				s.Name, seed, rate, report.Group(urgent).Sent, 100*ofSent, 100*ofAdmitted, report.Refused, report.Group(urgent).Refusal.P99,
				mean(queued), slices.Max(queued), 100*busy)
			report.Print(os.Stdout)
			if err := p.save(fmt.Sprintf("overload-%s-%d", s.Name, seed), []load.Series{{Name: "warm", Report: report}}); err != nil {
				return err
			}
		}
		return nil
	})
}

// eachShape calls measure with each selected shape and its capacity in requests/s.
func (p *plan) eachShape(measure func(s shape.Shape, capacity float64) error) error {
	for _, name := range p.shapes {
		s, err := shape.Find(name)
		if err != nil {
			return err
		}
		text, rate, err := describeShape(s)
		if err != nil {
			return err
		}
		fmt.Printf("\n%s\n", text)
		if err := measure(s, rate); err != nil {
			return err
		}
	}
	return nil
}

// watchEngines samples the engines' queue lengths until the returned function is called. That function returns the total number
// of requests queued in all engines at each sample, and the fraction of the engines' prefill capacity that was used.
func (f *fleet) watchEngines() func() (queued []int, busy float64) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	var queues []int
	first, _ := f.engineCounters()
	began := time.Now()
	go func() {
		defer close(done)
		ticker := time.NewTicker(samplePeriod)
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
				if sum, err := f.engineCounters(); err == nil {
					queues = append(queues, sum.Queued)
				}
			}
		}
	}()
	return func() ([]int, float64) {
		cancel()
		<-done
		last, _ := f.engineCounters()
		computed := float64(last.RecomputedTokens - first.RecomputedTokens)
		return append(queues, last.Queued), computed / (time.Since(began).Seconds() * prefillRate[f.shape.Name] * float64(len(f.engines)))
	}
}

// engineCounters returns the sums of the counters Requests, RecomputedTokens and Queued over all engines.
func (f *fleet) engineCounters() (sum engine.Counters, err error) {
	for _, address := range f.engines {
		var c engine.Counters
		if err := driver.Get("http://"+address+"/emulator/v1/counters", &c); err != nil {
			return sum, err
		}
		sum.Requests += c.Requests
		sum.RecomputedTokens += c.RecomputedTokens
		sum.Queued += c.Queued
	}
	return sum, nil
}

func mean(values []int) float64 {
	sum := 0
	for _, v := range values {
		sum += v
	}
	return float64(sum) / float64(max(len(values), 1))
}
