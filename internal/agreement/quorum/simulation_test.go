package quorum

import (
	"fmt"
	"os"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// defaultSeeds is the default number of simulated histories. CITRONGLADE_QUORUM_SEEDS and CITRONGLADE_QUORUM_FIRST_SEED
// change the number and the first seed.
const defaultSeeds = 300

func uintFromEnvironment(t *testing.T, name string, standard uint64) uint64 {
	text := os.Getenv(name)
	if text == "" {
		return standard
	}
	value, err := strconv.ParseUint(text, 10, 64)
	assert.NilError(t, err)
	return value
}

// Guards against two leaders in one term, lost or changed committed entries, two valid leases at the same time and stale
// reads. The simulated faults are lost, duplicated and reordered messages, network partitions, process freezes, crashes,
// wiped disks, membership changes and leadership transfers.
func TestSimulatedHistories(t *testing.T) {
	first := uintFromEnvironment(t, "CITRONGLADE_QUORUM_FIRST_SEED", 1)
	count := uintFromEnvironment(t, "CITRONGLADE_QUORUM_SEEDS", defaultSeeds)
	var entries, reads, wipes, terms atomic.Int64
	t.Run("seeds", func(t *testing.T) {
		const shards = 16
		for shard := range uint64(shards) {
			t.Run(fmt.Sprint(shard), func(t *testing.T) {
				t.Parallel()
				for seed := first + shard; seed < first+count; seed += shards {
					w := newSimulator(seed, 3+2*int(seed%2))
					s := &faultInjector{simulator: w}
					s.injectFaults()
					assert.Equal(t, w.failure, "")
					entries.Add(int64(len(w.committed)))
					reads.Add(int64(w.successfulReads))
					wipes.Add(int64(s.wipes))
					terms.Add(int64(len(w.leaders)))
				}
			})
		}
	})
	t.Logf("%d histories: %d entries, %d reads, %d wiped disks, %d leaders", count, entries.Load(), reads.Load(),
		wipes.Load(), terms.Load())
}

// faultInjector injects faults and load into a simulation.
type faultInjector struct {
	*simulator
	wipes      int
	addedHosts int
	proposals  int
}

func (s *faultInjector) injectFaults() {
	s.run(2 * time.Second)
	if len(s.committed) == 0 {
		s.fail("the group didn't form")
	}
	s.lossRate, s.duplicateRate = 0.1*s.random.Float64(), 0.1*s.random.Float64()
	s.maxDelay = time.Duration(5+s.random.IntN(60)) * time.Millisecond
	s.maxSyncDelay = time.Duration(1+s.random.IntN(20)) * time.Millisecond
	for range 150 {
		if s.failure != "" {
			return
		}
		s.injectFault()
		for range 4 {
			s.proposeAndRead()
			s.run(time.Duration(5+s.random.IntN(40)) * time.Millisecond)
		}
	}
	s.checkRecovery()
}

// proposeAndRead proposes and reads on every host that believes it is the leader, so that deposed leaders are tested too.
func (s *faultInjector) proposeAndRead() {
	for _, h := range s.hosts {
		if !h.up || h.node.role != Leader {
			continue
		}
		s.proposals++
		s.step(h, Input{Propose: fmt.Appendf(nil, "command %d", s.proposals)})
		s.read(h)
	}
}

func (s *faultInjector) injectFault() {
	h := s.hosts[s.random.IntN(len(s.hosts))]
	switch s.random.IntN(14) {
	case 0:
		s.crash(h)
	case 1: // a restart that is shorter than a lease
		s.crash(h)
		s.boot(h)
	case 2, 3, 4:
		for _, down := range s.hosts {
			if !down.up {
				s.boot(down)
			}
		}
	case 5, 6:
		s.blockedLinks[[2]string{h.name, s.hosts[s.random.IntN(len(s.hosts))].name}] = true
	case 7:
		s.isolate(h)
	case 8, 9:
		clear(s.blockedLinks)
	case 10:
		h.frozenUntil = s.now.Add(time.Duration(s.random.IntN(600)) * time.Millisecond)
	case 11:
		s.wipeIfQuorumSurvives(h)
	case 12:
		s.changeMembers(h)
	default:
		s.step(h, Input{TransferLeadership: true})
	}
}

func (s *faultInjector) isolate(h *simHost) {
	for _, other := range s.hosts {
		s.blockedLinks[[2]string{h.name, other.name}] = true
		s.blockedLinks[[2]string{other.name, h.name}] = true
	}
}

// wipeIfQuorumSurvives wipes a host's disk, unless that leaves too few voters with their disk for a quorum in any host's
// configuration: without a quorum the group can't recover.
func (s *faultInjector) wipeIfQuorumSurvives(h *simHost) {
	for _, other := range s.hosts {
		if s.survivingVoters(other.node.configuration(), h) < other.node.configuration().quorum() {
			return
		}
	}
	s.wipes++
	s.wipe(h)
}

func (s *faultInjector) survivingVoters(c Configuration, without *simHost) int {
	count := 0
	for _, id := range c.Voters {
		h := s.host(id.Host())
		if h != without && h.node.cfg.Self == id {
			count++
		}
	}
	return count
}

func (s *faultInjector) changeMembers(h *simHost) {
	change := Change{Remove: h.name}
	if s.random.IntN(3) > 0 {
		if s.addedHosts < 2 {
			s.addedHosts++
			s.addHost(fmt.Sprintf("n%d", s.addedHosts))
		}
		change = Change{Add: fmt.Sprintf("n%d", 1+s.random.IntN(s.addedHosts))}
	}
	for _, leader := range s.hosts {
		if leader.up && leader.node.role == Leader && (change.Add != "" || s.mayRemove(leader, h)) {
			s.step(leader, Input{Change: &change})
		}
	}
}

// mayRemove reports whether at least two voters, and a majority of the remaining ones, still have their disk without h.
func (s *faultInjector) mayRemove(leader, h *simHost) bool {
	c := leader.node.configuration()
	return s.survivingVoters(c, h) >= 2 && s.survivingVoters(c, h) > (len(c.Voters)-1)/2
}

// checkRecovery ends all faults and checks that the group commits entries again and that the voters have caught up.
func (s *faultInjector) checkRecovery() {
	clear(s.blockedLinks)
	s.lossRate, s.duplicateRate, s.maxDelay, s.maxSyncDelay = 0, 0, 5*time.Millisecond, 3*time.Millisecond
	for _, h := range s.hosts {
		if !h.up {
			s.boot(h)
		}
	}
	s.run(4 * time.Second)
	before := len(s.committed)
	s.proposeAndRead()
	s.run(time.Second)
	if s.failure == "" && len(s.committed) == before {
		s.fail("the group didn't recover")
	}
	for _, h := range s.hosts {
		if s.failure == "" && h.node.configuration().isVoter(h.node.cfg.Self) && s.isCurrentVoter(h) && int(h.applied) < before {
			s.fail("%s applied %d of %d entries", h.name, h.applied, before)
		}
	}
}

// isCurrentVoter reports whether the host is a voter in the leader's configuration.
func (s *faultInjector) isCurrentVoter(h *simHost) bool {
	for _, leader := range s.hosts {
		if leader.node.role == Leader {
			return leader.node.configuration().isVoter(h.node.cfg.Self)
		}
	}
	return false
}
