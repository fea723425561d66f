package member

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// benchElectionTimeout is the default of Config.Election. The tests use a shorter timeout.
const benchElectionTimeout = 400 * time.Millisecond

// BenchmarkPropose measures the throughput and latency of proposals from a fixed number of concurrent callers. All members
// run in one process and sync to real files.
func BenchmarkPropose(b *testing.B) {
	for _, size := range []int{1, 3, 5} {
		for _, callers := range []int{1, 64, 512} {
			b.Run(fmt.Sprintf("members=%d/callers=%d", size, callers), func(b *testing.B) {
				c := newCluster(b, size, func(_ string, cfg *Config) { cfg.Election = benchElectionTimeout })
				c.leader()
				b.ResetTimer()
				latencies, retries := measureProposals(c, b.N, callers)
				b.StopTimer()
				slices.Sort(latencies)
				b.ReportMetric(float64(len(latencies))/b.Elapsed().Seconds(), "proposals/s")
				b.ReportMetric(float64(retries), "retries")
				b.ReportMetric(float64(latencies[len(latencies)/2].Microseconds())/1000, "p50-ms")
				b.ReportMetric(float64(latencies[len(latencies)*99/100].Microseconds())/1000, "p99-ms")
			})
		}
	}
}

// measureProposals makes count proposals and returns the latency of each, including its retries, and the number of retries.
func measureProposals(c *cluster, count, callers int) (latencies []time.Duration, retries int64) {
	latencies = make([]time.Duration, count)
	var next, retried atomic.Int64
	var wait sync.WaitGroup
	for range callers {
		wait.Go(func() {
			_, h := c.leader()
			for i := next.Add(1) - 1; i < int64(count); i = next.Add(1) - 1 {
				start := time.Now()
				for _, err := h.Propose(context.Background(), encodeCommand(1)); err != nil; {
					retried.Add(1)
					_, h = c.leader()
					_, err = h.Propose(context.Background(), encodeCommand(1))
				}
				latencies[i] = time.Since(start)
			}
		})
	}
	wait.Wait()
	return latencies, retried.Load()
}

// BenchmarkRestart measures how long a group of one member takes from the start until it has elected a leader and applied
// its whole log, and how much of that is opening the folder.
func BenchmarkRestart(b *testing.B) {
	for _, commands := range []uint64{100, 1000, 10000} {
		for _, size := range []int64{64 << 10, 1 << 40} {
			b.Run(fmt.Sprintf("commands=%d/snapshot-bytes=%d", commands, size), func(b *testing.B) {
				c := newCluster(b, 1, func(_ string, cfg *Config) {
					cfg.Election, cfg.SnapshotBytes = benchElectionTimeout, size
				})
				c.proposeMany(commands)
				var opening time.Duration
				for b.Loop() {
					b.StopTimer()
					assert.NilError(b, c.stopHost("host-1"))
					b.StartTimer()
					start := time.Now()
					h := c.start("host-1")
					opening += time.Since(start)
					c.leader()
					assert.NilError(b, h.ReadBarrier(context.Background()))
				}
				b.ReportMetric(float64(opening.Microseconds())/1000/float64(b.N), "open-ms")
				c.awaitApplied(commands)
			})
		}
	}
}
