package forward

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// closingHead is the head of an answer without a length, whose body ends with its connection.
const closingHead = "HTTP/1.1 200 OK\r\nId: ID\r\nMark: m\r\nConnection: close\r\n\r\n"

// Guards against a stream that looks complete to its caller although it ended within an event or with a reset connection, and against
// one that looks broken although its connection ended in order after an event, wherever its bytes are cut.
func TestAStreamThatEndsWithItsConnectionIsCompleteOnlyAfterAnEvent(t *testing.T) {
	for _, lineEnd := range []string{"\n", "\r\n"} {
		events := []string{"id: 1" + lineEnd + "data: a" + lineEnd + lineEnd, "id: 2" + lineEnd + "data: b" + lineEnd + lineEnd}
		whole := strings.Join(events, "")
		for cut := range len(whole) + 1 {
			for _, ending := range []string{"", reset} {
				t.Run(fmt.Sprintf("%q%s", whole[:cut], ending), func(t *testing.T) {
					h := newTestHandler(t, newFakeEndpoint(t, func() string { return closingHead + whole[:cut] + ending }))
					status, _, body, err := serveOnce(t, h, "/stream/x", "")
					complete := err == nil && status == http.StatusOK
					afterEvent := cut == 0 || cut == len(events[0]) || cut == len(whole)
					assert.Equal(t, complete, afterEvent && ending == "", "%d %q %v", status, body, err)
					if complete {
						assert.Equal(t, body, whole[:cut])
					}
				})
			}
		}
	}
}

// Guards against a body that looks whole although its connection was reset.
func TestABodyThatEndsWithItsConnectionIsWholeUnlessReset(t *testing.T) {
	cases := []struct {
		ending string
		status int
	}{
		{ending: "", status: http.StatusOK},
		{ending: reset, status: http.StatusBadGateway},
	}
	for _, c := range cases {
		t.Run("ending "+c.ending, func(t *testing.T) {
			h := newTestHandler(t, newFakeEndpoint(t, func() string { return closingHead + "done" + c.ending }))
			status, _, body, err := serveOnce(t, h, "/once/x", "")
			assert.NilError(t, err)
			assert.Equal(t, status, c.status)
			assert.Equal(t, status == http.StatusOK, body == "done")
		})
	}
}
