package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"time"

	"github.com/citronglade/citronglade/internal/base/fault"
	"github.com/citronglade/citronglade/internal/emulator/harness"
)

// stubAnswer is a streamed chat answer of one token.
const stubAnswer = `data: {"id":"stub","object":"chat.completion.chunk","created":1,"model":"stub","choices":[{"index":0,"delta":{"content":"a"},"finish_reason":"stop"}],"token-index":0}` +
	"\n\ndata: [DONE]\n\n"

// stub is an engine that answers immediately, so that measured times contain only the time of the router.
type stub struct {
	server   *httptest.Server
	address  string
	requests atomic.Int64
	stop     context.CancelFunc
}

// startStub starts a stub engine and announces it to all hosts of the fleet.
func (f *fleet) startStub() (*stub, error) {
	key, err := os.ReadFile(filepath.Join(f.cluster.KeysFolder(), "announce.key"))
	if err != nil {
		return nil, fault.NotFound.Wrap(err, "cannot read the announce key")
	}
	s := &stub{}
	s.server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.requests.Add(1)
		_, _ = io.Copy(io.Discard, r.Body)
		w.Header().Set("Content-Type", "text/event-stream")
		w.Header().Set("Citronglade-Incarnation", "1")
		w.Header().Set("Citronglade-Weights", weights)
		_, _ = io.WriteString(w, stubAnswer)
	}))
	s.address = strings.TrimPrefix(s.server.URL, "http://")
	var entries []string
	for entry := range strings.SplitSeq(f.cluster.EntryAddresses(), ",") {
		entries = append(entries, "http://"+entry)
	}
	ctx, stop := context.WithCancel(context.Background())
	s.stop = stop
	var sequence atomic.Uint64
	announcer := harness.NewAnnouncer(harness.Options{
		Entries: entries, Key: strings.TrimSpace(string(key)), Build: func() (harness.Announcement, bool) {
			return harness.Announcement{
				Endpoint: "stub-1", Kind: "engine", Address: s.address, DataCentre: f.shape.DataCentres[0], Incarnation: 1,
				Model: f.shape.Model, Weights: weights, Slots: 10_000, Sequence: sequence.Add(1), Load: harness.Load{FreeSlots: 10_000},
			}, true
		},
	})
	go announcer.Run(ctx)
	return s, nil
}

func (s *stub) close() {
	s.stop()
	s.server.Close()
}

// chatBody returns the body of a chat request whose prompt has the given size in bytes. The first bytes are number modulo 8, so
// that there are eight different prompts.
func chatBody(model string, number, bytes int) string {
	text := fmt.Sprintf("%08d ", number%8) + strings.Repeat("oak stave ", bytes/10)
	return fmt.Sprintf(`{"model":%q,"stream":true,"max_tokens":1,"messages":[{"role":"user","content":%q}]}`, model, text[:bytes])
}

// sendChat sends one chat request, on a reused connection if there is one, and returns the status and the time until the
// complete answer was received.
func sendChat(client *http.Client, address, customer, body string) (status int, took time.Duration, err error) {
	request, err := http.NewRequest(http.MethodPost, "http://"+address+"/v1/chat/completions", strings.NewReader(body)) //nolint:noctx // the client has a timeout
	if err != nil {
		return 0, 0, fault.Internal.Wrap(err, "cannot create a request")
	}
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Authorization", "Bearer token-"+customer)
	began := time.Now()
	response, err := client.Do(request)
	if err != nil {
		return 0, 0, fault.Unreachable.Wrap(err, "no answer from %s", address)
	}
	defer func() { _ = response.Body.Close() }()
	_, err = io.Copy(io.Discard, response.Body)
	return response.StatusCode, time.Since(began), err
}
