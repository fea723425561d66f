package forward

import (
	"net/http/httptest"
	"testing"
	"time"

	"github.com/joomcode/errorx"
	"gotest.tools/v3/assert"

	"github.com/citronglade/citronglade/internal/base/fault"
)

// Guards against answers that together take more memory than the host has, and against memory that isn't given back.
func TestAnswersTogetherStayWithinTheirMemory(t *testing.T) {
	h := newTestHandler(t)
	h.AnswerBytes = 100
	first, second := &request{h: h}, &request{h: h}
	assert.NilError(t, first.hold(60))
	assert.Assert(t, errorx.IsOfType(second.hold(50), fault.BrokenAnswer))
	assert.NilError(t, second.hold(40))
	first.release(60)
	assert.NilError(t, second.hold(60))
	assert.Equal(t, h.held.Load(), int64(100))
}

// patientWriter notes until when its caller may take what is written.
type patientWriter struct {
	*httptest.ResponseRecorder
	limits []time.Time
}

func (w *patientWriter) SetWriteDeadline(limit time.Time) error {
	w.limits = append(w.limits, limit)
	return nil
}

// Guards against a caller that takes nothing and holds its answer for good, and against a limit that outlives the answer.
func TestACallerThatTakesNothingIsGivenUp(t *testing.T) {
	w := &patientWriter{ResponseRecorder: httptest.NewRecorder()}
	r := &request{h: newTestHandler(t), w: w}
	began := time.Now()
	r.writeWhole(&wholeAnswer{status: 200, body: []byte("x")})
	assert.Equal(t, len(w.limits), 2)
	assert.Assert(t, w.limits[0].After(began) && !w.limits[0].After(time.Now().Add(callerTime)))
	assert.Assert(t, w.limits[1].IsZero())
}
