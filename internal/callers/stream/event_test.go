package stream

import (
	"bytes"
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/joomcode/errorx"
	"gotest.tools/v3/assert"

	"github.com/citronglade/citronglade/internal/base/fault"
	"github.com/citronglade/citronglade/internal/base/unit"
)

func readAll(r io.Reader, limit int) (events []string, err error) {
	reader := NewEventReader(r, limit)
	for {
		event, err := reader.Next()
		if err != nil {
			return events, err
		}
		events = append(events, event.Name+"|"+string(event.Data))
	}
}

// Guards against events that are split, joined, or taken for complete although the connection broke within them.
func TestEventReader(t *testing.T) {
	cases := []struct {
		name, input string
		events      []string
		broken      bool
	}{
		{"line ends", "data: a\n\ndata:b\r\n\r\ndata: c\r\r", []string{"|a", "|b", "|c"}, false},
		{"lines end in CR LF", "data: a\r\ndata: b\r\n\r\n", []string{"|a\nb"}, false},
		{"several lines of data", "data: a\ndata\ndata: b\n\n", []string{"|a\n\nb"}, false},
		{"names and comments", ": hello\nevent: e\nid: 4\ndata: a\n\nevent: f\n\ndata: b\n\n", []string{"e|a", "|b"}, false},
		{"byte order mark", "\xef\xbb\xbfdata: a\n\n", []string{"|a"}, false},
		{"cut line", "data: a\n\ndata: b", []string{"|a"}, true},
		{"cut event", "data: a\n\ndata: b\n", []string{"|a"}, true},
		{"long line", "data: a\n\ndata: " + strings.Repeat("x", 100), []string{"|a"}, true},
		{"long comment", "data: a\n\n:" + strings.Repeat("x", 100) + "\n\ndata: b\n\n", []string{"|a"}, true},
		{"long event", strings.Repeat("data: 0123456789\n", 10) + "\n", nil, true},
		{"empty", "", nil, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			for _, reader := range []io.Reader{strings.NewReader(c.input), iotest.OneByteReader(strings.NewReader(c.input))} {
				events, err := readAll(reader, 50)
				assert.DeepEqual(t, events, c.events)
				assert.Equal(t, errorx.IsOfType(err, fault.BrokenAnswer), c.broken, "%v", err)
				assert.Equal(t, errors.Is(err, io.EOF), !c.broken)
			}
		})
	}
	_, err := readAll(iotest.ErrReader(errors.New("reset")), 50)
	assert.Assert(t, errorx.IsOfType(err, fault.BrokenAnswer))
}

// Guards against arbitrary input that crashes the reader, exceeds its size limit, or is read differently when it arrives in other
// portions.
func FuzzEventReader(f *testing.F) {
	f.Add([]byte("data: a\r\n\r\nevent: x\ndata: b\rdata\r\r"))
	f.Add([]byte("\xef\xbb\xbf:\n\n\ndata:\n\ndata: [DONE]\n\n"))
	f.Add(append(bytes.Repeat([]byte("data: 0123456789\n"), 20), '\n'))
	f.Fuzz(func(t *testing.T, input []byte) {
		const limit = 64
		whole, err := readAll(bytes.NewReader(input), limit)
		single, singleErr := readAll(iotest.OneByteReader(bytes.NewReader(input)), limit)
		assert.DeepEqual(t, whole, single)
		assert.Equal(t, err.Error(), singleErr.Error())
		assert.Assert(t, errors.Is(err, io.EOF) || errorx.IsOfType(err, fault.BrokenAnswer))
		for _, event := range whole {
			assert.Assert(t, len(event) <= 2*limit+1)
		}
	})
}

// Guards against events of either shape that are decoded wrongly, and against error events taken for tokens.
func TestParse(t *testing.T) {
	cases := []struct {
		name  string
		shape Shape
		data  string
		want  Chunk
		fails bool
	}{
		{
			"completion", Completions, `{"id":"i","created":4,"choices":[{"text":"é","finish_reason":null}],"token-index":3}`,
			Chunk{Index: 3, Indexed: true, Text: []byte("é"), ID: "i", Created: 4},
			false,
		},
		{
			"chat", Chat, `{"choices":[{"delta":{"role":"assistant","content":"x","tool_calls":null},"finish_reason":"stop"}],"token-index":0}`,
			Chunk{Indexed: true, Text: []byte("x"), Finish: "stop"},
			false,
		},
		{"tool call", Chat, `{"choices":[{"delta":{"tool_calls":[{}]}}],"token-index":0}`, Chunk{Indexed: true, Opaque: true}, false},
		{"usage", Chat, `{"choices":[],"usage":{}}`, Chunk{}, false},
		{"two choices", Chat, `{"choices":[{"index":0},{"index":1}]}`, Chunk{}, true},
		{"second choice", Chat, `{"choices":[{"index":1}]}`, Chunk{}, true},
		{"content of another type", Chat, `{"choices":[{"delta":{"content":5}}]}`, Chunk{}, true},
		{"error", Chat, `{"error":{"message":"m"}}`, Chunk{}, true},
		{"not JSON", Chat, `{"choices"`, Chunk{}, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			chunk, err := Parse(c.shape, 2, []byte(c.data))
			assert.Equal(t, errorx.IsOfType(err, fault.BrokenAnswer), c.fails, "%v", err)
			if !c.fails {
				c.want.Attempt, c.want.Raw = 2, []byte(c.data)
				assert.DeepEqual(t, chunk, c.want)
			}
		})
	}
}

// Guards against a resumed answer whose id changes, which clients take for another answer, and against a broken stream that looks
// complete.
func TestEncoderKeepsTheFirstIDAndEndsExplicitly(t *testing.T) {
	var out bytes.Buffer
	flushes := 0
	e := NewEncoder(&out, func() error { flushes++; return nil })
	for _, data := range []string{`{"id":"a","created":1}`, "{\"id\":\"b\",\n\"created\":2,\"x\":\"y\"}", "{\"id\":\"a\",\n\"created\":1}"} {
		c, err := Parse(Chat, 1, []byte(data))
		assert.NilError(t, err)
		assert.NilError(t, e.Chunk(c))
	}
	assert.NilError(t, e.Done())
	assert.NilError(t, e.Error(Failure{Message: "broke\noff", Outcome: unit.OutcomeUnknown, Request: "r"}))
	assert.Equal(t, flushes, 5)
	events, err := readAll(&out, 0)
	assert.Equal(t, err, io.EOF)
	assert.DeepEqual(t, events, []string{
		`|{"id":"a","created":1}`,
		`|{"created":1,"id":"a","x":"y"}`,
		"|{\"id\":\"a\",\n\"created\":1}",
		"|[DONE]",
		`|{"error":{"message":"broke\noff","type":"","code":"","outcome":"unknown","request-id":"r"}}`,
	})
}
