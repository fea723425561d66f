// Package voters decides which control hosts vote in the replicated log, so that a host that was replaced or lost its disk
// makes room for another without an operator.
package voters

import "slices"

// State is what the leader of the group sees.
type State struct {
	Self       string
	Voters     []string // hosts that vote
	Learners   []string // hosts that are catching up
	Candidates []string // hosts that ask to join
	Silent     []string // voters and learners that have left heartbeats unanswered for long
	Target     int      // voters that tolerate the loss that the installation is built for
}

// Plan is a change of the group by one host, empty if none is due.
type Plan struct {
	Add    string
	Remove string
}

// New returns the next change. A host is only added while votes are missing, and a silent voter is only removed when
// another host is ready to take its place and the others keep a majority that answers.
func New(s State) Plan {
	for _, learner := range s.Learners {
		if slices.Contains(s.Silent, learner) {
			return Plan{Remove: learner} // it would keep all others from joining
		}
	}
	if len(s.Learners) > 0 {
		return Plan{} // a host that is catching up becomes a voter by itself
	}
	newcomer := firstOutside(s.Candidates, s.Voters)
	if newcomer == "" {
		return Plan{}
	}
	if len(s.Voters) < s.Target {
		return Plan{Add: newcomer}
	}
	answering := len(s.Voters) - len(s.Silent) // there are no learners
	for _, silent := range s.Silent {
		if silent != s.Self && answering > len(s.Voters)/2 {
			return Plan{Remove: silent}
		}
	}
	return Plan{}
}

func firstOutside(hosts, members []string) string {
	for _, host := range hosts {
		if !slices.Contains(members, host) {
			return host
		}
	}
	return ""
}
