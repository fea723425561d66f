package gateway

import (
	"context"
	"time"

	"github.com/citronglade/citronglade/internal/base/codec"
	"github.com/citronglade/citronglade/internal/host/hub"
	"github.com/citronglade/citronglade/internal/network/kind"
	"github.com/citronglade/citronglade/internal/routing/crashcause"
	"github.com/citronglade/citronglade/internal/routing/parttrial"
)

const (
	// trialQueryTimeout bounds the time that a request waits for the leader's answer. Further requests with blocked parts are refused
	// without a question for trialQueryPause after the last one.
	trialQueryTimeout = 200 * time.Millisecond
	trialQueryPause   = 100 * time.Millisecond
)

// tryPart asks the leader of the control hosts whether a request in which only the part of this cause is blocked may be sent to one of the
// given number of engines. Without an answer it may not.
func (g *Gateway) tryPart(ctx context.Context, cause crashcause.Cause, engines int) bool {
	now := g.Timer.Now()
	g.mu.Lock()
	hosts, due := g.candidateHosts(), now.Sub(g.trialAskedAt) >= trialQueryPause
	if due {
		g.trialAskedAt = now
	}
	g.mu.Unlock()
	if !due || len(hosts) == 0 {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, trialQueryTimeout)
	defer cancel()
	g.leaderCaller.SetHosts(hosts)
	payload, err := codec.Marshal(parttrial.Query{Part: cause.Part, Rivals: uint(max(cause.Rivals, 0)), Engines: uint(max(engines, 0))}) //nolint:gosec // not negative
	if err != nil {
		g.Log.Error("message-not-sent", "cause", err.Error())
		return false
	}
	reply, err := g.leaderCaller.Call(ctx, hub.BookGroup, kind.PartTrial, payload)
	granted := false
	if err == nil {
		err = codec.Unmarshal(reply, &granted)
	}
	if err != nil {
		g.Log.Warn("trial-query-unanswered", "cause", err.Error())
		return false
	}
	return granted
}
