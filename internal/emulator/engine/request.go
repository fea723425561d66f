package engine

import (
	"crypto/sha256"
	"encoding/base64"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/citronglade/citronglade/internal/base/fault"
	"github.com/citronglade/citronglade/internal/base/unit"
)

const (
	maxBodyBytes = 8 << 20
	maxPieces    = 4096
)

// requestBody contains the fields of OpenAI request bodies that the emulator supports.
type requestBody struct {
	Model         string          `json:"model"`
	Prompt        json.RawMessage `json:"prompt"`
	Messages      []bodyMessage   `json:"messages"`
	Stream        bool            `json:"stream"`
	StreamOptions struct {
		IncludeUsage bool `json:"include_usage"`
	} `json:"stream_options"`
	MaxTokens           int   `json:"max_tokens"`
	MaxCompletionTokens int   `json:"max_completion_tokens"`
	Seed                int64 `json:"seed"`
}

type bodyMessage struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

// job is the state of one request in the engine.
type job struct {
	chat, stream, usage bool
	prompt              string
	promptTokens        unit.Tokens
	pieces              []unit.Digest
	maxTokens           int
	endsNaturally       bool // the request sets no token limit, so the finish reason is "stop"
	seed                int64
	rank                rank
	resumeFrom          int
	delivered           string
	importFrom          string

	model   unit.ModelName
	weights unit.WeightsVersion
	output  generator

	cached, imported unit.Tokens
	uncomputed       unit.Tokens   // prompt tokens that are still to be computed, imported or found in the cache
	waited           time.Duration // time spent waiting for a slot and for the prefill of other requests
}

func (e *Emulator) parseRequest(w http.ResponseWriter, r *http.Request, chat bool) (*job, error) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		return nil, fault.TooLarge.Wrap(err, "cannot read the body")
	}
	var b requestBody
	if err := json.Unmarshal(data, &b); err != nil {
		return nil, fault.BadInput.Wrap(err, "the body is not JSON")
	}
	j := &job{chat: chat, stream: b.Stream, usage: b.StreamOptions.IncludeUsage, seed: b.Seed}
	j.maxTokens = max(b.MaxTokens, b.MaxCompletionTokens)
	if j.endsNaturally = j.maxTokens <= 0; j.endsNaturally {
		j.maxTokens = defaultOutputTokens
	}
	j.maxTokens = min(j.maxTokens, maxOutputTokens)
	if j.prompt, err = promptText(b, chat); err != nil {
		return nil, err
	}
	if err := j.parseHeader(r.Header); err != nil {
		return nil, err
	}
	if j.promptTokens == 0 {
		j.promptTokens = unit.Tokens((len(j.prompt) + e.options.BytesPerToken - 1) / e.options.BytesPerToken)
	}
	return j, nil
}

func promptText(b requestBody, chat bool) (string, error) {
	if !chat {
		return parseText(b.Prompt)
	}
	var messages []Message
	for _, message := range b.Messages {
		content, err := parseText(message.Content)
		if err != nil {
			return "", err
		}
		messages = append(messages, Message{Role: message.Role, Content: content})
	}
	if len(messages) == 0 {
		return "", fault.BadInput.New("messages is empty")
	}
	return ChatPrompt(messages), nil
}

// parseText reads a text, a list of texts or a list of {"type": "text", "text"} parts.
func parseText(raw json.RawMessage) (string, error) {
	var text string
	if json.Unmarshal(raw, &text) == nil {
		return text, nil
	}
	var texts []string
	if json.Unmarshal(raw, &texts) == nil {
		return strings.Join(texts, ""), nil
	}
	var parts []struct {
		Text string `json:"text"`
	}
	if err := json.Unmarshal(raw, &parts); err != nil {
		return "", fault.BadInput.Wrap(err, "a prompt or content is neither a text nor a list of texts")
	}
	for _, part := range parts {
		text += part.Text
	}
	return text, nil
}

func (j *job) parseHeader(header http.Header) error {
	priority, err := parseNumberHeader(header, "Citronglade-Priority")
	if err != nil {
		return err
	}
	j.rank.priority = int(priority)
	tokens, err := parseNumberHeader(header, "Citronglade-Prompt-Tokens")
	if err != nil {
		return err
	}
	j.promptTokens = unit.Tokens(tokens)
	from, err := parseNumberHeader(header, "Citronglade-Resume-From")
	if err != nil {
		return err
	}
	j.resumeFrom = int(from)
	delivered, err := base64.StdEncoding.DecodeString(header.Get("Citronglade-Delivered"))
	if err != nil {
		return fault.BadInput.Wrap(err, "Citronglade-Delivered is not base64")
	}
	j.delivered = string(delivered)
	j.importFrom = header.Get("Citronglade-Import-From")
	j.pieces, err = parseDigests(header.Get("Citronglade-Pieces"))
	return err
}

func parseNumberHeader(header http.Header, name string) (uint64, error) {
	text := header.Get(name)
	if text == "" {
		return 0, nil
	}
	value, err := strconv.ParseUint(text, 10, 31)
	if err != nil {
		return 0, fault.BadInput.Wrap(err, "header %s is not a number", name)
	}
	return value, nil
}

func parseDigests(text string) ([]unit.Digest, error) {
	if text == "" {
		return nil, nil
	}
	names := strings.Split(text, ",")
	if len(names) > maxPieces {
		return nil, fault.BadInput.New("Citronglade-Pieces names %d pieces, at most %d are allowed", len(names), maxPieces)
	}
	list := make([]unit.Digest, 0, len(names))
	for _, name := range names {
		digest, err := unit.ParseDigest(strings.TrimSpace(name))
		if err != nil {
			return nil, err
		}
		list = append(list, digest)
	}
	return list, nil
}

// setOutputAndPieces sets the fields of j that depend on the weights, and the pieces if the router named none.
func (e *Emulator) setOutputAndPieces(j *job) {
	j.output = newGenerator(j.prompt, j.weights, e.options.Software, j.seed)
	if len(j.pieces) == 0 {
		j.pieces = promptPieces(j.prompt, j.weights, int(e.options.PieceTokens)*e.options.BytesPerToken)
	}
	// Pieces entirely beyond the end of the prompt are dropped: they would be cached without ever being computed.
	whole := int((j.promptTokens + e.options.PieceTokens - 1) / e.options.PieceTokens)
	j.pieces = j.pieces[:min(len(j.pieces), whole)]
}

// promptPieces returns the digests of the complete pieces of a prompt. Each digest covers the text from the start of the
// prompt to the end of its piece.
func promptPieces(prompt string, weights unit.WeightsVersion, pieceBytes int) []unit.Digest {
	var chain []unit.Digest
	state := sha256.Sum256([]byte(weights))
	for ; len(prompt) >= pieceBytes; prompt = prompt[pieceBytes:] {
		state = sha256.Sum256(append(state[:], prompt[:pieceBytes]...))
		chain = append(chain, unit.Digest(state[:16]))
	}
	return chain
}
