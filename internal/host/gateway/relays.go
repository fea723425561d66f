package gateway

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/joomcode/errorx"

	"github.com/citronglade/citronglade/internal/base/codec"
	"github.com/citronglade/citronglade/internal/base/fault"
	"github.com/citronglade/citronglade/internal/base/unit"
	"github.com/citronglade/citronglade/internal/callers/forward"
	"github.com/citronglade/citronglade/internal/callers/relay"
	"github.com/citronglade/citronglade/internal/network/kind"
	"github.com/citronglade/citronglade/internal/network/link"
)

const (
	// maxRelayAttempts is the number of hosts to which one request may be offered.
	maxRelayAttempts = 3
	// maxTakenRelays is the number of requests that this host serves for others at a time.
	maxTakenRelays = 512
	// relayKeepAlive is the time between two signs of life of a relayed request without an answer. Links without traffic are closed.
	relayKeepAlive = 400 * time.Millisecond
)

// relay hands a request to another entry host that reaches endpoints. See forward.Dependencies.Relay.
func (g *Gateway) relay(ctx context.Context, request *relay.Request) (answer *relay.Answer, host unit.HostName, err error) {
	payload, err := codec.Marshal(request)
	if err != nil {
		return nil, "", err
	}
	g.mu.Lock()
	relays := g.relays
	g.mu.Unlock()
	err = fault.Unreachable.New("no entry host is known that reaches endpoints")
	for _, i := range rand.Perm(len(relays))[:min(len(relays), maxRelayAttempts)] {
		host = relays[i]
		if answer, err = g.relayTo(ctx, host, payload); err == nil || !errorx.IsOfType(err, fault.Unreachable) {
			return answer, host, err
		}
	}
	return nil, host, err
}

func (g *Gateway) relayTo(ctx context.Context, host unit.HostName, payload []byte) (*relay.Answer, error) {
	stream, err := g.OpenStream(ctx, host, kind.Relay, payload)
	if err != nil {
		return nil, err
	}
	return relay.Receive(stream)
}

// ServeRelayed serves a request that another entry host handed over, and writes the answer to a stream. It fails if the answer broke off.
func (g *Gateway) ServeRelayed(ctx context.Context, from unit.HostName, payload []byte, to link.StreamWriter) (err error) {
	request, err := relay.Decode(payload)
	if err != nil {
		return err
	}
	w := relay.NewWriter(to)
	defer g.takenRelays.Add(-1)
	switch taken := g.takenRelays.Add(1); {
	case g.Stopping():
		w.Decline(fault.Stopping.New("this host is stopping"))
		return w.End()
	case taken > maxTakenRelays:
		w.Decline(fault.Overloaded.New("this host serves %d requests for others", taken-1))
		return w.End()
	}
	defer g.Timer.Subscribe(relayKeepAlive, func(unit.Moment) { w.KeepAlive() })()
	defer func() {
		if failure := recover(); failure == http.ErrAbortHandler { //nolint:errorlint // the value that the handler panics with
			err = fault.BrokenAnswer.New("the answer broke off")
		} else if failure != nil {
			panic(failure)
		}
	}()
	relayed := &forward.Relayed{From: from, TableVersion: request.TableVersion, PossibleRuns: request.PossibleRuns, Decline: w.Decline}
	g.handler.Serve(ctx, w, forward.CallFrom(request, g.Timer.Now(), relayed))
	return w.End()
}
