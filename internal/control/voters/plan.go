// Package voters decides which control hosts vote in the replicated log, so that another host takes the place of one that was
// replaced or lost its disk, without an operator's action.
package voters

import "slices"

// State is the group as its leader sees it.
type State struct {
	Self       string
	Voters     []string // hosts that vote
	Learners   []string // hosts that are catching up
	Candidates []string // hosts that ask to join
	Silent     []string // voters and learners that haven't answered heartbeats for long
	Target     int      // number of voters that tolerates as many failures as the installation is designed for
}

// Change is the addition or removal of one host, empty if no change is due.
type Change struct {
	Add    string
	Remove string
}

// NextChange returns the next change of the group. A host is only added while there are fewer voters than Target. A silent voter is
// only removed if another host is ready to take its place and more than half of the voters answer.
func NextChange(s State) Change {
	for _, learner := range s.Learners {
		if slices.Contains(s.Silent, learner) {
			return Change{Remove: learner} // a silent learner would keep all other hosts from joining
		}
	}
	if len(s.Learners) > 0 {
		return Change{} // a learner becomes a voter without a further change once it has caught up
	}
	candidate := firstNonMember(s.Candidates, s.Voters)
	if candidate == "" {
		return Change{}
	}
	if len(s.Voters) < s.Target {
		return Change{Add: candidate}
	}
	answering := len(s.Voters) - len(s.Silent) // Silent holds only voters, since there are no learners
	for _, silent := range s.Silent {
		if silent != s.Self && answering > len(s.Voters)/2 {
			return Change{Remove: silent}
		}
	}
	return Change{}
}

func firstNonMember(hosts, members []string) string {
	for _, host := range hosts {
		if !slices.Contains(members, host) {
			return host
		}
	}
	return ""
}
