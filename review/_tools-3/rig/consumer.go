package rig

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"time"
)

// Request is one request of a consumer.
type Request struct {
	Method, Host, Target, Key string
	Body                      []byte
	Deadline                  time.Duration
	Retries                   int
	Safe                      bool
}

// Attempt is one consumer attempt and how it ended.
type Attempt struct {
	ID     string
	SentAt time.Duration // on the record's clock
	Status int           // 0 without an answer
	Served bool          // 200 with a server's receipt and the whole body
}

// channelTime is how long consumers allow a new channel to be established.
const channelTime = time.Second

// consumerTransport returns a transport whose channels are kept for further requests, or not.
func consumerTransport(kept bool) *http.Transport {
	return &http.Transport{
		DialContext: (&net.Dialer{Timeout: channelTime}).DialContext, MaxIdleConnsPerHost: 4, IdleConnTimeout: 10 * time.Second, DisableKeepAlives: !kept,
	}
}

// NewID returns an id for one attempt.
func NewID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// Send sends a request like a consumer: to an edge machine that is in rotation, and after a failure again on a new channel to another one. Safe
// requests are retried after any failure, others after a promise that they have not run and never will. It returns all attempts.
func (p *Platform) Send(q Request) []Attempt {
	var attempts []Attempt
	var last *Machine
	end := time.Now().Add(q.Deadline)
	for {
		last = p.pickEdge(last)
		client := p.kept
		if len(attempts) > 0 {
			client = p.fresh
		}
		a, after := p.attempt(client, last, q, time.Until(end))
		attempts = append(attempts, a)
		if a.Served || len(attempts) > q.Retries || !mayRetry(q, a.Status) {
			return attempts
		}
		wait := max(100*time.Millisecond, min(after, time.Until(end)/3))
		if time.Until(end) < wait+50*time.Millisecond {
			return attempts
		}
		time.Sleep(wait)
	}
}

// mayRetry reports whether a consumer repeats a request after an attempt that ended with a status, 0 without an answer.
func mayRetry(q Request, status int) bool {
	switch status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	default:
		return q.Safe && (status == 0 || status >= 500)
	}
}

func (p *Platform) attempt(client *http.Client, m *Machine, q Request, left time.Duration) (a Attempt, after time.Duration) {
	a = Attempt{ID: NewID(), SentAt: p.Record.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), left)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, q.Method, "http://"+m.Front()+q.Target, bytes.NewReader(q.Body))
	if err != nil {
		return a, 0
	}
	request.Host = q.Host
	request.Header.Set("X-Request-Id", a.ID)
	request.Header.Set("X-Deadline-Ms", strconv.FormatInt(left.Milliseconds(), 10))
	request.Header.Set("X-Key", q.Key)
	request.Header.Set("Accept-Encoding", "identity")
	p.Record.Add("send", a.ID, m.Name, q.Method, q.Target)
	response, err := client.Do(request)
	if err != nil {
		p.Record.Add("answer", a.ID, "none")
		return a, 0
	}
	data, err := io.ReadAll(response.Body)
	_ = response.Body.Close()
	stamp := response.Header.Get("X-Server-Stamp")
	a.Status = response.StatusCode
	a.Served = err == nil && a.Status == http.StatusOK && stamp != "" && len(data) > 0
	p.Record.Add("answer", a.ID, fmt.Sprint(a.Status), "stamp", stamp, fmt.Sprint("whole ", err == nil), "retry-after", response.Header.Get("Retry-After"))
	seconds, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
	if err != nil {
		seconds = 0
	}
	return a, time.Duration(seconds * float64(time.Second))
}
