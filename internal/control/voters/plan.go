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

// NextChange returns the next change of the group. A host is added while there are fewer voters than Target, or while a voter is silent.
// The silent voter keeps its vote until the other host has one, because it may come back with its disk and the other host may be lost
// meanwhile. Beyond Target, silent voters are removed first.
func NextChange(s State) Change {
	for _, learner := range s.Learners {
		if slices.Contains(s.Silent, learner) {
			return Change{Remove: learner} // a silent learner would keep all other hosts from joining
		}
	}
	if len(s.Learners) > 0 {
		return Change{} // a learner becomes a voter without a further change once it has caught up
	}
	answering := len(s.Voters) - len(s.Silent) // Silent holds only voters, since there are no learners
	if len(s.Voters) > s.Target {
		if answering <= (len(s.Voters)-1)/2 {
			return Change{}
		}
		return Change{Remove: firstNonMember(slices.Concat(s.Silent, s.Voters), []string{s.Self})}
	}
	if len(s.Voters) < s.Target || len(s.Silent) > 0 && answering > len(s.Voters)/2 {
		return Change{Add: firstNonMember(s.Candidates, s.Voters)}
	}
	return Change{}
}

// firstNonMember returns the first of the hosts that isn't among the members, or an empty name.
func firstNonMember(hosts, members []string) string {
	for _, host := range hosts {
		if !slices.Contains(members, host) {
			return host
		}
	}
	return ""
}
