package api

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/joomcode/errorx"
	"gotest.tools/v3/assert"

	"github.com/citronglade/citronglade/internal/base/fault"
	"github.com/citronglade/citronglade/internal/base/unit"
	"github.com/citronglade/citronglade/internal/callers/request"
	"github.com/citronglade/citronglade/internal/control/follower"
	"github.com/citronglade/citronglade/internal/planning/sheet"
)

// tokenDigest is the SHA-256 of "secret".
const tokenDigest = "2bb80d537b1da3e38bd30361aa855686bde0eacd7162fef6a25fe97bf527a25b"

func newServer(serve func(call request.Call) error) *Server {
	rules := &sheet.Sheet{
		Customers: []sheet.Customer{{ID: "utrecht", Limit: 1, TokenDigest: tokenDigest}},
		Classes:   []sheet.Class{{Name: "urgent", Deadline: time.Second}},
		Rules: []sheet.Rule{
			{Row: 1, Customer: sheet.Any, Target: "taalmodel", Operation: sheet.Any, Class: "urgent", Repeat: sheet.Idempotent},
			{Row: 2, Customer: sheet.Any, Target: "koppel-app", Operation: "/confirm", Class: "urgent", Repeat: sheet.OnceOnly},
		},
	}
	return New(Options{
		Now:    func() unit.Moment { return 1 },
		View:   func(unit.Moment) (follower.View, error) { return follower.View{Version: 1, Sheet: rules}, nil },
		Models: func() (models, services []string) { return []string{"taalmodel", "other"}, nil },
		Serve: func(_ context.Context, call request.Call, w http.ResponseWriter) error {
			if err := serve(call); err != nil {
				return err
			}
			w.WriteHeader(http.StatusOK)
			return nil
		},
		Ready: func() bool { return true }, Stopping: func() bool { return false },
	})
}

const chat = `{"model":"taalmodel","messages":[{"role":"user","content":"Hallo"}]}`

// Guards against serving requests without a valid token, rule, key or body, and against refusals whose outcome isn't
// "not-run".
func TestRefusesWhatCannotBeServed(t *testing.T) {
	tests := []struct {
		name, path, token, key, body, code string
		status                             int
	}{
		{"no token", "/v1/chat/completions", "", "", chat, "unauthenticated", 401},
		{"wrong token", "/v1/chat/completions", "guess", "", chat, "unauthenticated", 401},
		{"not JSON", "/v1/chat/completions", "secret", "", "hello", "bad-input", 400},
		{"no model", "/v1/chat/completions", "secret", "", `{"messages":[{"role":"user","content":"a"}]}`, "bad-input", 400},
		{"no prompt", "/v1/completions", "secret", "", `{"model":"taalmodel"}`, "bad-input", 400},
		{"several streamed choices", "/v1/completions", "secret", "", `{"model":"taalmodel","prompt":"a","n":2,"stream":true}`, "bad-input", 400},
		{"image content", "/v1/chat/completions", "secret", "", `{"model":"taalmodel","messages":[{"role":"user","content":[{"type":"image_url"}]}]}`, "bad-input", 400},
		{"no rule", "/v1/chat/completions", "secret", "", `{"model":"other","messages":[{"role":"user","content":"a"}]}`, "forbidden", 403},
		{"no key", "/service/koppel-app/confirm", "secret", "", `{}`, "bad-input", 400},
		{"long key", "/service/koppel-app/confirm", "secret", strings.Repeat("k", 256), `{}`, "bad-input", 400},
		{"other operation", "/service/koppel-app/delete", "secret", "k", `{}`, "forbidden", 403},
		{"oversize", "/service/koppel-app/confirm", "secret", "k", strings.Repeat("x", maxBodyBytes+1), "too-large", 413},
		{"unknown path", "/v2/chat", "secret", "", chat, "not-found", 404},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := newServer(func(request.Call) error { return fault.Internal.New("served") })
			recorder := send(s, test.path, test.token, test.key, test.body)
			assert.Equal(t, recorder.Code, test.status, recorder.Body.String())
			assert.Assert(t, strings.Contains(recorder.Body.String(), `"code":"`+test.code+`"`), recorder.Body.String())
			assert.Assert(t, strings.Contains(recorder.Body.String(), `"outcome":"not-run"`), recorder.Body.String())
		})
	}
}

// Guards against calls that reach Serve without the values that routing needs, and against a path that evades its rule by
// another notation, such as a double slash.
func TestServeGetsTheParsedCall(t *testing.T) {
	var got request.Call
	s := newServer(func(call request.Call) error {
		got = call
		return nil
	})
	recorder := send(s, "/service/koppel-app//confirm/?x=1", "secret", "k1", `{"b":1, "a":2}`)
	assert.Equal(t, recorder.Code, 200, recorder.Body.String())
	assert.Equal(t, got.Operation, "/confirm")
	assert.Equal(t, got.Path, "/confirm?x=1")
	assert.Equal(t, string(got.Canonical), `{"a":2,"b":1}`)
	assert.Equal(t, got.Rule.Row, 2)
	assert.Equal(t, recorder.Header().Get(requestIDHeader), string(got.ID))
	recorder = send(s, "/v1/chat/completions", "secret", "", `{"model":"taalmodel","stream":true,"max_completion_tokens":7,"messages":[{"role":"system","content":[{"type":"text","text":"a"},{"type":"text","text":"b"}]}]}`)
	assert.Equal(t, recorder.Code, 200, recorder.Body.String())
	assert.Assert(t, got.Stream)
	assert.Equal(t, got.MaxTokens, unit.Tokens(7))
	assert.DeepEqual(t, got.Messages, []string{"system: ab"})
}

// Guards against an answer that looks complete to a caller that closed only its sending side while its stream was running.
func TestAStreamThatIsCutForItsCallerLooksBroken(t *testing.T) {
	s := newServer(nil)
	s.Serve = func(_ context.Context, _ request.Call, w http.ResponseWriter) error {
		_, err := w.Write([]byte("data: {}\n\n"))
		assert.Check(t, err)
		assert.Check(t, http.NewResponseController(w).Flush())
		return fault.CallerLeft.New("the caller left during its stream")
	}
	server := httptest.NewServer(s)
	defer server.Close()
	call, err := http.NewRequestWithContext(t.Context(), http.MethodPost, server.URL+"/v1/chat/completions", strings.NewReader(chat))
	assert.NilError(t, err)
	call.Header.Set("Authorization", "Bearer secret")
	call.Header.Set("Content-Type", "application/json")
	answer, err := http.DefaultClient.Do(call)
	assert.NilError(t, err)
	defer answer.Body.Close()
	body, err := io.ReadAll(answer.Body)
	assert.Assert(t, errors.Is(err, io.ErrUnexpectedEOF), "%q %v", body, err)
}

// Guards against failures with a wrong status, outcome or Retry-After.
func TestPresent(t *testing.T) {
	tests := []struct {
		err     error
		status  int
		outcome unit.Outcome
		after   string
	}{
		{fault.OverLimit.New("x").WithProperty(fault.RetryAfter, 1500*time.Millisecond), 429, unit.OutcomeNotRun, "2"},
		{fault.Overloaded.New("x"), 503, unit.OutcomeNotRun, "1"},
		{fault.BadInput.New("x"), 400, unit.OutcomeNotRun, ""},
		{fault.BrokenAnswer.New("x"), 502, unit.OutcomeUnknown, ""},
		{fault.UnknownOutcome.Wrap(fault.Unreachable.New("y"), "x"), 504, unit.OutcomeUnknown, ""},
		{fault.AnswerLost.New("x"), 410, unit.OutcomeDone, ""},
		{errorx.IllegalState.New("x"), 500, unit.OutcomeUnknown, ""},
	}
	for _, test := range tests {
		status, body, after := FailureResponse(test.err, "r1")
		assert.Equal(t, status, test.status, "%v", test.err)
		assert.Equal(t, body.Error.Outcome, test.outcome, "%v", test.err)
		assert.Equal(t, after, test.after, "%v", test.err)
	}
}

// Guards against listing models for which the customer has no rule.
func TestModelsListsOnlyAllowedOnes(t *testing.T) {
	s := newServer(func(request.Call) error { return nil })
	r := httptest.NewRequest(http.MethodGet, "/v1/models", nil)
	r.Header.Set("Authorization", "Bearer secret")
	recorder := httptest.NewRecorder()
	s.ServeHTTP(recorder, r)
	assert.Assert(t, strings.Contains(recorder.Body.String(), "taalmodel"))
	assert.Assert(t, !strings.Contains(recorder.Body.String(), "other"))
}

// Guards against request bodies that crash a host.
func FuzzModelRequest(f *testing.F) {
	f.Add(chat)
	f.Add(`{"model":"m","prompt":["a","b"],"stream":true}`)
	f.Fuzz(func(t *testing.T, body string) {
		parsed, err := parseModelRequest([]byte(body))
		if err != nil {
			assert.Assert(t, errorx.IsOfType(err, fault.BadInput))
			return
		}
		assert.Assert(t, len(parsed.messages) > 0)
		canonicalBody([]byte(body))
	})
}

func send(s *Server, path, token, key, body string) *httptest.ResponseRecorder {
	r := httptest.NewRequest(http.MethodPost, path, strings.NewReader(body))
	if token != "" {
		r.Header.Set("Authorization", "Bearer "+token)
	}
	if key != "" {
		r.Header.Set(keyHeader, key)
	}
	recorder := httptest.NewRecorder()
	s.ServeHTTP(recorder, r)
	return recorder
}
