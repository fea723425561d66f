package load

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/citronglade/citronglade/internal/base/unit"
)

// Codes that the generator itself assigns to a request, as opposed to those that the system's own error answers carry.
const (
	codeIncomplete = "incomplete"
	codeWrong      = "wrong-answer"
	codeOutOfOrder = "out-of-order"
	// codeUnreachable means that there was no connection or no answer on it, codeUnfinished that the request was cancelled at
	// the end of the run.
	codeUnreachable = "no-connection"
	codeUnfinished  = "unfinished"
)

// maxEventBytes bounds one line of a stream.
const maxEventBytes = 1 << 20

// answer is the result that the generator reads from one response.
type answer struct {
	code           string
	outcome        unit.Outcome
	text           string
	firstToken     time.Duration
	prompt, cached unit.Tokens
}

// event holds the fields that are read from an event of a stream or from the body of an error answer.
type event struct {
	Choices []struct {
		Text  string `json:"text"`
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
	} `json:"choices"`
	TokenIndex *int `json:"token-index"`
	Usage      *struct {
		Prompt  unit.Tokens `json:"prompt_tokens"`
		Details struct {
			Cached unit.Tokens `json:"cached_tokens"`
		} `json:"prompt_tokens_details"`
	} `json:"usage"`
	Error *struct {
		Code    string       `json:"code"`
		Outcome unit.Outcome `json:"outcome"`
	} `json:"error"`
}

func readAnswer(response *http.Response, model bool, due time.Time) answer {
	if response.StatusCode == http.StatusOK && model {
		return readStream(response.Body, due)
	}
	a := answer{}
	data, err := io.ReadAll(response.Body)
	switch {
	case err != nil:
		a.code = codeIncomplete
	case response.StatusCode != http.StatusOK:
		var failed event
		a.code = "status-" + http.StatusText(response.StatusCode)
		if json.Unmarshal(data, &failed) == nil && failed.Error != nil {
			a.code, a.outcome = failed.Error.Code, failed.Error.Outcome
		}
	default:
		a.firstToken = time.Since(due)
	}
	return a
}

// readStream reads a stream of events, joins its text and checks that its token indices are consecutive and that it ends with
// [DONE].
func readStream(body io.Reader, due time.Time) answer {
	a := answer{code: codeIncomplete}
	var text strings.Builder
	lines := bufio.NewScanner(body)
	lines.Buffer(make([]byte, 0, 4096), maxEventBytes)
	next := 0
	for lines.Scan() {
		data, ok := bytes.CutPrefix(lines.Bytes(), []byte("data: "))
		if !ok {
			continue
		}
		if string(data) == "[DONE]" {
			if a.code == codeIncomplete {
				a.code = ""
			}
			break
		}
		var e event
		if json.Unmarshal(data, &e) != nil {
			return a
		}
		if e.Error != nil {
			a.code, a.outcome = e.Error.Code, e.Error.Outcome
			return a
		}
		if e.TokenIndex != nil {
			if *e.TokenIndex != next {
				a.code = codeOutOfOrder
			}
			next++
			if a.firstToken == 0 {
				a.firstToken = time.Since(due)
			}
		}
		if e.Usage != nil {
			a.prompt, a.cached = e.Usage.Prompt, e.Usage.Details.Cached
		}
		for _, choice := range e.Choices {
			text.WriteString(choice.Text + choice.Delta.Content)
		}
	}
	a.text = text.String()
	return a
}
