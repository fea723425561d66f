package hub

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/citronglade/citronglade/internal/agreement/member"
	"github.com/citronglade/citronglade/internal/base/eventlog"
	"github.com/citronglade/citronglade/internal/base/fault"
	"github.com/citronglade/citronglade/internal/base/timer"
)

// reopenAfter is the pause before a group whose disk failed is opened again.
const reopenAfter = 300 * time.Millisecond

var (
	logOpen      = metrics.NewGauge("citronglade_group_log_open", nil)
	logLeftAside = metrics.NewGauge("citronglade_group_log_left_aside", nil)
)

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
	failure := "" // why the log couldn't be opened at the last attempt
	for ctx.Err() == nil {
		opened, err := member.New(g.config(), g.machine())
		if err != nil {
			if err.Error() != failure {
				failure = err.Error()
				g.log.Error("log-not-opened", "cause", failure)
			}
			timer.Sleep(ctx, reopenAfter)
			continue
		}
		failure = ""
		g.reportOpen(opened.Status())
		g.current.Store(opened)
		err = opened.Run(ctx)
		g.current.Store(nil)
		logOpen.Set(0)
		if err != nil {
			g.log.Error("log-closed", "cause", err.Error())
		}
		timer.Sleep(ctx, reopenAfter)
	}
	return nil
}

// reportOpen tells operators that the log is open, and whether it has taken the place of a damaged one.
func (g *group) reportOpen(s member.Status) {
	logOpen.Set(1)
	logLeftAside.Set(0)
	g.log.Info("log-opened", "member", s.Self, "applied", s.Applied, "bytes", s.LogBytes)
	if s.LeftAside.Folder != "" {
		logLeftAside.Set(1)
		g.log.Error("log-left-aside", "folder", s.LeftAside.Folder, "cause", s.LeftAside.Cause)
	}
}

// member returns the open member. Without one it fails with fault.NotLeader, so that the caller tries another host.
func (g *group) member() (*member.Member, error) {
	m := g.current.Load()
	if m == nil {
		return nil, fault.NotLeader.New("the log of this host isn't open")
	}
	return m, nil
}
