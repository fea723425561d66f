package hub

import (
	"os"
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/citronglade/citronglade/internal/control/savedstate"
	"github.com/citronglade/citronglade/internal/endpoints/registry"
)

// Guards against a state that couldn't be saved for a moment, as on a full disk, and isn't saved until it changes again.
func TestAStateThatCouldNotBeSavedIsSavedLater(t *testing.T) {
	h := newTestHub(t)
	folder := filepath.Join(h.DataFolder, "missing")
	h.stateFile = savedstate.New(folder)
	assert.NilError(t, h.HandleReport(t.Context(), registry.Report{ID: "a", Service: "s", Address: "127.0.0.1:1", Born: 1, Sequence: 1}))
	h.saveState(t.Context())
	assert.NilError(t, os.Mkdir(folder, 0o700))
	h.saveState(t.Context())
	state, ok, err := savedstate.New(folder).Load()
	assert.NilError(t, err)
	assert.Assert(t, ok)
	assert.Equal(t, len(state.Endpoints.Records), 1)
}
