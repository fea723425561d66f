package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"regexp"
	"strconv"
	"syscall"
	"time"

	"github.com/citronglade/citronglade/internal/base/fault"
	"github.com/citronglade/citronglade/internal/measure/load"
	"github.com/citronglade/citronglade/internal/measure/shape"
)

const (
	// outageLoad is the offered load as a fraction of the capacity. The remaining half of the replicas can just serve it.
	outageLoad     = 0.4
	outageDuration = 15 * time.Second
)

var retriesLine = regexp.MustCompile(`(?m)^citronglade_retries_total (\d+)`)

// outage kills half of the replicas during a run and compares the number of retries after that with the number of requests.
func (p *plan) outage() error {
	return p.eachShape(func(s shape.Shape, capacity float64) error {
		f, err := startFleet(setup{shape: s, binary: p.binary, placement: "warm"})
		if err != nil {
			return err
		}
		defer f.close()
		rate := outageLoad * capacity
		type result struct {
			report *load.Report
			err    error
		}
		done := make(chan result, 1)
		go func() {
			report, err := f.generator(f.workload(1, rate), 1, p.warmUp+outageDuration, 0).Run(context.Background())
			done <- result{report, err}
		}()
		time.Sleep(p.warmUp)
		before, err := f.retries()
		if err != nil {
			return err
		}
		_ = f.cluster.Stop("engine-2", syscall.SIGKILL) // the exit error only says that the process was killed
		r := <-done
		if r.err != nil {
			return r.err
		}
		after, err := f.retries()
		if err != nil {
			return err
		}
		report := r.report.Between(p.warmUp, p.warmUp+outageDuration)
		fmt.Printf("%s, seed 1, %.0f requests/s (%.0f%%): half of the replicas killed; in the next %s %d requests sent, %d complete, %d refused, %d failed, %d wrong, %d retries (%.1f%%, target at most 10%% extra work)\n",
			s.Name, rate, 100*outageLoad, outageDuration, report.Sent, report.Complete, report.Refused, report.Failed, report.Wrong,
			after-before, 100*float64(after-before)/float64(max(report.Sent, 1)))
		report.Print(os.Stdout)
		return nil
	})
}

// retries returns the sum of the retry counters of all hosts.
func (f *fleet) retries() (sum int, err error) {
	for _, host := range f.cluster.Hosts {
		response, err := http.Get("http://" + host.Metrics + "/metrics") //nolint:noctx // loopback address of a process of the fleet
		if err != nil {
			return 0, fault.Unreachable.Wrap(err, "cannot read the metrics of %s", host.Name)
		}
		data, err := io.ReadAll(response.Body)
		_ = response.Body.Close()
		if err != nil {
			return 0, fault.BrokenAnswer.Wrap(err, "cannot read the metrics of %s", host.Name)
		}
		if found := retriesLine.FindSubmatch(data); found != nil {
			number, _ := strconv.Atoi(string(found[1]))
			sum += number
		}
	}
	return sum, nil
}
