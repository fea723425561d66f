package forward

import (
	"net/http/httptest"
	"testing"
	"time"

	"github.com/joomcode/errorx"
	"gotest.tools/v3/assert"

	"github.com/citronglade/citronglade/internal/base/fault"
)

// Guards against answers that together take more memory than is allowed, and against memory that isn't released.
func TestAnswersTogetherStayWithinTheirMemory(t *testing.T) {
	h := newTestHandler(t)
	h.MaxAnswerMemory = 100
	first, second := &request{h: h}, &request{h: h}
	assert.NilError(t, first.reserve(60))
	assert.Assert(t, errorx.IsOfType(second.reserve(50), fault.BrokenAnswer))
	assert.NilError(t, second.reserve(40))
	first.release(60)
	assert.NilError(t, second.reserve(60))
	assert.Equal(t, h.reservedBytes.Load(), int64(100))
}

// deadlineRecorder records the write deadlines that are set.
type deadlineRecorder struct {
	*httptest.ResponseRecorder
	deadlines []time.Time
}

func (w *deadlineRecorder) SetWriteDeadline(deadline time.Time) error {
	w.deadlines = append(w.deadlines, deadline)
	return nil
}

// Guards against a caller that never reads and so holds its answer for good, and against a write deadline that stays in force
// after the answer.
func TestACallerThatTakesNothingIsGivenUp(t *testing.T) {
	w := &deadlineRecorder{ResponseRecorder: httptest.NewRecorder()}
	r := &request{h: newTestHandler(t), w: w}
	began := time.Now()
	r.writeWhole(&wholeAnswer{status: 200, body: []byte("x")})
	assert.Equal(t, len(w.deadlines), 2)
	assert.Assert(t, w.deadlines[0].After(began) && !w.deadlines[0].After(time.Now().Add(callerWriteTimeout)))
	assert.Assert(t, w.deadlines[1].IsZero())
}
