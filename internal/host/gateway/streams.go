package gateway

import (
	"context"
	"time"

	"github.com/citronglade/citronglade/internal/base/codec"
	"github.com/citronglade/citronglade/internal/base/timer"
	"github.com/citronglade/citronglade/internal/base/unit"
	"github.com/citronglade/citronglade/internal/host/hub"
	"github.com/citronglade/citronglade/internal/network/kind"
	"github.com/citronglade/citronglade/internal/routing/streamorigin"
)

const (
	// streamQueryTimeout bounds the question to the control hosts where a stream began. Once one of them has a record, the others have
	// streamAnswerGrace to contradict it.
	streamQueryTimeout = 300 * time.Millisecond
	streamAnswerGrace  = 30 * time.Millisecond
	// streamQueries is how often the control hosts are asked, with a pause of syncInterval, until they know. A caller that has lost its
	// connection may be faster than the record of its stream, which the other entry host sends with its next sync.
	streamQueries = 3
)

// streamsReceived records that the control host has the records of streams in a request, up to the given number.
func (g *Gateway) streamsReceived(request *hub.SyncRequest, answer *hub.SyncAnswer, number uint64) {
	g.mu.Lock()
	switch {
	case answer.Epoch != request.Epoch:
		g.streamsSent = 0 // another control host, or this one after a restart, doesn't have the records that were sent before
	case g.needsStreams:
		g.streamsSent = number
	}
	g.needsStreams = answer.NeedsStreams
	stored := g.streamsSent
	g.mu.Unlock()
	if !answer.NeedsStreams {
		stored = g.handler.LastStream()
	}
	g.handler.StreamsStored(stored)
}

// findStream asks all control hosts where a stream began. It returns false if none of them knows.
func (g *Gateway) findStream(ctx context.Context, q streamorigin.Query) (streamorigin.Origin, bool) {
	payload, err := codec.Marshal(q)
	if err != nil {
		g.Log.Error("message-not-sent", "cause", err.Error())
		return streamorigin.Origin{}, false
	}
	for range streamQueries - 1 {
		origin, ok := g.queryStream(ctx, q, payload)
		if ok || !timer.Sleep(ctx, syncInterval) {
			return origin, ok
		}
	}
	return g.queryStream(ctx, q, payload)
}

// queryStream asks all control hosts once.
func (g *Gateway) queryStream(ctx context.Context, q streamorigin.Query, payload []byte) (streamorigin.Origin, bool) {
	ctx, cancel := context.WithTimeout(ctx, streamQueryTimeout)
	defer cancel()
	g.mu.Lock()
	hosts := g.candidateHosts()
	g.mu.Unlock()
	answers := make(chan *streamorigin.Answer, len(hosts))
	for _, name := range hosts {
		go func() { answers <- g.askForStream(ctx, name, payload) }()
	}
	var received []streamorigin.Answer
	for range hosts {
		answer := <-answers
		if answer == nil {
			continue
		}
		received = append(received, *answer)
		if answer.Found {
			defer time.AfterFunc(streamAnswerGrace, cancel).Stop()
		}
	}
	return q.Combine(received, len(hosts))
}

// askForStream asks one control host. It returns nil if there is no answer in time.
func (g *Gateway) askForStream(ctx context.Context, name unit.HostName, query []byte) *streamorigin.Answer {
	reply, err := g.Call(ctx, name, kind.StreamOrigin, query)
	var answer streamorigin.Answer
	if err == nil {
		err = codec.Unmarshal(reply, &answer)
	}
	if err != nil {
		g.Log.Warn("stream-query-unanswered", "control-host", string(name), "cause", err.Error())
		return nil
	}
	return &answer
}
