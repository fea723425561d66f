package main

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/citronglade/citronglade/internal/measure/shape"
)

const (
	limitHosts = 7
	// limitLoad is the offered load as a multiple of the customer's limit.
	limitLoad = 2
	// limitPhase is the duration of each of the two measurements, before and during the partition.
	limitPhase = 10 * time.Second
	// limitWarmUp is the time before the first measurement, in which leases adapt to the demand and the burst is used up.
	limitWarmUp = 4 * time.Second
)

// limits offers twice a customer's limit to 7 entry hosts, partitions one of them from the others, and counts the admitted
// requests before and during the partition.
func (p *plan) limits() error {
	s, err := shape.Find(p.shapes[0])
	if err != nil {
		return err
	}
	partitioned := &atomic.Bool{}
	f, err := startFleet(setup{shape: s, binary: p.binary, placement: "warm", stub: true, hosts: limitHosts, limitFactor: 5, partitioned: partitioned})
	if err != nil {
		return err
	}
	defer f.close()
	const limit = 300 // requests/s of the customer utrecht: 60 in the sheet, multiplied by the factor 5
	interval := time.Second * limitHosts / time.Duration(limitLoad*limit)
	count := newAdmissionCounter()
	stop := make(chan struct{})
	var running sync.WaitGroup
	client := &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	defer client.CloseIdleConnections()
	for _, host := range f.cluster.Hosts {
		running.Go(func() {
			ticker := time.NewTicker(interval)
			defer ticker.Stop()
			for {
				select {
				case <-stop:
					return
				case <-ticker.C:
				}
				running.Go(func() {
					at := time.Now()
					if status, _, err := sendChat(client, host.Caller, string(s.Customers[0].ID), chatBody(s.Model, 1, 200)); err == nil && status == http.StatusOK {
						count.add(host.Name, at)
					}
				})
			}
		})
	}
	began := time.Now()
	time.Sleep(limitWarmUp + limitPhase)
	partitioned.Store(true)
	partitionStart := time.Now()
	time.Sleep(limitPhase)
	close(stop)
	running.Wait()
	isolated := f.cluster.Hosts[limitHosts-1].Name
	for _, phase := range []struct {
		name string
		from time.Time
	}{{"before the partition", began.Add(limitWarmUp)}, {"after it", partitionStart}} {
		all, alone := count.between(phase.from, phase.from.Add(limitPhase), isolated)
		fmt.Printf("%s: limit %d requests/s, offered %d, admitted %.1f (%+.1f%% of the limit, target at most +5%%), by the isolated host %.1f\n",
			phase.name, limit, limitLoad*limit, float64(all)/limitPhase.Seconds(),
			100*(float64(all)/limitPhase.Seconds()/limit-1), float64(alone)/limitPhase.Seconds())
	}
	return nil
}

// admissionCounter records the times of admitted requests by host. It is safe for concurrent use.
type admissionCounter struct {
	mu       sync.Mutex
	admitted map[string][]time.Time
}

func newAdmissionCounter() *admissionCounter {
	return &admissionCounter{admitted: map[string][]time.Time{}}
}

func (c *admissionCounter) add(host string, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.admitted[host] = append(c.admitted[host], at)
}

// between returns the number of requests admitted from one time until another, by all hosts and by one of them.
func (c *admissionCounter) between(from, until time.Time, one string) (all, alone int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for host, times := range c.admitted {
		for _, at := range times {
			if at.Before(from) || !at.Before(until) {
				continue
			}
			all++
			if host == one {
				alone++
			}
		}
	}
	return all, alone
}
