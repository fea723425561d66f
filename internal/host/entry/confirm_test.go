package entry

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/citronglade/citronglade/internal/base/codec"
	"github.com/citronglade/citronglade/internal/base/fault"
	"github.com/citronglade/citronglade/internal/base/timer"
	"github.com/citronglade/citronglade/internal/base/unit"
	"github.com/citronglade/citronglade/internal/control/follower"
	"github.com/citronglade/citronglade/internal/control/leader"
	"github.com/citronglade/citronglade/internal/host/settings"
	"github.com/citronglade/citronglade/internal/network/kind"
)

// Guards against a host whose lease expires although it reaches one of its peers, which has a lease: calls to the others and to the leader
// time out, and the peer itself renews its lease late, after a time-out of the leader, so that it sometimes has little time to pass on.
func TestOnePeerInReachIsEnoughToConfirm(t *testing.T) {
	const lease, renewedAfter, step = 5 * time.Second, 4 * time.Second, 10 * time.Millisecond
	cases := []struct {
		peers int
		lossy bool // every second call to the peer in reach times out, too
	}{
		{peers: 3, lossy: true},
		{peers: 12},
	}
	for _, c := range cases {
		for phase := time.Duration(0); phase < renewedAfter; phase += 200 * time.Millisecond {
			t.Run(fmt.Sprintf("%d peers, lossy %t, renewed %s before", c.peers, c.lossy, phase), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					clock := timer.NewManual()
					s := &settings.Settings{Name: "entry-0", ConfigurationLease: lease, ControlHosts: []unit.HostName{"entry-1"}}
					for i := range c.peers + 1 {
						s.EntryHosts = append(s.EntryHosts, unit.HostName(fmt.Sprint("entry-", i)))
					}
					var calls atomic.Int32
					call := func(ctx context.Context, to unit.HostName, name string, _ []byte) ([]byte, error) {
						if to != s.EntryHosts[c.peers] || name != kind.ConfigurationConfirm || calls.Add(1)%2 == 0 && c.lossy {
							<-ctx.Done()
							return nil, fault.Unreachable.Wrap(ctx.Err(), "no path to %s", to)
						}
						left := lease - (time.Duration(clock.Now())+phase)%renewedAfter
						return codec.Marshal(follower.Answer{ValidFor: left})
					}
					h := &Host{
						Dependencies: Dependencies{Settings: s, Timer: clock, Call: call, Leaders: leader.New(call, s.ControlHosts)},
						follower:     follower.New(false, nil), peers: otherHosts(s),
					}
					assert.NilError(t, h.follower.Accept(0, follower.Answer{ValidFor: lease}))
					ctx, stop := context.WithCancel(t.Context())
					for _, confirm := range []func(context.Context){h.confirmWithLeader, h.confirmWithPeers} {
						h.confirmations.Go(func() { _ = timer.Every(ctx, clock, confirmInterval, confirm) })
					}
					for range 20 * time.Second / step {
						synctest.Wait()
						left, _ := h.follower.Remaining(clock.Now())
						assert.Check(t, left > 0, "after %s", time.Duration(clock.Now()))
						timer.Sleep(ctx, step)
						clock.Advance(step)
					}
					stop()
					h.confirmations.Wait()
				})
			})
		}
	}
}
