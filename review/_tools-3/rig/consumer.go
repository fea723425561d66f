package rig

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"
)

// Request is one request of a consumer.
type Request struct {
	Method, Host, Target, Key string
	Body                      []byte
	Header                    map[string]string
	Deadline                  time.Duration
	Retries                   int
	Safe                      bool
}

// Outcome is how a request ended.
type Outcome struct {
	Status int // of the last attempt, 0 without an answer
	OK     bool
	Tries  int
}

// NewID returns an id for one attempt.
func NewID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// Send sends a request to an edge machine that is ready, and again like a consumer: safe requests after any failure, others after a promise
// that they have not run and never will.
func (p *Platform) Send(q Request) Outcome {
	end := time.Now().Add(q.Deadline)
	var o Outcome
	for {
		m := p.Edges[rand.IntN(len(p.Edges))]
		status, ok, after := p.attempt(m, q, time.Until(end))
		o.Status, o.OK = status, ok
		o.Tries++
		promised := status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests || status == http.StatusRequestTimeout || status == http.StatusMisdirectedRequest
		switch {
		case ok, o.Tries > q.Retries, !promised && !(q.Safe && (status == 0 || status >= 500)):
			return o
		}
		wait := max(250*time.Millisecond, min(after, time.Until(end)/3))
		if time.Until(end) < wait+50*time.Millisecond {
			return o
		}
		time.Sleep(wait)
	}
}

// SendTo sends a request to one edge machine, once.
func (p *Platform) SendTo(m *Machine, q Request) Outcome {
	status, ok, _ := p.attempt(m, q, q.Deadline)
	return Outcome{Status: status, OK: ok, Tries: 1}
}

func (p *Platform) attempt(m *Machine, q Request, left time.Duration) (status int, ok bool, after time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), left)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, q.Method, "http://"+m.Front()+q.Target, bytes.NewReader(q.Body))
	if err != nil {
		return 0, false, 0
	}
	id := NewID()
	request.Host = q.Host
	request.Header.Set("X-Request-Id", id)
	request.Header.Set("X-Deadline-Ms", strconv.FormatInt(left.Milliseconds(), 10))
	if q.Key != "" {
		request.Header.Set("X-Key", q.Key)
	}
	for name, value := range q.Header {
		request.Header.Set(name, value)
	}
	p.Record.Add("send", id, m.Name, q.Method, q.Target)
	response, err := p.client.Do(request)
	if err != nil {
		p.Record.Add("answer", id, "none")
		return 0, false, 0
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	stamp := response.Header.Get("X-Server-Stamp")
	p.Record.Add("answer", id, fmt.Sprint(response.StatusCode), "stamp", stamp, fmt.Sprint("whole ", err == nil), "retry-after", response.Header.Get("Retry-After"))
	seconds, _ := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
	return response.StatusCode, err == nil && response.StatusCode == http.StatusOK && stamp != "" && len(data) > 0, time.Duration(seconds * float64(time.Second))
}
