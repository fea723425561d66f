package voters

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a group that stays too small, grows without need, or gives up a voter while nobody can replace it.
func TestPlan(t *testing.T) {
	cases := []struct {
		name  string
		state State
		want  Plan
	}{
		{name: "nothing to do", state: State{Voters: []string{"a", "b", "c"}, Target: 3}},
		{name: "votes missing", state: State{Voters: []string{"a", "b", "c"}, Candidates: []string{"d", "e"}, Target: 5}, want: Plan{Add: "d"}},
		{name: "votes missing, one is catching up", state: State{Voters: []string{"a", "b", "c"}, Learners: []string{"d"}, Candidates: []string{"e"}, Target: 5}},
		{name: "lost while it was catching up", state: State{Voters: []string{"a", "b", "c"}, Learners: []string{"d"}, Silent: []string{"d"}, Candidates: []string{"e"}, Target: 5}, want: Plan{Remove: "d"}},
		{name: "enough votes", state: State{Voters: []string{"a", "b", "c"}, Candidates: []string{"d"}, Target: 3}},
		{name: "silent, nobody waits", state: State{Voters: []string{"a", "b", "c"}, Silent: []string{"c"}, Target: 3}},
		{name: "silent, one waits", state: State{Voters: []string{"a", "b", "c"}, Silent: []string{"c"}, Candidates: []string{"d"}, Target: 3}, want: Plan{Remove: "c"}},
		{name: "most are silent", state: State{Voters: []string{"a", "b", "c"}, Silent: []string{"b", "c"}, Candidates: []string{"d"}, Target: 3}},
		{name: "a voter with a new disk is handled by the group", state: State{Voters: []string{"a", "b", "c"}, Candidates: []string{"c"}, Target: 3}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) { assert.DeepEqual(t, New(c.state), c.want) })
	}
}
