package stream

import (
	"bytes"
	"encoding/json"
	"io"

	"github.com/citronglade/citronglade/internal/base/fault"
	"github.com/citronglade/citronglade/internal/base/unit"
)

// Failure is the content of the error event that ends a stream which can't be completed.
type Failure struct {
	Message string         `json:"message"`
	Type    string         `json:"type"`
	Code    string         `json:"code"`
	Outcome unit.Outcome   `json:"outcome"`
	Request unit.RequestID `json:"request-id"`
}

// Encoder writes the events of an answer to its caller. It isn't safe for concurrent use.
type Encoder struct {
	to      io.Writer
	flush   func() error
	started bool
	id      string
	created int64
	frame   []byte
}

// NewEncoder returns an encoder that writes to w and calls flush after each event.
func NewEncoder(w io.Writer, flush func() error) *Encoder {
	return &Encoder{to: w, flush: flush}
}

// Chunk writes a chunk. All chunks of an answer get the id and creation time of its first one, because clients take a chunk with
// another id for a part of another answer.
func (e *Encoder) Chunk(c Chunk) error {
	if !e.started {
		e.started, e.id, e.created = true, c.ID, c.Created
	}
	if c.ID == e.id && c.Created == e.created {
		return e.event(c.Raw)
	}
	data, err := e.withFirstID(c.Raw)
	if err != nil {
		return err
	}
	return e.event(data)
}

// Done writes the [DONE] event that ends a complete stream.
func (e *Encoder) Done() error {
	return e.event([]byte("[DONE]"))
}

// Error writes the error event that ends a stream which can't be completed. No [DONE] follows, so that no client takes the answer
// for complete.
func (e *Encoder) Error(f Failure) error {
	data, err := json.Marshal(map[string]Failure{"error": f})
	if err != nil {
		return fault.Internal.Wrap(err, "cannot encode the error event")
	}
	return e.event(data)
}

func (e *Encoder) withFirstID(raw []byte) ([]byte, error) {
	var document map[string]json.RawMessage
	err := json.Unmarshal(raw, &document)
	if err != nil {
		return nil, fault.BrokenAnswer.Wrap(err, "the event is not a JSON object")
	}
	if document["id"], err = json.Marshal(e.id); err != nil {
		return nil, fault.Internal.Wrap(err, "cannot encode the answer's id")
	}
	if document["created"], err = json.Marshal(e.created); err != nil {
		return nil, fault.Internal.Wrap(err, "cannot encode the answer's time")
	}
	data, err := json.Marshal(document)
	if err != nil {
		return nil, fault.Internal.Wrap(err, "cannot encode the event")
	}
	return data, nil
}

// event writes one event. Each line of data becomes a data field of its own, because a line feed in a field would end it.
func (e *Encoder) event(data []byte) error {
	e.frame = e.frame[:0]
	data = bytes.ReplaceAll(data, []byte("\r"), nil)
	for line := range bytes.SplitSeq(data, []byte("\n")) {
		e.frame = append(append(append(e.frame, "data: "...), line...), '\n')
	}
	e.frame = append(e.frame, '\n')
	if _, err := e.to.Write(e.frame); err != nil {
		return err
	}
	return e.flush()
}
