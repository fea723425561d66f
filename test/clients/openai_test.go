// Package clients tests the OpenAI-compatible API for callers with the official OpenAI client library.
package clients

import (
	"errors"
	"path/filepath"
	"testing"

	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"
	"gotest.tools/v3/assert"

	"github.com/citronglade/citronglade/test/driver"
)

// startCluster starts one host, two emulated engines and an emulated cache store, and waits until the host serves the sheet.
func startCluster(t *testing.T) *driver.Cluster {
	t.Helper()
	folder := t.TempDir()
	binary := filepath.Join(folder, "citronglade")
	assert.NilError(t, driver.Build("../..", binary))
	cluster, err := driver.New(binary, folder, 1, 1)
	assert.NilError(t, err)
	t.Cleanup(cluster.Close)
	assert.NilError(t, cluster.StartHosts())
	assert.NilError(t, cluster.StartEndpoints(2, 0))
	assert.NilError(t, cluster.WaitFor("an accepted sheet", func() error {
		_, _, err := cluster.Run("sheet", "submit", "--order-id", "o1", "../sheets/taalmaatjes.csv")
		return err
	}))
	_, _, err = cluster.Run("status", "--wait-version", "1")
	assert.NilError(t, err)
	assert.NilError(t, cluster.WaitForEndpoints(3))
	return cluster
}

// Guards against responses and errors that an unmodified client of the OpenAI API can't parse.
func TestStockClient(t *testing.T) {
	cluster := startCluster(t)
	client := openai.NewClient(
		option.WithBaseURL("http://"+cluster.Hosts[0].Caller+"/v1"), option.WithAPIKey("token-utrecht"), option.WithMaxRetries(0),
	)
	t.Run("chat", func(t *testing.T) {
		answer, err := client.Chat.Completions.New(t.Context(), chat("taalmodel"))
		assert.NilError(t, err)
		assert.Equal(t, len(answer.Choices), 1)
		assert.Assert(t, answer.Choices[0].Message.Content != "")
		assert.Equal(t, answer.Usage.CompletionTokens, int64(8))
	})
	t.Run("streamed chat", func(t *testing.T) {
		stream := client.Chat.Completions.NewStreaming(t.Context(), chat("taalmodel"))
		var accumulator openai.ChatCompletionAccumulator
		for stream.Next() {
			assert.Assert(t, accumulator.AddChunk(stream.Current()))
		}
		assert.NilError(t, stream.Err())
		assert.Assert(t, accumulator.Choices[0].Message.Content != "")
	})
	t.Run("streamed completion", func(t *testing.T) {
		stream := client.Completions.NewStreaming(t.Context(), openai.CompletionNewParams{
			Model: "taalmodel", MaxTokens: openai.Int(8),
			Prompt: openai.CompletionNewParamsPromptUnion{OfString: openai.String("Goedendag")},
		})
		chunks := 0
		for stream.Next() {
			chunks++
		}
		assert.NilError(t, stream.Err())
		assert.Equal(t, chunks, 8)
	})
	t.Run("models", func(t *testing.T) {
		page, err := client.Models.List(t.Context())
		assert.NilError(t, err)
		assert.Equal(t, len(page.Data), 1)
		assert.Equal(t, page.Data[0].ID, "taalmodel")
	})
	t.Run("an error", func(t *testing.T) {
		_, err := client.Chat.Completions.New(t.Context(), chat("unknown-model"))
		var failure *openai.Error
		assert.Assert(t, errors.As(err, &failure), "%v", err)
		assert.Equal(t, failure.StatusCode, 403)
		assert.Equal(t, failure.Code, "forbidden")
	})
}

// chat returns the parameters of a chat completion of at most 8 tokens.
func chat(model string) openai.ChatCompletionNewParams {
	return openai.ChatCompletionNewParams{
		Model: model, MaxTokens: openai.Int(8),
		Messages: []openai.ChatCompletionMessageParamUnion{openai.UserMessage("Past leerling Amal bij vrijwilliger 17?")},
	}
}
