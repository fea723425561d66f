package api

import (
	"bytes"
	"encoding/json"
	"strings"

	"github.com/citronglade/citronglade/internal/base/fault"
	"github.com/citronglade/citronglade/internal/base/unit"
)

// defaultMaxTokens is the answer length, in tokens, that is assumed for a request without max_tokens or
// max_completion_tokens.
const defaultMaxTokens = 256

// requestBody holds the fields of an OpenAI request that routing needs. The engine gets the body as the caller sent it.
type requestBody struct {
	Model               unit.ModelName   `json:"model"`
	Messages            []requestMessage `json:"messages"`
	Prompt              json.RawMessage  `json:"prompt"`
	Stream              bool             `json:"stream"`
	N                   int              `json:"n"`
	MaxTokens           int64            `json:"max_tokens"`
	MaxCompletionTokens int64            `json:"max_completion_tokens"`
}

type requestMessage struct {
	Role string `json:"role"`
	// Content is a text or a list of parts. It isn't a json.RawMessage, because decoding a long prompt in a second step would
	// take most of the router's time.
	Content any `json:"content"`
}

// modelRequest holds the values of a request to a model that routing needs.
type modelRequest struct {
	model     unit.ModelName
	messages  []string
	stream    bool
	maxTokens unit.Tokens
}

// parseModelRequest parses the body of a chat or completions request. It fails with fault.BadInput.
func parseModelRequest(data []byte) (modelRequest, error) {
	var b requestBody
	if err := json.Unmarshal(data, &b); err != nil {
		return modelRequest{}, fault.BadInput.Wrap(err, "the body is not a JSON request")
	}
	if b.Model == "" {
		return modelRequest{}, fault.BadInput.New("the body names no model")
	}
	if b.Stream && b.N > 1 {
		// A stream has one token index, which can't number the tokens of several choices, so it couldn't be resumed or checked.
		return modelRequest{}, fault.BadInput.New("a stream has one choice, n is %d", b.N)
	}
	messages, err := b.texts()
	if err != nil {
		return modelRequest{}, err
	}
	result := modelRequest{model: b.Model, messages: messages, stream: b.Stream, maxTokens: defaultMaxTokens}
	if limit := max(b.MaxTokens, b.MaxCompletionTokens); limit > 0 {
		result.maxTokens = unit.Tokens(limit)
	}
	return result, nil
}

func (b requestBody) texts() ([]string, error) {
	if len(b.Messages) == 0 {
		return promptTexts(b.Prompt)
	}
	texts := make([]string, 0, len(b.Messages))
	for _, m := range b.Messages {
		text, err := contentText(m.Content)
		if err != nil {
			return nil, err
		}
		texts = append(texts, m.Role+": "+text)
	}
	return texts, nil
}

func promptTexts(raw json.RawMessage) ([]string, error) {
	var one string
	if json.Unmarshal(raw, &one) == nil && one != "" {
		return []string{one}, nil
	}
	var several []string
	if json.Unmarshal(raw, &several) == nil && len(several) > 0 {
		return several, nil
	}
	return nil, fault.BadInput.New("the body has neither messages nor a prompt of text")
}

func contentText(content any) (string, error) {
	if content == nil {
		// Messages that carry tool calls have no content.
		return "", nil
	}
	if text, ok := content.(string); ok {
		return text, nil
	}
	parts, ok := content.([]any)
	if !ok {
		return "", fault.BadInput.New("a message's content is neither text nor a list of parts")
	}
	var joined strings.Builder
	for _, part := range parts {
		fields, _ := part.(map[string]any)
		text, isText := fields["text"].(string)
		if fields["type"] != "text" || !isText {
			return "", fault.BadInput.New("content part of type %v isn't supported, use text", fields["type"])
		}
		joined.WriteString(text)
	}
	return joined.String(), nil
}

// canonicalBody returns a JSON body with sorted fields and without white space, so that a resend with its fields in another
// order counts as the same request. A body that isn't JSON is returned unchanged.
func canonicalBody(data []byte) []byte {
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.UseNumber()
	var value any
	if decoder.Decode(&value) != nil || decoder.More() {
		return data
	}
	canonical, err := json.Marshal(value)
	if err != nil {
		return data
	}
	return canonical
}
