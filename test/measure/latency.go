package main

import (
	"fmt"
	"net/http"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/citronglade/citronglade/internal/base/fault"
	"github.com/citronglade/citronglade/internal/measure/shape"
)

const (
	latencyRequests = 3000
	latencyWarmUp   = 300
	// latencyPause is the pause between requests, which keeps queues empty.
	latencyPause = time.Millisecond
	// addedTarget is the target for the 99th percentile of the latency that the router adds.
	addedTarget = time.Millisecond
)

// latency measures the latency that the router adds. It sends requests one at a time to an engine that answers immediately,
// alternately directly and through the router, with short and with long prompts.
func (p *plan) latency() error {
	s, err := shape.Find(p.shapes[0])
	if err != nil {
		return err
	}
	f, err := startFleet(setup{shape: s, binary: p.binary, placement: "warm", stub: true})
	if err != nil {
		return err
	}
	defer f.close()
	for _, bytes := range []int{200, 50_000} {
		if err := f.addedLatency(bytes); err != nil {
			return err
		}
	}
	return nil
}

// addedLatency measures and prints the latency for prompts of the given size in bytes.
func (f *fleet) addedLatency(bytes int) error {
	client := &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 8}}
	defer client.CloseIdleConnections()
	targets := []string{f.engine.address, f.cluster.Hosts[entryHosts-1].Caller}
	names := []string{"direct", "through the router"}
	histograms := []*hdrhistogram.Histogram{hdrhistogram.New(1, 10_000_000, 3), hdrhistogram.New(1, 10_000_000, 3)}
	for number := range latencyWarmUp + latencyRequests {
		for at, target := range targets {
			status, took, err := sendChat(client, target, string(f.shape.Customers[0].ID), chatBody(f.shape.Model, number, bytes))
			if err != nil {
				return err
			}
			if status != http.StatusOK {
				return fault.Internal.New("%s answered %d", names[at], status)
			}
			if number >= latencyWarmUp {
				_ = histograms[at].RecordValue(took.Microseconds())
			}
			time.Sleep(latencyPause)
		}
	}
	fmt.Printf("prompt of %d bytes, %d requests, one at a time, to an entry host without the control role:\n", bytes, latencyRequests)
	for at, h := range histograms {
		fmt.Printf("  %-18s p50 %d µs, p95 %d µs, p99 %d µs, p99.9 %d µs\n", names[at], h.ValueAtQuantile(50), h.ValueAtQuantile(95),
			h.ValueAtQuantile(99), h.ValueAtQuantile(99.9))
	}
	added := func(q float64) int64 { return histograms[1].ValueAtQuantile(q) - histograms[0].ValueAtQuantile(q) }
	fmt.Printf("  added: p50 %d µs, p95 %d µs, p99 %d µs (target under %d µs at p99), load average %s\n", added(50), added(95), added(99),
		addedTarget.Microseconds(), loadAverage())
	return nil
}
