package driver

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/citronglade/citronglade/internal/base/fault"
)

// Request is an HTTP request that a caller sends to an entry host.
type Request struct {
	Address  string // caller address of an entry host
	Path     string
	Customer string // name of the customer; the token sent is "token-" and this name, as in the sheets under test/sheets
	Key      string // value of the Idempotency-Key header; empty sends none
	Body     string
	Timeout  time.Duration // 0 means startTimeout
	// Resume, if set, makes the caller stop reading after the first event of a stream until the channel is closed.
	Resume <-chan struct{}
	// FirstEvent, if set, is closed when the first event of a stream has arrived.
	FirstEvent chan<- struct{}
}

// Answer is the response that the caller received.
type Answer struct {
	Status      int
	RequestID   string
	RetryAfter  string
	Replayed    bool
	Body        string
	Text        string        // text of all events of a stream, concatenated
	Complete    bool          // the stream ended with [DONE]
	StreamError string        // error code of the error event of a stream
	FirstToken  time.Duration // from sending the request to the first event of the stream
	Outcome     string        // outcome in an error response or error event
	Code        string        // error code in an error response
}

// event holds the fields of a streamed event that the driver reads.
type event struct {
	Choices []struct {
		Text  string `json:"text"`
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
	} `json:"choices"`
	Error *failure `json:"error"`
}

type failure struct {
	Code    string `json:"code"`
	Outcome string `json:"outcome"`
}

// Do sends the request on a new connection, because the HTTP client may resend a request that fails on a reused one.
func (r Request) Do() (Answer, error) {
	return r.DoContext(context.Background())
}

// DoContext is like Do. The caller closes the connection when ctx is cancelled.
func (r Request) DoContext(ctx context.Context) (Answer, error) {
	timeout := r.Timeout
	if timeout == 0 {
		timeout = startTimeout
	}
	client := &http.Client{Timeout: timeout, Transport: &http.Transport{DisableKeepAlives: true}}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+r.Address+r.Path, strings.NewReader(r.Body))
	if err != nil {
		return Answer{}, fault.Internal.Wrap(err, "cannot create a request")
	}
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Authorization", "Bearer token-"+r.Customer)
	if r.Key != "" {
		request.Header.Set("Idempotency-Key", r.Key)
	}
	sent := time.Now()
	response, err := client.Do(request)
	if err != nil {
		return Answer{}, fault.Unreachable.Wrap(err, "no answer from %s", r.Address)
	}
	defer func() { _ = response.Body.Close() }()
	answer := Answer{
		Status: response.StatusCode, RequestID: response.Header.Get("Citronglade-Request-Id"),
		RetryAfter: response.Header.Get("Retry-After"), Replayed: response.Header.Get("Citronglade-Replayed") == "true",
	}
	if strings.HasPrefix(response.Header.Get("Content-Type"), "text/event-stream") {
		err := r.readStream(&answer, response.Body, sent)
		return answer, err
	}
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return answer, fault.BrokenAnswer.Wrap(err, "the response ended early")
	}
	answer.Body = string(data)
	var failed struct {
		Error failure `json:"error"`
	}
	if answer.Status >= http.StatusBadRequest && json.Unmarshal(data, &failed) == nil {
		answer.Outcome, answer.Code = failed.Error.Outcome, failed.Error.Code
	}
	return answer, nil
}

func (r Request) readStream(a *Answer, body io.Reader, sent time.Time) error {
	lines := bufio.NewScanner(body)
	lines.Buffer(nil, 1<<20)
	var text bytes.Buffer
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if a.FirstToken == 0 {
			a.FirstToken = time.Since(sent)
			if r.FirstEvent != nil {
				close(r.FirstEvent)
			}
			if r.Resume != nil {
				<-r.Resume
			}
		}
		if data == "[DONE]" {
			a.Complete = true
			continue
		}
		var parsed event
		if err := json.Unmarshal([]byte(data), &parsed); err != nil {
			return fault.BadInput.Wrap(err, "an event of the stream is not the expected JSON")
		}
		if parsed.Error != nil {
			a.StreamError, a.Outcome = parsed.Error.Code, parsed.Error.Outcome
		}
		for _, choice := range parsed.Choices {
			text.WriteString(choice.Text + choice.Delta.Content)
		}
	}
	a.Text = text.String()
	if err := lines.Err(); err != nil {
		return fault.BrokenAnswer.Wrap(err, "the stream ended early")
	}
	return nil
}

// Get fetches a JSON document from url and decodes it into result.
func Get(url string, result any) error {
	response, err := http.Get(url) //nolint:noctx,gosec // loopback addresses of the driver's own processes
	if err != nil {
		return fault.Unreachable.Wrap(err, "no answer from %s", url)
	}
	defer func() { _ = response.Body.Close() }()
	if err := json.NewDecoder(response.Body).Decode(result); err != nil {
		return fault.BadInput.Wrap(err, "the response of %s is not the expected JSON", url)
	}
	return nil
}
