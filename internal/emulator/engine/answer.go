package engine

import (
	"encoding/json"
	"net/http"
	"strings"
	"time"
	"unicode/utf8"

	"github.com/citronglade/citronglade/internal/base/unit"
)

// responseWriter writes the response to one request, streamed or as one document, in the format of the chat or the plain
// completions API.
type responseWriter struct {
	w       http.ResponseWriter
	flusher *http.ResponseController
	job     *job
	created int64
	text    strings.Builder // text so far of a response that is not streamed
}

type usage struct {
	PromptTokens        unit.Tokens `json:"prompt_tokens"`
	CompletionTokens    unit.Tokens `json:"completion_tokens"`
	TotalTokens         unit.Tokens `json:"total_tokens"`
	PromptTokensDetails struct {
		CachedTokens unit.Tokens `json:"cached_tokens"`
	} `json:"prompt_tokens_details"`
}

type choice struct {
	Index        int      `json:"index"`
	Text         *string  `json:"text,omitempty"`
	Delta        *content `json:"delta,omitempty"`
	Message      *content `json:"message,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

type content struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

type responseBody struct {
	ID         string         `json:"id"`
	Object     string         `json:"object"`
	Created    int64          `json:"created"`
	Model      unit.ModelName `json:"model"`
	Choices    []choice       `json:"choices"`
	TokenIndex *int           `json:"token-index,omitempty"`
	Usage      *usage         `json:"usage,omitempty"`
}

func newResponseWriter(w http.ResponseWriter, j *job) *responseWriter {
	return &responseWriter{w: w, flusher: http.NewResponseController(w), job: j, created: time.Now().Unix()}
}

func (a *responseWriter) writeToken(index int, text string, last bool) error {
	if !a.job.stream {
		a.text.WriteString(text)
		return nil
	}
	c := choice{}
	if a.job.chat {
		c.Delta = &content{Content: text}
		if index == 0 {
			c.Delta.Role = "assistant"
		}
	} else {
		c.Text = &text
	}
	if last {
		c.FinishReason = a.finishReason()
	}
	d := a.newBody(true)
	d.Choices = []choice{c}
	d.TokenIndex = &index
	return a.writeEvent(d)
}

func (a *responseWriter) finish(tokens unit.Tokens) error {
	if !a.job.stream {
		return a.writeWhole(tokens)
	}
	if a.job.usage {
		d := a.newBody(true)
		d.Choices = []choice{}
		d.Usage = a.usage(tokens)
		if err := a.writeEvent(d); err != nil {
			return err
		}
	}
	return a.write([]byte("data: [DONE]\n\n"))
}

func (a *responseWriter) writeWhole(tokens unit.Tokens) error {
	text := a.text.String()
	c := choice{FinishReason: a.finishReason()}
	if a.job.chat {
		c.Message = &content{Role: "assistant", Content: text}
	} else {
		c.Text = &text
	}
	d := a.newBody(false)
	d.Choices = []choice{c}
	d.Usage = a.usage(tokens)
	a.w.Header().Set("Content-Type", "application/json")
	return json.NewEncoder(a.w).Encode(d)
}

// writeEvent writes one server-sent event. An event that contains a multi-byte character is sent in two writes that split
// the character, because a network may split it, too.
func (a *responseWriter) writeEvent(d responseBody) error {
	data, err := json.Marshal(d)
	if err != nil {
		return err
	}
	a.w.Header().Set("Content-Type", "text/event-stream")
	frame := append(append([]byte("data: "), data...), "\n\n"...)
	if cut := indexMultiByte(frame); cut > 0 {
		if err := a.write(frame[:cut+1]); err != nil {
			return err
		}
		frame = frame[cut+1:]
	}
	return a.write(frame)
}

func (a *responseWriter) write(data []byte) error {
	if _, err := a.w.Write(data); err != nil {
		return err
	}
	return a.flusher.Flush()
}

func indexMultiByte(data []byte) int {
	for i, b := range data {
		if b >= utf8.RuneSelf {
			return i
		}
	}
	return -1
}

func (a *responseWriter) newBody(chunk bool) responseBody {
	d := responseBody{ID: "cmpl-emulated", Object: "text_completion", Created: a.created, Model: a.job.model}
	if a.job.chat {
		d.ID, d.Object = "chatcmpl-emulated", "chat.completion"
		if chunk {
			d.Object += ".chunk"
		}
	}
	return d
}

func (a *responseWriter) finishReason() *string {
	reason := "length"
	if a.job.endsNaturally {
		reason = "stop"
	}
	return &reason
}

func (a *responseWriter) usage(tokens unit.Tokens) *usage {
	u := &usage{PromptTokens: a.job.promptTokens, CompletionTokens: tokens, TotalTokens: a.job.promptTokens + tokens}
	u.PromptTokensDetails.CachedTokens = a.job.cached
	return u
}
