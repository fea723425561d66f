// Package handshake limits the handshakes with other processes that a host of the system has begun and not finished, so that strangers can't
// take its memory before they have shown a certificate.
package handshake

import (
	"context"
	"net"
	"net/netip"
	"sync"

	"github.com/VictoriaMetrics/metrics"
	"github.com/quic-go/quic-go"

	"github.com/citronglade/citronglade/internal/base/fault"
)

const (
	// memoryShare is the part of the memory that handshakes may take: one eighth. handshakeBytes is what one takes.
	memoryShare    = 8
	handshakeBytes = 64 << 10
	// minHandshakes and maxHandshakes are the least and the most handshakes at a time, whatever the memory. After a restart of all hosts, all of them
	// connect to a control host.
	minHandshakes, maxHandshakes = 64, 1024
	// addressShare is the part of all handshakes that one address may have. Other hosts can connect beside a stranger then.
	addressShare = 4
	// verifyShare is the part of all handshakes from which on clients must show that they receive what is sent to their address.
	verifyShare = 2
)

var refused = metrics.NewCounter("citronglade_link_handshakes_refused_total")

// Limit counts unfinished handshakes. It is safe for concurrent use.
type Limit struct {
	most int

	mu        sync.Mutex
	running   int
	byAddress map[netip.Addr]int
}

// New returns a limit for a process with the given memory in bytes, 0 if it isn't known.
func New(memory int64) *Limit {
	most := maxHandshakes
	if memory > 0 {
		most = int(min(max(memory/memoryShare/handshakeBytes, minHandshakes), maxHandshakes))
	}
	return &Limit{most: most, byAddress: map[netip.Addr]int{}}
}

type contextKey struct{}

// Begin counts a handshake; see quic.Transport.ConnContext. It fails with fault.Overloaded if there are too many. The handshake ends with the
// context, or with End.
func (l *Limit) Begin(ctx context.Context, info *quic.ClientInfo) (context.Context, error) {
	address := addressOf(info.RemoteAddr)
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.running >= l.most || l.byAddress[address] >= l.most/addressShare {
		refused.Inc()
		return nil, fault.Overloaded.New("%d handshakes are running, %d of them with %s", l.running, l.byAddress[address], address)
	}
	l.running++
	l.byAddress[address]++
	end := sync.OnceFunc(func() { l.end(address) })
	context.AfterFunc(ctx, end)
	return context.WithValue(ctx, contextKey{}, end), nil
}

// End records that the handshake of a connection has ended. The context is that of the connection.
func End(ctx context.Context) {
	if end, ok := ctx.Value(contextKey{}).(func()); ok {
		end()
	}
}

// Verify reports whether a client must show that it receives what is sent to its address; see quic.Transport.VerifySourceAddress.
func (l *Limit) Verify(net.Addr) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.running >= l.most/verifyShare
}

func (l *Limit) end(address netip.Addr) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.running--
	if l.byAddress[address]--; l.byAddress[address] == 0 {
		delete(l.byAddress, address)
	}
}

// addressOf returns the IP address of a client, the zero address if it has none.
func addressOf(a net.Addr) netip.Addr {
	if udp, ok := a.(*net.UDPAddr); ok {
		return udp.AddrPort().Addr().Unmap()
	}
	return netip.Addr{}
}
