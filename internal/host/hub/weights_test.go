package hub

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/citronglade/citronglade/internal/base/codec"
	"github.com/citronglade/citronglade/internal/base/unit"
	"github.com/citronglade/citronglade/internal/control/decisions"
	"github.com/citronglade/citronglade/internal/routing/tally"
)

// nameWeights applies the decision on new weights, as all members of the group do.
func nameWeights(t *testing.T, number decisions.WeightsNumber, hubs ...*Hub) {
	t.Helper()
	command, err := codec.Marshal(decisions.Command{Weights: &decisions.Weights{Model: "m", Number: number}})
	assert.NilError(t, err)
	for _, h := range hubs {
		h.newMachine().Apply(0, command)
	}
}

// Guards against entry hosts that aren't told, or are told by a control host that has restarted, for how long weights have been replaced.
func TestHostsAreToldWhenWeightsWereNamed(t *testing.T) {
	first, second := newTestHub(t), newTestHub(t)
	second.Name, first.Incarnation, second.Incarnation = "10.0.0.2", 1, 2
	pass := func(d time.Duration, hubs ...*Hub) {
		for _, h := range hubs {
			h.Timer.Advance(d)
		}
	}
	pass(time.Minute, first, second)
	nameWeights(t, 2, first, second)
	pass(3*time.Second, first, second)
	nameWeights(t, 3, first, second)
	pass(5*time.Second, first, second)

	since := func(h *Hub, request SyncRequest, version decisions.WeightsNumber) (time.Duration, bool) {
		for _, age := range h.syncAnswer("10.0.1.1", h.Timer.Now(), request, tally.EndpointLoads{}).WeightsAges["m"] {
			if age.Version == version {
				return age.Age, true
			}
		}
		return 0, false
	}
	age, told := since(first, SyncRequest{}, 2)
	assert.Assert(t, told)
	assert.Equal(t, age, 8*time.Second)
	_, told = since(first, SyncRequest{Epoch: 1, WeightsRead: first.weightsHistory.Number()}, 2)
	assert.Assert(t, !told, "the host knows it")
	_, told = since(first, SyncRequest{Epoch: 1}, 2)
	assert.Assert(t, !told, "the host doesn't read it")
	_, told = since(first, SyncRequest{Epoch: 1, WeightsRead: first.weightsHistory.Number() - 1}, 2)
	assert.Assert(t, told, "the host has missed a change")

	restarted := newTestHub(t)
	restarted.Name, restarted.Incarnation = "10.0.0.2", 3
	pass(time.Minute, restarted)
	nameWeights(t, 3, restarted) // a snapshot holds the newest version only
	age, told = since(restarted, SyncRequest{}, 3)
	assert.Assert(t, told)
	assert.Equal(t, age, time.Duration(0))
	read := restarted.weightsHistory.Number()
	exchange(t, first, restarted)
	for version, want := range map[decisions.WeightsNumber]time.Duration{2: 8 * time.Second, 3: 5 * time.Second} {
		age, told = since(restarted, SyncRequest{Epoch: 3, WeightsRead: read}, version)
		assert.Assert(t, told)
		assert.Equal(t, age, want)
	}
}

// Guards against messages that hosts of the build before can't read, and against taking the ages that they don't send for 0.
func TestHostsOfTheBuildBeforeNeitherSendNorReadAges(t *testing.T) {
	h := newTestHub(t)
	h.Incarnation = 1
	nameWeights(t, 2, h)
	h.Timer.Advance(4 * time.Second)

	type earlierAnswer struct { // the fields of SyncAnswer that say something about weights
		Weights map[unit.ModelName]decisions.WeightsNumber `cbor:"3,keyasint,omitempty"`
		Epoch   unit.Incarnation                           `cbor:"4,keyasint"`
	}
	encoded, err := codec.Marshal(h.syncAnswer("10.0.1.1", h.Timer.Now(), SyncRequest{}, tally.EndpointLoads{}))
	assert.NilError(t, err)
	var answer earlierAnswer
	assert.NilError(t, codec.Unmarshal(encoded, &answer))
	assert.Equal(t, answer.Weights["m"], decisions.WeightsNumber(2))

	state, err := codec.Marshal(struct {
		Epoch unit.Incarnation `cbor:"1,keyasint"`
	}{Epoch: 7})
	assert.NilError(t, err)
	assert.NilError(t, h.receiveState("10.0.0.2", state))
	age, replaced := h.weightsHistory.SinceReplaced(h.Timer.Now(), "m", 1)
	assert.Assert(t, replaced)
	assert.Equal(t, age, 4*time.Second)
}
