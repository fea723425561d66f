package stream

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"
	"gotest.tools/v3/assert"

	"github.com/citronglade/citronglade/internal/base/unit"
)

// Guards against events that the OpenAI client library rejects or ignores: a resumed answer must accumulate to one message, and a
// broken one must end with an error.
func TestClientLibraryReadsTheEvents(t *testing.T) {
	for _, broken := range []bool{false, true} {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Type", "text/event-stream")
			e := NewEncoder(w, http.NewResponseController(w).Flush)
			for attempt, data := range []string{
				`{"id":"a","created":1,"choices":[{"index":0,"delta":{"role":"assistant","content":"één "}}],"token-index":0}`,
				`{"id":"b","created":2,"choices":[{"index":0,"delta":{"content":"🛢"},"finish_reason":"stop"}],"token-index":1}`,
			} {
				c, err := Parse(Chat, attempt, []byte(data))
				assert.Check(t, err)
				assert.Check(t, e.Chunk(c))
			}
			if broken {
				assert.Check(t, e.Error(Failure{Message: "no engine can continue", Outcome: unit.OutcomeUnknown}))
			} else {
				assert.Check(t, e.Done())
			}
		}))
		client := openai.NewClient(option.WithBaseURL(server.URL), option.WithAPIKey("k"), option.WithMaxRetries(0))
		answer := client.Chat.Completions.NewStreaming(t.Context(), openai.ChatCompletionNewParams{Model: "m"})
		var whole openai.ChatCompletionAccumulator
		for answer.Next() {
			assert.Assert(t, whole.AddChunk(answer.Current()), "the library rejects a chunk")
		}
		assert.Equal(t, whole.Choices[0].Message.Content, "één 🛢")
		assert.Equal(t, answer.Err() != nil, broken, "%v", answer.Err())
		server.Close()
	}
}
