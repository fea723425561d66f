package usage

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/citronglade/citronglade/internal/admission/share"
	"github.com/citronglade/citronglade/internal/base/unit"
	"github.com/citronglade/citronglade/internal/planning/usagelimit"
)

// Logs, for comparison only, how much of what fits leased shares serve: each host has its part of a reserve of 20 in 100, and one control host
// leases the rest for 3 s at a time. Messages take one tick. The package counts requests, so that the limits are those for large requests.
func TestLeasedSharesForComparison(t *testing.T) {
	const usual = 1 / 1.8
	cases := []struct {
		name     string
		rate     float64 // as a multiple of the limit's rate
		oneSided bool
		moving   bool // between hosts, every 3 s
	}{
		{name: "within the limit", rate: usual},
		{name: "within the limit on one host", rate: usual, oneSided: true},
		{name: "within the limit, moving", rate: usual, moving: true},
		{name: "10 times the usual", rate: 10 * usual},
	}
	for _, c := range cases {
		for _, hosts := range []int{7, 75} {
			for _, tokens := range []float64{900_000, 18_000} {
				const length = 30 * time.Second
				limit, random, now := tokens/modelCost, rand.New(rand.NewPCG(7, 1)), unit.Moment(time.Hour)
				grantor := share.NewGrantor(now.Add(-time.Minute), hosts, share.LeaseTime)
				holders := make([]*share.Holder, hosts)
				for i := range holders {
					holders[i] = share.NewHolder(now, unit.HostName(fmt.Sprint("h", i)), hosts)
					holders[i].SetBursts(func(unit.CustomerID) float64 { return limit })
				}
				level, served, fits := limit, 0, 0 // the reference bucket has a burst of 1 s
				for at := time.Duration(0); at < length; at += modelTick {
					now = now.Add(modelTick)
					for i, h := range holders {
						if (int(at/modelTick)+i)%5 == 0 {
							sent, demand := now, h.Demand(now)
							h.Accept(sent, grantor.Grant(now, demand, func(unit.CustomerID) float64 { return limit }))
						}
					}
					level = min(level+limit*modelTick.Seconds(), limit)
					for range poisson(random, c.rate*limit*modelTick.Seconds()) {
						host := random.IntN(hosts)
						switch {
						case c.oneSided:
							host = 0
						case c.moving:
							host = int(at/(3*time.Second)) % hosts
						}
						if level >= 1 {
							level--
							fits++
						}
						if ok, _ := holders[host].Take(now, modelCustomer, limit); ok {
							served++
						}
					}
				}
				t.Logf("%s, %d hosts, %.1f requests/s: served %d of %d that fit (%.3f)", c.name, hosts, limit, served, fits, float64(served)/float64(max(fits, 1)))
			}
		}
	}
}

// Logs, for comparison only, what the shared sum serves if hosts without contact refuse instead of keeping to their own share.
func TestSumWithoutOwnSharesForComparison(t *testing.T) {
	const usual = 1 / 1.8
	for _, hosts := range []int{7, 75} {
		for _, ownShares := range []bool{true, false} {
			m := newModel(7, hosts, usagelimit.Limit{PerSecond: 900_000, Burst: 900_000, Unit: usagelimit.Tokens})
			m.refusesWithoutContact = !ownShares
			for at := time.Duration(0); at < 30*time.Second; at += modelTick {
				for _, l := range m.ledgers {
					l.down = at >= 12*time.Second && at < 17*time.Second
				}
				rate := 0.0
				if at > time.Second {
					rate = usual * m.limit.PerSecond
				}
				m.step(rate, modelCost, evenWeights(hosts))
			}
			t.Logf("%d hosts within the limit, all control hosts are down for 5 s, own shares %t: served %.3f of what fits, %.3f of what is allowed in the worst window",
				hosts, ownShares, total(m.admitted)/m.referenceAdmitted, m.worstWindow(m.limit, 0, 30*time.Second))
		}
	}
}
