package assign

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/citronglade/citronglade/internal/base/unit"
	"github.com/citronglade/citronglade/internal/endpoints/registry"
	"github.com/citronglade/citronglade/internal/endpoints/requestlimit"
	"github.com/citronglade/citronglade/internal/planning/table"
	"github.com/citronglade/citronglade/internal/routing/permit"
)

// Guards against an endpoint that gets nothing more once it names a limit, although it is as fast as the others: it answers rarely, so that
// hosts that estimate its duration by the initial estimate and its own answers alone take it for slow and want no permits.
func TestAFastEndpointWithALimitStaysInUse(t *testing.T) {
	const (
		hosts, perSecond = 4, 1
		interval         = 25 * time.Millisecond // between two requests of any host
		syncInterval     = 50 * time.Millisecond
		length, counted  = 30 * time.Second, 20 * time.Second
	)
	cases := []struct {
		name          string
		objective     time.Duration
		first, others time.Duration // duration of the first answer of each endpoint to each host, and of all others
	}{
		{name: "no objective", first: time.Millisecond, others: 400 * time.Microsecond},
		{name: "no objective, slow first answers", first: 20 * time.Millisecond, others: 400 * time.Microsecond},
		{name: "objective of 5 ms", objective: 5 * time.Millisecond, first: time.Millisecond, others: time.Millisecond},
		{name: "objective of 20 ms", objective: 20 * time.Millisecond, first: 2 * time.Millisecond, others: time.Millisecond},
		{name: "objective of 100 ms", objective: 100 * time.Millisecond, first: 10 * time.Millisecond, others: 5 * time.Millisecond},
		{name: "objective of 500 ms", objective: 500 * time.Millisecond, first: 10 * time.Millisecond, others: 5 * time.Millisecond},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			random := rand.New(rand.NewPCG(3, 3))
			limited, free := endpoint("limited", 1, 0), endpoint("free", 1, 0)
			limited.Slots, free.Slots = 6, 6
			named := []registry.Endpoint{limited}
			named[0].Limit = requestlimit.Limit{}.Changed(perSecond)
			noService := func(table.ServiceName) (*table.Service, bool) { return nil, false }
			names := []unit.HostName{"0", "1", "2", "3"}
			var fleet []*Assigner
			for range hosts {
				a := New(testSettings)
				a.SetHosts(hosts)
				a.SetEndpoints([]registry.Endpoint{free, limited}, noService, nil, nil)
				a.LearnLimits(0, named)
				fleet = append(fleet, a)
			}
			answered := map[*Assigner]map[unit.EndpointID]bool{}
			for _, a := range fleet {
				answered[a] = map[unit.EndpointID]bool{}
			}
			var pool permit.Pool
			used := 0
			for passed := time.Duration(0); passed < length; passed += interval {
				now := at(1).Add(passed)
				if passed%syncInterval == 0 {
					var claims []permit.Claim
					for i, a := range fleet {
						a.SetPermitsAge(now, 0)
						if wanted := a.WantedPermits(now)["limited"]; wanted > 0 {
							claims = append(claims, permit.Claim{Host: names[i], Wanted: wanted})
						}
					}
					pool.Accrue(now, perSecond)
					granted := pool.Grant(now, claims, random.Float64)
					for i, a := range fleet {
						for _, b := range granted[names[i]] {
							a.AddPermits("limited", b)
						}
					}
				}
				a := fleet[random.IntN(hosts)]
				w := &Request{Service: "llm", Objective: c.objective, Random: random.Float64()}
				choice, ok := a.Choose(now, w, nil)
				assert.Assert(t, ok)
				took := c.others
				if !answered[a][choice.Endpoint] {
					answered[a][choice.Endpoint], took = true, c.first
				}
				a.End(now.Add(took), a.Begin(now, w, choice), EndedComplete)
				if choice.Endpoint == "limited" && passed >= length-counted {
					used++
				}
			}
			least := perSecond * int(counted.Seconds()) / 2
			assert.Assert(t, used >= least, "%d requests in %s, at least %d are expected", used, counted, least)
		})
	}
}
