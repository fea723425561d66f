package hub

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/citronglade/citronglade/internal/base/unit"
	"github.com/citronglade/citronglade/internal/routing/quarantine"
	"github.com/citronglade/citronglade/internal/routing/tally"
)

// Guards against a content that isn't quarantined on all hosts. Its two crashes are reported to different control hosts, a message
// between the control hosts is lost, and a control host restarts.
func TestCrashesSeenByTwoHostsReachAThird(t *testing.T) {
	first, second := newTestHub(t), newTestHub(t)
	second.Name, first.Incarnation, second.Incarnation = "10.0.0.2", 1, 2
	content := unit.Digest{7}
	reportCrash := func(h *Hub, entry unit.HostName, endpoint unit.EndpointID) {
		seen := quarantine.New()
		seen.RecordCrash(0, quarantine.Notice{Content: content, Endpoint: endpoint, Incarnation: 1})
		h.syncAnswer(entry, 0, SyncRequest{Epoch: h.Incarnation, Crashes: seen.Since(0, 0)}, tally.EndpointLoads{})
	}
	isQuarantined := func(h *Hub) bool {
		reader := quarantine.New()
		reader.Merge(0, h.syncAnswer("10.0.1.9", 0, SyncRequest{Epoch: h.Incarnation}, tally.EndpointLoads{}).Crashes.Notices)
		_, quarantined := reader.Check(0, content)
		return quarantined
	}
	reportCrash(first, "10.0.1.1", "e1")
	reportCrash(second, "10.0.1.2", "e2")
	assert.Assert(t, !isQuarantined(first) && !isQuarantined(second))
	first.Seeds = func() []unit.HostName { return []unit.HostName{"10.0.0.2"} }
	first.Send = func(unit.HostName, string, []byte) {} // lost
	first.sendState(t.Context())
	exchange(t, first, second)
	assert.Assert(t, isQuarantined(first) && isQuarantined(second))

	first.saveState(t.Context())
	restarted := New(first.Dependencies)
	restarted.Incarnation = 3
	assert.Assert(t, isQuarantined(restarted), "after a restart")
}
