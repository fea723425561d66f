package service

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against executions that are not counted because their answer was lost: other tests rely on this count to detect
// calls that were executed twice.
func TestExecutionsAreCountedWhateverTheAnswer(t *testing.T) {
	cases := []struct {
		failure  Failure
		executed int
		answered bool
	}{
		{FailNever, 1, true},
		{FailBefore, 0, false},
		{FailAfter, 1, false},
		{FailStatus, 0, true},
	}
	for _, c := range cases {
		t.Run(string(c.failure), func(t *testing.T) {
			e := New(Options{Service: "koppel-app", Settings: Settings{Failure: c.failure}})
			server := httptest.NewServer(e.Handler())
			defer server.Close()
			request, err := http.NewRequest(http.MethodPost, server.URL+"/pairings", bytes.NewReader([]byte("{}")))
			assert.NilError(t, err)
			request.GetBody = nil // the transport must not resend the request, which would add a second execution
			request.Header.Set("Idempotency-Key", "k")
			response, err := http.DefaultClient.Do(request)
			assert.Equal(t, err == nil, c.answered)
			if err == nil {
				response.Body.Close()
			}
			assert.Equal(t, e.Executions().Keys["k"], c.executed)
			assert.Equal(t, e.Executions().Total, c.executed)
		})
	}
}
