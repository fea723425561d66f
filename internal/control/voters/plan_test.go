package voters

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a group that stays too small, grows without need, or removes a voter while no other host can replace it.
func TestPlan(t *testing.T) {
	cases := []struct {
		name  string
		state State
		want  Change
	}{
		{name: "nothing to do", state: State{Voters: []string{"a", "b", "c"}, Target: 3}},
		{name: "too few voters", state: State{Voters: []string{"a", "b", "c"}, Candidates: []string{"d", "e"}, Target: 5}, want: Change{Add: "d"}},
		{name: "too few voters, one host is catching up", state: State{Voters: []string{"a", "b", "c"}, Learners: []string{"d"}, Candidates: []string{"e"}, Target: 5}},
		{name: "a learner is silent", state: State{Voters: []string{"a", "b", "c"}, Learners: []string{"d"}, Silent: []string{"d"}, Candidates: []string{"e"}, Target: 5}, want: Change{Remove: "d"}},
		{name: "enough voters", state: State{Voters: []string{"a", "b", "c"}, Candidates: []string{"d"}, Target: 3}},
		{name: "a voter is silent, no candidate", state: State{Voters: []string{"a", "b", "c"}, Silent: []string{"c"}, Target: 3}},
		{name: "a voter is silent, one candidate", state: State{Voters: []string{"a", "b", "c"}, Silent: []string{"c"}, Candidates: []string{"d"}, Target: 3}, want: Change{Add: "d"}},
		{name: "a voter is silent, its successor votes", state: State{Self: "a", Voters: []string{"a", "b", "c", "d"}, Silent: []string{"c"}, Target: 3}, want: Change{Remove: "c"}},
		{name: "a voter is silent, its successor votes, another host waits", state: State{Self: "a", Voters: []string{"a", "b", "c", "d"}, Silent: []string{"c"}, Candidates: []string{"e"}, Target: 3}, want: Change{Remove: "c"}},
		{name: "a voter was silent and answers again", state: State{Self: "a", Voters: []string{"a", "b", "c", "d"}, Target: 3}, want: Change{Remove: "b"}},
		{name: "too many voters, too few of the others answer", state: State{Self: "a", Voters: []string{"a", "b", "c", "d"}, Silent: []string{"b", "c", "d"}, Target: 3}},
		{name: "most voters are silent", state: State{Voters: []string{"a", "b", "c"}, Silent: []string{"b", "c"}, Candidates: []string{"d"}, Target: 3}},
		{name: "a voter with a new disk is handled by the group", state: State{Voters: []string{"a", "b", "c"}, Candidates: []string{"c"}, Target: 3}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) { assert.DeepEqual(t, NextChange(c.state), c.want) })
	}
}
