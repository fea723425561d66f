package quorum

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/citronglade/citronglade/internal/control/voters"
)

// replacementSeeds is the number of seeds for each case.
const replacementSeeds = 4

// controlInterval is the time between two checks of the membership.
const controlInterval = 300 * time.Millisecond

// runWithControl runs the simulation for d. Meanwhile the leader changes the membership as the control hosts do.
func (s *faultInjector) runWithControl(d time.Duration) {
	for end := s.now.Add(d); s.now < end; {
		s.run(controlInterval)
		leader := s.currentLeader()
		if leader == nil {
			continue
		}
		status := leader.node.Status()
		state := voters.State{Self: leader.name, Candidates: status.Candidates, Silent: status.Silent, Target: 5}
		for _, id := range status.Configuration.Voters {
			state.Voters = append(state.Voters, id.Host())
		}
		for _, id := range status.Configuration.Learners {
			state.Learners = append(state.Learners, id.Host())
		}
		if plan := voters.NextChange(state); plan != (voters.Change{}) {
			s.step(leader, Input{Change: &Change{Add: plan.Add, Remove: plan.Remove}})
		}
		s.proposeAndRead()
	}
}

// addJoiningHost adds a host with an empty disk that asks the first three hosts to join.
func (s *faultInjector) addJoiningHost(name string) *simHost {
	h := s.addHost(name)
	s.requestJoin(h)
	return h
}

// requestJoin makes a host with an empty disk ask the first three hosts to join.
func (s *faultInjector) requestJoin(h *simHost) {
	s.requestJoinFrom(h, "h1", "h2", "h3")
}

// requestJoinFrom makes a host with an empty disk ask the named hosts to join.
func (s *faultInjector) requestJoinFrom(h *simHost, peers ...string) {
	h.node.cfg.Join = true
	s.step(h, Input{Peers: peers})
}

// loseHost stops a host permanently.
func (s *faultInjector) loseHost(h *simHost) {
	s.crash(h)
}

// Guards against a group that, after hosts are replaced, doesn't return to five voters, loses committed entries, or keeps a
// voter whose host was lost. The first three hosts form the group, two more join, and a sixth one waits as a spare.
func TestReplacedHosts(t *testing.T) {
	cases := []struct {
		name    string
		disrupt func(s *faultInjector)
		removed []string // hosts that must not be voters at the end
		voters  []string // hosts that must be voters at the end
	}{
		{name: "no fault: the spare host waits", disrupt: func(*faultInjector) {}, voters: []string{"h1", "h2", "h3", "h4", "h5"}},
		{name: "a voter is lost, the spare takes its place", disrupt: func(s *faultInjector) {
			s.loseHost(s.host("h2"))
		}, removed: []string{"h2"}, voters: []string{"h6"}},
		{name: "the leader is lost", disrupt: func(s *faultInjector) {
			s.loseHost(s.currentLeader())
		}, voters: []string{"h6"}},
		{name: "planned: the new host joins before the old one stops", disrupt: func(s *faultInjector) {
			s.addJoiningHost("h7")
			s.runWithControl(2 * time.Second)
			s.loseHost(s.host("h4"))
		}, removed: []string{"h4"}},
		{name: "unplanned: the new host joins after the old one is lost", disrupt: func(s *faultInjector) {
			s.loseHost(s.host("h6"))
			s.loseHost(s.host("h4"))
			s.runWithControl(2 * time.Second)
			s.addJoiningHost("h7")
		}, removed: []string{"h4"}, voters: []string{"h7"}},
		{name: "unplanned: the new host knows a lost host and one that doesn't lead", disrupt: func(s *faultInjector) {
			s.loseHost(s.host("h6"))
			lost := s.hostExcept(s.currentLeader(), s.host("h6"))
			s.loseHost(lost)
			s.requestJoinFrom(s.addHost("h7"), lost.name, s.hostExcept(s.currentLeader(), lost).name)
		}, voters: []string{"h7"}},
		{name: "a joining host is lost while it catches up", disrupt: func(s *faultInjector) {
			s.loseHost(s.host("h4"))
			for s.currentLeader() == nil || len(s.currentLeader().node.Status().Configuration.Learners) == 0 {
				s.runWithControl(controlInterval)
			}
			s.loseHost(s.host("h6"))
			s.runWithControl(time.Second)
			s.addJoiningHost("h7")
		}, removed: []string{"h4", "h6"}, voters: []string{"h7"}},
		{name: "a voter is cut off until the spare has replaced it, and returns before another voter is lost", disrupt: func(s *faultInjector) {
			s.isolate(s.host("h4"))
			s.runWithControl(SilentAfter + 2*time.Second)
			clear(s.blockedLinks)
			s.runWithControl(time.Second)
			s.loseHost(s.host("h5"))
		}, removed: []string{"h5"}, voters: []string{"h4", "h6"}},
		{name: "a voter is down until the spare has replaced it, and returns before another voter is lost", disrupt: func(s *faultInjector) {
			s.crash(s.host("h4"))
			s.runWithControl(SilentAfter + 2*time.Second)
			s.boot(s.host("h4"))
			s.runWithControl(time.Second)
			s.loseHost(s.host("h5"))
		}, removed: []string{"h5"}, voters: []string{"h4", "h6"}},
		{name: "two disks are lost at once", disrupt: func(s *faultInjector) {
			for _, name := range []string{"h1", "h5"} {
				s.wipe(s.host(name))
				s.requestJoin(s.host(name))
			}
		}},
		{name: "a disk is lost while another host is cut off", disrupt: func(s *faultInjector) {
			cut := s.hostExcept(s.currentLeader())
			s.isolate(cut)
			wiped := s.hostExcept(s.currentLeader(), cut)
			s.wipe(wiped)
			s.requestJoin(wiped)
			s.runWithControl(3 * time.Second)
			clear(s.blockedLinks)
		}},
		{name: "all hosts crash at once", disrupt: func(s *faultInjector) {
			for _, h := range s.hosts {
				s.crash(h)
			}
			s.run(time.Second)
			for _, h := range s.hosts {
				s.boot(h)
			}
			s.requestJoin(s.host("h6"))
		}},
		{name: "all hosts crash at once, one restarts without its disk", disrupt: func(s *faultInjector) {
			for _, h := range s.hosts {
				s.crash(h)
			}
			for _, h := range s.hosts {
				if h.name != "h3" {
					s.boot(h)
				}
			}
			s.wipe(s.host("h3"))
			s.requestJoin(s.host("h3"))
			s.requestJoin(s.host("h6"))
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			for seed := range uintFromEnvironment(t, "CITRONGLADE_QUORUM_REPLACEMENTS", replacementSeeds) {
				s := &faultInjector{simulator: newSimulator(seed, 3)}
				s.run(2 * time.Second)
				for _, name := range []string{"h4", "h5", "h6"} {
					s.addJoiningHost(name)
				}
				s.runWithControl(4 * time.Second)
				assert.Assert(t, s.currentLeader() != nil, "seed %d: %s", seed, s.failure)
				before := len(s.committed)
				c.disrupt(s)
				s.runWithControl(5*time.Second + 3*SilentAfter)
				assert.Equal(t, s.failure, "", "seed %d", seed)
				leader := s.currentLeader()
				assert.Assert(t, leader != nil, "seed %d", seed)
				var names []string
				for _, id := range leader.node.Status().Configuration.Voters {
					names = append(names, id.Host())
				}
				slices.Sort(names)
				assert.Equal(t, len(names), 5, "seed %d: %v", seed, names)
				for _, name := range c.removed {
					assert.Assert(t, !slices.Contains(names, name), "seed %d: %v", seed, names)
				}
				for _, name := range c.voters {
					assert.Assert(t, slices.Contains(names, name), "seed %d: %v", seed, names)
				}
				assert.Assert(t, len(s.committed) > before, "seed %d", seed)
			}
		})
	}
}

// catchUp is how long after the start of its successor a replaced host still counts as lost.
const catchUp = 4 * time.Second

// Guards against a group that waits so long before it gives a lost host's vote to the successor that the loss of two disks, which it is
// designed for, costs it the majority.
func TestTwoDisksAreLostAfterAHostWasReplaced(t *testing.T) {
	cases := []struct {
		name string
		lose func(s *faultInjector) *simHost
	}{
		{name: "a host that doesn't lead was replaced", lose: func(s *faultInjector) *simHost { return s.hostExcept(s.currentLeader()) }},
		{name: "the leader was replaced", lose: func(s *faultInjector) *simHost { return s.currentLeader() }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			for seed := range uintFromEnvironment(t, "CITRONGLADE_QUORUM_REPLACEMENTS", replacementSeeds) {
				s := &faultInjector{simulator: newSimulator(seed, 3)}
				s.run(2 * time.Second)
				s.addJoiningHost("h4")
				s.addJoiningHost("h5")
				s.runWithControl(4 * time.Second)
				lost := c.lose(s)
				s.loseHost(lost)
				s.runWithControl(2 * time.Second)
				s.requestJoinFrom(s.addHost("h6"), lost.name, s.hostExcept(s.currentLeader(), lost).name)
				s.runWithControl(catchUp)
				s.loseDisksAndPower(lost)
				before := len(s.committed)
				s.runWithControl(5 * time.Second)
				assert.Equal(t, s.failure, "", "seed %d", seed)
				assert.Assert(t, s.currentLeader() != nil, "seed %d", seed)
				assert.Assert(t, len(s.committed) > before, "seed %d", seed)
			}
		})
	}
}

// loseDisksAndPower crashes all hosts but the one that is lost for good, and restarts them, two without their disks.
func (s *faultInjector) loseDisksAndPower(lost *simHost) {
	var running []*simHost
	for _, h := range s.hosts {
		if h != lost {
			running = append(running, h)
			s.crash(h)
		}
	}
	s.random.Shuffle(len(running), func(i, j int) { running[i], running[j] = running[j], running[i] })
	for i, h := range running {
		if i < 2 {
			s.wipe(h)
			s.requestJoinFrom(h, running[2].name, running[3].name, lost.name)
		} else {
			s.boot(h)
		}
	}
}
