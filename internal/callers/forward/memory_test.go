package forward

import (
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

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
