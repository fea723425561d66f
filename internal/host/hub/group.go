package hub

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/citronglade/citronglade/internal/agreement/member"
	"github.com/citronglade/citronglade/internal/base/eventlog"
	"github.com/citronglade/citronglade/internal/base/fault"
	"github.com/citronglade/citronglade/internal/base/timer"
)

// reopenAfter is the pause before a group whose disk failed is opened again.
const reopenAfter = 300 * time.Millisecond

// group runs this host's member of the control group. When the member's disk fails, the member ends, and a new one is opened from
// the data on the disk as soon as the disk works again.
type group struct {
	config  func() member.Config
	machine func() member.StateMachine
	log     *eventlog.Log
	current atomic.Pointer[member.Member]
}

// run opens and runs the member, again after each failure, until ctx ends.
func (g *group) run(ctx context.Context) error {
	for ctx.Err() == nil {
		opened, err := member.New(g.config(), g.machine())
		if err != nil {
			g.log.Error("log-not-opened", "cause", err.Error())
			timer.Sleep(ctx, reopenAfter)
			continue
		}
		g.current.Store(opened)
		err = opened.Run(ctx)
		g.current.Store(nil)
		if err != nil {
			g.log.Error("log-closed", "cause", err.Error())
		}
		timer.Sleep(ctx, reopenAfter)
	}
	return nil
}

// member returns the open member. Without one it fails with fault.NotLeader, so that the caller tries another host.
func (g *group) member() (*member.Member, error) {
	m := g.current.Load()
	if m == nil {
		return nil, fault.NotLeader.New("the log of this host isn't open")
	}
	return m, nil
}
