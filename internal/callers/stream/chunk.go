// Package stream merges the attempts at one streamed answer into a single stream in which every token appears once and in order,
// and which never looks complete before its end.
package stream

import (
	"bytes"
	"encoding/json"

	"github.com/citronglade/citronglade/internal/base/fault"
)

// Shape is the JSON format of the events of an answer.
type Shape string

const (
	// Completions is the format of /v1/completions.
	Completions Shape = "completions"
	// Chat is the format of /v1/chat/completions.
	Chat Shape = "chat"
)

// Chunk is one decoded event of an attempt.
type Chunk struct {
	Attempt int    // number of the attempt; later attempts have larger ones
	Index   int    // token index; meaningless unless Indexed
	Indexed bool   // the event has a token index; events that report usage have none
	Text    []byte // text of the token, may be empty
	Finish  string // finish reason, empty before the last token
	Opaque  bool   // the event contains more than text, such as tool calls, so a further attempt can't continue the answer
	ID      string // id that the endpoint gave the answer
	Created int64  // creation time of the answer in Unix seconds
	Raw     []byte // data of the event as received
}

type chunkDocument struct {
	ID         string          `json:"id"`
	Created    int64           `json:"created"`
	TokenIndex *int            `json:"token-index"`
	Choices    []choice        `json:"choices"`
	Error      json.RawMessage `json:"error"`
}

type choice struct {
	Index        int                        `json:"index"`
	Text         *string                    `json:"text"`
	Delta        map[string]json.RawMessage `json:"delta"`
	FinishReason string                     `json:"finish_reason"`
}

// Parse decodes the data of one event. It fails with fault.BrokenAnswer for an event that doesn't have the given shape, that
// reports an error, or that has more than one choice, because a token index can't number the tokens of several choices.
func Parse(shape Shape, attempt int, data []byte) (Chunk, error) {
	var d chunkDocument
	if err := json.Unmarshal(data, &d); err != nil {
		return Chunk{}, fault.BrokenAnswer.Wrap(err, "the event is not a JSON object")
	}
	if len(d.Error) > 0 && !bytes.Equal(d.Error, []byte("null")) {
		return Chunk{}, fault.BrokenAnswer.New("the endpoint reports an error: %.200s", d.Error)
	}
	chunk := Chunk{Attempt: attempt, ID: d.ID, Created: d.Created, Raw: bytes.Clone(data)}
	if d.TokenIndex != nil {
		chunk.Index, chunk.Indexed = *d.TokenIndex, true
	}
	if len(d.Choices) > 1 || len(d.Choices) == 1 && d.Choices[0].Index != 0 {
		return Chunk{}, fault.BrokenAnswer.New("the event has more than one choice")
	}
	if len(d.Choices) == 0 {
		return chunk, nil
	}
	if err := chunk.setChoice(shape, d.Choices[0]); err != nil {
		return Chunk{}, err
	}
	return chunk, nil
}

func (c *Chunk) setChoice(shape Shape, from choice) error {
	c.Finish = from.FinishReason
	if shape == Completions {
		if from.Text != nil {
			c.Text = []byte(*from.Text)
		}
		return nil
	}
	for name, value := range from.Delta {
		empty := bytes.Equal(value, []byte("null")) || bytes.Equal(value, []byte("[]"))
		switch {
		case name == "role" || empty:
		case name == "content":
			var text string
			if err := json.Unmarshal(value, &text); err != nil {
				return fault.BrokenAnswer.Wrap(err, "the event's content is not a text")
			}
			c.Text = []byte(text)
		default:
			c.Opaque = true
		}
	}
	return nil
}
